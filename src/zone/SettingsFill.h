/** Fetches the whole tree for a node that starts, at a bounded rate. */
#pragma once

#include <bitset>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "zone/DistributionMessage.h"
#include "zone/DistributionOptions.h"

namespace coralhoist::zone {

/**
 * Asks ready peers in turn for the buckets that are still missing. A token bucket over the received
 * bytes bounds the rate: a burst that suffices for a small tree, then a trickle.
 */
class SettingsFill {
public:
    /** @param random outlives this object. */
    SettingsFill(const DistributionOptions& options, RandomSource& random)
        : _options(options), _random(random) {
        _missing.set();
    }

    /** A peer is ready and can be asked. */
    void noteReadyPeer(const PeerReference& peer);

    /** Whom to ask for what. */
    struct Request {
        PeerReference peer;
        FillRequest request;
    };

    /** @return the request that is due, if any. */
    std::optional<Request> takeDue(TimePoint now);

    /** An answer has come. @param bytes its size on the wire. */
    void onAnswer(const std::bitset<kSettingsBuckets>& filled, std::size_t bytes, TimePoint now);

    /** The platform's list was merged: nothing is missing. */
    void finish() { _missing.reset(); }

    bool finished() const { return _missing.none(); }

    /** @return when takeDue may have something; nothing when it waits for a ready peer. */
    std::optional<TimePoint> nextDeadline() const;

private:
    const DistributionOptions& _options;
    RandomSource& _random;
    std::vector<PeerReference> _readyPeers;
    std::bitset<kSettingsBuckets> _missing;
    TimePoint _nextRequest;
    std::optional<TimePoint> _budgetFrom;
    double _received = 0;
};

}  // namespace coralhoist::zone
