#include "link/platform/ReconnectPolicy.h"

#include <algorithm>

namespace coralhoist::platform {

ReconnectPolicy::ReconnectPolicy(const ReconnectOptions& options, RandomSource& random)
    : _options(options), _random(random), _ceiling(options.initialDelay) {}

Duration ReconnectPolicy::nextDelay() {
    const Duration half = _ceiling / 2;
    const auto jitter = _random.below(static_cast<std::uint64_t>(half.count()) + 1);
    _ceiling = std::min(_ceiling * 2, _options.maximumDelay);
    return half + Duration(static_cast<Duration::rep>(jitter));
}

}  // namespace coralhoist::platform
