#include "zone/SettingsFill.h"

#include <algorithm>

namespace coralhoist::zone {
namespace {

/** Ready peers among which the load of serving the tree is spread. */
constexpr std::size_t kMostPeers = 16;

}  // namespace

void SettingsFill::noteReadyPeer(const PeerReference& peer) {
    const bool known = std::find(_readyPeers.begin(), _readyPeers.end(), peer) != _readyPeers.end();
    if (finished() || known) {
        return;
    }
    if (_readyPeers.size() < kMostPeers) {
        _readyPeers.push_back(peer);
    } else {
        _readyPeers[_random.below(kMostPeers)] = peer;
    }
}

std::optional<SettingsFill::Request> SettingsFill::takeDue(TimePoint now) {
    if (finished() || _readyPeers.empty() || now < _nextRequest) {
        return std::nullopt;
    }
    if (!_budgetFrom) {
        _budgetFrom = now;
    }
    _nextRequest = now + _options.fillTimeout;
    return Request{_readyPeers[_random.below(_readyPeers.size())], FillRequest{_missing}};
}

void SettingsFill::onAnswer(const std::bitset<kSettingsBuckets>& filled, std::size_t bytes,
                            TimePoint now) {
    _missing &= ~filled;
    _received += static_cast<double>(bytes);
    const double paidFor = std::max(0.0, _received - _options.fillBurstBytes);
    const auto earned = std::chrono::duration<double>(paidFor / _options.fillBytesPerSecond);
    const TimePoint begin = _budgetFrom.value_or(now);
    _nextRequest = std::max(now, begin + std::chrono::duration_cast<Duration>(earned));
}

std::optional<TimePoint> SettingsFill::nextDeadline() const {
    return finished() || _readyPeers.empty() ? std::nullopt : std::optional(_nextRequest);
}

}  // namespace coralhoist::zone
