/** Whether a starting node's settings are fresh enough to serve callers. */
#pragma once

#include <cstdint>
#include <map>

#include "base/Time.h"
#include "zone/DistributionMessage.h"
#include "zone/DistributionOptions.h"

namespace coralhoist::zone {

/**
 * A node is ready when it has merged a whole list of the platform; or, without the platform, when
 * it has fetched all buckets from ready peers, then found its replica equal to that of a ready
 * peer, and has nothing older than the freshest version of most of a sample of ready peers. Once
 * ready it stays so: from then on announcements and repair keep it fresh.
 */
class Readiness {
public:
    explicit Readiness(const DistributionOptions& options) : _options(options) {}

    /** Starts to count the time for which a full sample is waited for. */
    void start(TimePoint now) { _startedAt = now; }

    /** A whole list of the platform was merged. */
    void onPlatformList() { _ready = true; }

    /** A peer told the state of its replica. */
    void onPeerDigest(const NodeName& peer, const ReplicaDigest& digest, std::uint64_t ownDigest);

    /**
     * Judges anew.
     * @param filled whether all buckets were fetched.
     * @param ownFreshest freshest version of the own replica.
     */
    void judge(bool filled, std::uint64_t ownFreshest, TimePoint now);

    bool isReady() const { return _ready; }

private:
    const DistributionOptions& _options;
    TimePoint _startedAt;
    bool _ready = false;
    bool _equalToReadyPeer = false;
    std::map<NodeName, std::uint64_t> _sample;
};

}  // namespace coralhoist::zone
