#include "pooling/SourceChoice.h"

#include <algorithm>
#include <chrono>

#include "base/Backoff.h"

namespace coralhoist::pooling {
namespace {

/** A node that failed is asked again after this time; it doubles each time, with jitter. */
constexpr Duration kFirstPause = std::chrono::milliseconds(500);
constexpr Duration kLongestPause = std::chrono::milliseconds(4000);

}  // namespace

std::optional<NodeName> SourceChoice::choose(const std::vector<NodeName>& candidates,
                                             const std::function<bool(const NodeName&)>& canReach,
                                             TimePoint now) const {
    const auto chosen = std::find_if(
        candidates.begin(), candidates.end(), [this, &canReach, now](const NodeName& node) {
            const auto passed = _passedOver.find(node);
            return (passed == _passedOver.end() || now >= passed->second.until) && canReach(node);
        });
    return chosen == candidates.end() ? std::nullopt : std::optional<NodeName>(*chosen);
}

void SourceChoice::passOver(const NodeName& node, TimePoint now) {
    PassedOver& entry = _passedOver[node];
    entry.pause = nextBackoff(entry.pause, kFirstPause, kLongestPause);
    entry.until = now + withJitter(entry.pause, _random);
}

}  // namespace coralhoist::pooling
