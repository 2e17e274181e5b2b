/** Which live members have a version in force, asked along zones and slices. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "zone/DistributionMessage.h"
#include "zone/DistributionOptions.h"
#include "zone/PeerSelector.h"

namespace coralhoist::zone {

/** Sends the queries and replies of an InForceTracker. */
class InForceOutput {
public:
    virtual ~InForceOutput() = default;
    virtual void sendQuery(const PeerReference& to, const InForceQuery& query) = 0;
    virtual void sendReply(const PeerReference& to, const InForceReply& reply) = 0;
};

/**
 * Answers "who has this version in force?" without a storm: the asking node asks one member of each
 * region, these ask one of each zone, these ask slices of their zone, and the counts are summed up
 * on the way back. Each level waits a little less than the one above. A delegate that does not
 * answer makes its part silent; the asker asks again through other delegates.
 */
class InForceTracker {
public:
    using Callback = std::function<void(const InForceSummary&)>;

    /** All references outlive this object. */
    InForceTracker(const DistributionOptions& options, const SettingsReplica& replica,
                   const Membership& membership, PeerSelector& peers, RandomSource& random,
                   InForceOutput& output);

    /** Asks the whole estate. The callback comes once, within a few member timeouts. */
    void ask(const ObjectVersion& object, Callback callback, TimePoint now);

    void onQuery(const PeerReference& from, const InForceQuery& query, TimePoint now);
    void onReply(const PeerReference& from, const InForceReply& reply, TimePoint now);
    void onTick(TimePoint now);
    std::optional<TimePoint> nextDeadline() const;

private:
    /** A question of which parts are still out. */
    struct Collection {
        std::optional<PeerReference> asker;
        std::uint64_t askerId = 0;
        Callback callback;
        InForceSummary summary;
        /** Members that the part of each peer asked is thought to have. */
        std::map<NodeName, std::uint32_t> waitingFor;
        TimePoint deadline;
    };

    void answerForSelf(InForceSummary& summary, const ObjectVersion& object) const;
    std::uint64_t beginCollection(Collection collection, int level, TimePoint now);
    void askRegion(std::uint64_t id, const ObjectVersion& object);
    void askZone(std::uint64_t id, const ObjectVersion& object);
    void askMembers(std::uint64_t id, const InForceQuery& query);
    void askPart(std::uint64_t id, const PeerReference& peer, InForceScope scope,
                 const ObjectVersion& object, std::vector<NodeName> members, std::uint32_t size);
    void finishIfComplete(std::uint64_t id);
    void finish(std::uint64_t id);
    void addExample(InForceSummary& summary, const NodeName& name) const;

    const DistributionOptions& _options;
    const SettingsReplica& _replica;
    const Membership& _membership;
    PeerSelector& _peers;
    InForceOutput& _output;
    std::uint64_t _nextId;
    std::map<std::uint64_t, Collection> _collections;
};

}  // namespace coralhoist::zone
