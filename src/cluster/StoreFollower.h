/** Follows the store's objects through other nodes where it can, and through the store where not.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "link/store/FeedMessages.h"
#include "link/store/ObjectTable.h"
#include "link/store/ObjectWatch.h"
#include "pooling/ReaderTree.h"
#include "pooling/SourceChoice.h"

namespace coralhoist::cluster {

/** What a follower is made of. All outlive it. */
struct FollowerDependencies {
    const Clock& clock;
    RandomSource& random;
    socket::HttpCaller& storeClient;
    const store::ObjectProtocol& protocol;
    store::FeedQuestions& questions;
    store::FeedAnswers& answers;
    /** The nodes to ask before the store. */
    const pooling::ReaderTree& readers;
    NodeName self;
};

/** A kind of objects to follow. */
struct FollowedKind {
    std::string name;
    store::WatchTiming timing;
    /** Told of lists and changes, whoever brings them; outlives the follower. */
    store::WatchSink& sink;
};

/**
 * Each node keeps all objects of the kinds that it follows. One node of the estate watches the
 * store; the others ask their reader for what changed since the position that they know, and are
 * answered when there is something, or after 0.3 s without.
 *
 * Invariants: what is known of an object never becomes older, whoever tells; nothing is taken from
 * a node whose knowledge is older than kOldestAnswer or came from this node. A node that has no
 * such source watches the store itself, from the position that it knows.
 */
class StoreFollower final : public store::FeedEvents {
public:
    StoreFollower(FollowerDependencies dependencies, const std::vector<FollowedKind>& kinds);
    ~StoreFollower() override;

    /** @return whether the objects of all kinds have been listed since the start. */
    bool isListed() const;

    /** @return whether another node tells of changes, or the store answered all newest calls. */
    bool isReachable() const;

    /** @return whether the knowledge comes from another node. */
    bool isFed() const { return _fedBy.has_value(); }

    /** @return the node that tells of changes; "store" while this node asks the store itself. */
    std::string source() const { return _fedBy ? _fedBy->value() : "store"; }

    /** @return a time not later than the moment up to which the first kind is known, as
     * linearizable calls showed it; unlike a watch, these can't miss a change. */
    TimePoint provenAt() const;

    /** A linearizable call that was made at askedAt showed these objects of the first kind. */
    void takeProven(const std::vector<store::StoredObject>& objects, std::uint64_t version,
                    TimePoint askedAt);

    void onFeedAsked(std::uint64_t asker, const store::FeedQuestion& question) override;
    void onFeedAnswer(std::uint64_t question,
                      const std::optional<store::FeedAnswer>& answer) override;

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

private:
    class KindFollower;
    /** A question to another node that has not been answered. */
    struct Question {
        std::uint64_t number = 0;
        NodeName node;
        TimePoint askedAt{};
    };
    /** A node that waits for changes. */
    struct Asker {
        std::uint64_t id = 0;
        store::FeedQuestion question;
        TimePoint askedAt{};
    };

    std::vector<KindFollower*> watchedKinds() const;
    TimePoint confirmedAt() const;
    NodeName origin() const;
    bool isUseful(const store::FeedAnswer& answer, const Question& question) const;
    void take(const store::FeedAnswer& answer);
    std::optional<store::FeedAnswer> newsFor(const Asker& asker, TimePoint now) const;
    void answerAskers(TimePoint now);
    void askSource(TimePoint now);
    void loseSource(TimePoint now);

    FollowerDependencies _dependencies;
    std::vector<std::unique_ptr<KindFollower>> _kinds;
    pooling::SourceChoice _choice;
    std::vector<Asker> _askers;
    /** Something that askers may lack has come since they were looked at. */
    bool _news = false;
    std::optional<Question> _question;
    std::uint64_t _lastQuestion = 0;
    TimePoint _nextQuestion{};
    /** The node that tells of changes, where it has them from, and how far they are complete. */
    std::optional<NodeName> _fedBy;
    NodeName _fedOrigin;
    TimePoint _fedConfirmedAt{};
    /** The newest moment of those that provenAt may return. */
    TimePoint _provenAt{};
};

}  // namespace coralhoist::cluster
