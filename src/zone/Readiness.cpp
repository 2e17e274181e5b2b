#include "zone/Readiness.h"

#include <algorithm>

namespace coralhoist::zone {

void Readiness::onPeerDigest(const NodeName& peer, const ReplicaDigest& digest,
                             std::uint64_t ownDigest) {
    if (_ready || !digest.ready) {
        return;
    }
    if (_sample.contains(peer) || _sample.size() < _options.readinessSample) {
        _sample[peer] = digest.freshestVersion;
    }
    _equalToReadyPeer = _equalToReadyPeer || digest.digest == ownDigest;
}

void Readiness::judge(bool filled, std::uint64_t ownFreshest, TimePoint now) {
    const bool sampled = _sample.size() >= _options.readinessSample ||
                         (!_sample.empty() && now - _startedAt >= _options.readinessPatience);
    if (_ready || !filled || !_equalToReadyPeer || !sampled) {
        return;
    }
    const auto notNewer = static_cast<std::size_t>(
        std::count_if(_sample.begin(), _sample.end(),
                      [ownFreshest](const auto& item) { return item.second <= ownFreshest; }));
    _ready = notNewer * 2 > _sample.size();
}

}  // namespace coralhoist::zone
