/** Follows the store's objects through other nodes where it can, and through the store where not.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cluster/KindFollower.h"
#include "link/store/FeedMessages.h"
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
    /** Raised by what other nodes show of it. */
    StoreEra& era;
    /** The nodes to ask before the store. */
    const pooling::ReaderTree& readers;
    NodeName self;
};

/**
 * Each node keeps all objects of the kinds that it follows. One node of the estate watches the
 * store; the others ask their reader for what changed since the position that they know, and are
 * answered when there is something, or after 0.3 s without.
 *
 * Invariants: what is known of an object never becomes older, whoever tells; nothing is taken from
 * a node whose knowledge of any kind is late, is of an earlier era of the store or came from this
 * node, and nothing of an earlier era is told. A node that has no such source
 * watches the store itself, from the position that it knows. Whatever happens to sources, watches
 * and other kinds, a kind that is late is listed by a call of its own.
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

    /** @return when the newest list was asked for that proved the kind, by its order, complete. */
    TimePoint provenAt(std::size_t kind) const { return _kinds[kind]->provenAt(); }

    void onFeedAsked(std::uint64_t asker, const store::FeedQuestion& question) override;
    void onFeedAnswer(std::uint64_t question,
                      const std::optional<store::FeedAnswer>& answer) override;

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

private:
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

    ListRole role() const;
    bool isSwitching() const;
    bool isSeekingReader() const;
    void noteNodes(TimePoint now);
    std::optional<NodeName> chooseSource(TimePoint now) const;
    NodeName origin() const;
    bool isUseful(const store::FeedAnswer& answer, const Question& question) const;
    void take(const store::FeedAnswer& answer, TimePoint askedAt);
    bool isOfPresentEra() const;
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
    TimePoint _startedAt;
    bool _soughtReader = false;
    /** The source was lost, or none was there yet; until then another node may take its place. */
    TimePoint _switchUntil{};
    TimePoint _nextQuestion{};
    /** The node that tells of changes, and where it has them from. */
    std::optional<NodeName> _fedBy;
    NodeName _fedOrigin;
};

}  // namespace coralhoist::cluster
