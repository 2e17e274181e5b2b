/** What nodes tell each other of the store's objects, and the interfaces that carry it. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "link/store/ObjectTable.h"

namespace coralhoist::store {

/** Asks for the changes of all kinds that a node follows. Kinds are known by their order. */
struct FeedQuestion {
    /** Position up to which the asking node knows all changes; none for a kind it knows not. */
    std::vector<std::optional<StoreVersion>> positions;
    /** The node from which the asking node's knowledge came last: another one is news. */
    NodeName origin;
    /** Newest era of the store that the asking node knows. */
    std::uint64_t era = 0;
};

/** Changes of one kind. */
struct KindChanges {
    std::size_t kind = 0;
    ObjectChanges changes;
};

/** Sent when there are changes, or after a while without any. */
struct FeedAnswer {
    /** The node whose own watches of the store the knowledge came from. */
    NodeName origin;
    /** Era of the store that all of it is of. */
    std::uint64_t era = 0;
    /** For each kind, how long before the question arrived a list was asked for that proved it
     * complete; negative when that was while the question waited. By the answering node's clock. */
    std::vector<Duration> agesWhenAsked;
    /** Kinds without changes are absent. */
    std::vector<KindChanges> kinds;
};

/** Asks other nodes. No call delivers an answer before it returns. */
class FeedQuestions {
public:
    virtual ~FeedQuestions() = default;

    /** @return whether the node seems to answer now. */
    virtual bool canReach(const NodeName& node) const = 0;

    /** Asks for changes. One onFeedAnswer follows, without an answer when the link is lost. */
    virtual void askForChanges(const NodeName& node, std::uint64_t question,
                               const FeedQuestion& asked) = 0;
};

/** Answers other nodes. */
class FeedAnswers {
public:
    virtual ~FeedAnswers() = default;

    /** @param answer nothing when this node can't tell. */
    virtual void answerFeed(std::uint64_t asker, const std::optional<FeedAnswer>& answer) = 0;
};

/** Receives questions and answers of other nodes. */
class FeedEvents {
public:
    virtual ~FeedEvents() = default;

    virtual void onFeedAsked(std::uint64_t asker, const FeedQuestion& question) = 0;
    virtual void onFeedAnswer(std::uint64_t question, const std::optional<FeedAnswer>& answer) = 0;
};

}  // namespace coralhoist::store
