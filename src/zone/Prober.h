/** Bookkeeping of probes: whom to probe next and which probes wait for an answer. */
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Time.h"
#include "zone/MemberTable.h"
#include "zone/MembershipOptions.h"

namespace coralhoist::zone {

/**
 * Randomised round robin over the live members: each is probed once in a round, in an order that is
 * shuffled anew for each round, so the time to the first probe of a dead member is bounded.
 */
class ProbeOrder {
public:
    /** @return the next member to probe, or nothing when no other member lives. */
    std::optional<NodeName> next(const MemberTable& table, const NodeName& self,
                                 RandomSource& random);

private:
    std::vector<NodeName> _round;
};

/** Probes of this node that wait for an answer. */
class Prober {
public:
    explicit Prober(const MembershipOptions& options) : _options(options) {}

    /** Notes that a probe is sent. */
    void begin(std::uint64_t sequence, const NodeName& target, TimePoint now);

    /** @return whether the answer belongs to a probe that still waited. */
    bool acknowledge(std::uint64_t sequence);

    /** A probe that needs helpers. */
    struct IndirectRequest {
        std::uint64_t sequence = 0;
        NodeName target;
    };

    /** @return the probes whose direct answer is overdue; each is returned once. */
    std::vector<IndirectRequest> takeOverdue(TimePoint now);

    /** @return the targets that answered neither directly nor through helpers. */
    std::vector<NodeName> takeFailed(TimePoint now);

    /** Forgets all probes: this process was paused and can't judge them. */
    void abandonAll() { _waiting.clear(); }

    /** @return the earliest time at which takeOverdue or takeFailed has something. */
    std::optional<TimePoint> nextDeadline() const;

    /** @return whether so many probes in a row failed that this node itself may be cut off. */
    bool isolated() const { return _failuresInRow >= _options.isolationProbes; }

    /** Something was heard of or happened that makes past failures meaningless. */
    void resetFailures() { _failuresInRow = 0; }

private:
    struct Waiting {
        std::uint64_t sequence = 0;
        NodeName target;
        TimePoint indirectAt;
        TimePoint failAt;
        bool indirectSent = false;
    };

    const MembershipOptions& _options;
    std::vector<Waiting> _waiting;
    std::size_t _failuresInRow = 0;
};

/** Probes sent on behalf of others. */
class RelayedProbes {
public:
    /** Who asked for the probe. */
    struct Requester {
        PeerAddress address;
        std::uint64_t sequence = 0;
        TimePoint expiry;
    };

    void begin(std::uint64_t sequence, Requester requester, TimePoint now);

    /** @return who asked for the probe that was answered, once. */
    std::optional<Requester> take(std::uint64_t sequence);

private:
    std::unordered_map<std::uint64_t, Requester> _requesters;
};

}  // namespace coralhoist::zone
