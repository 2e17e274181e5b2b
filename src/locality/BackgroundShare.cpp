#include "locality/BackgroundShare.h"

#include <algorithm>
#include <chrono>

namespace coralhoist::locality {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
/** Foreground bytes that allow one background byte. */
constexpr std::uint64_t kForegroundPerByte = 2;
/** Background bytes that every window allows: enough for the load reports at the start of a burst.
 */
constexpr std::uint64_t kLeastBytes = 4096;

}  // namespace

std::uint64_t BackgroundShare::foreground() const {
    std::uint64_t bytes = 0;
    for (const TrafficPurpose purpose : {TrafficPurpose::Units, TrafficPurpose::Servers}) {
        bytes += _traffic.bytes(purpose, TrafficDirection::Sent) +
                 _traffic.bytes(purpose, TrafficDirection::Received);
    }
    return bytes;
}

bool BackgroundShare::take(std::size_t bytes, TimePoint now) {
    if (now - _windowSince >= kWindow) {
        const std::uint64_t total = foreground();
        const bool isNext = now - _windowSince < 2 * kWindow;
        const std::uint64_t before = isNext ? total - _foregroundBefore : 0;
        _allowed = std::max(kLeastBytes, before / kForegroundPerByte);
        _foregroundBefore = total;
        _windowSince = now;
        _used = 0;
    }
    if (_used + bytes > _allowed) {
        ++_keptBack;
        return false;
    }
    _used += bytes;
    return true;
}

}  // namespace coralhoist::locality
