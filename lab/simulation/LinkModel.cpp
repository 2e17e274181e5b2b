#include "lab/simulation/LinkModel.h"

#include <utility>

namespace coralhoist::simulation {
namespace {

/** Time after which a stream sends lost bytes again. */
constexpr Duration kRetransmission = std::chrono::milliseconds(200);

}  // namespace

std::uint64_t LinkModel::cut(Matcher matcher) {
    _cuts.emplace(_nextCut, std::move(matcher));
    return _nextCut++;
}

bool LinkModel::connects(const Place& from, const Place& to) const {
    for (const auto& [number, matcher] : _cuts) {
        if (matcher(from, to)) {
            return false;
        }
    }
    return true;
}

std::optional<Duration> LinkModel::transit(const Place& from, const Place& to,
                                           RandomSource& random) const {
    if (!connects(from, to) || (_loss > 0 && random.fraction() < _loss)) {
        return std::nullopt;
    }
    return delay(from, to, random);
}

std::optional<Duration> LinkModel::streamTransit(const Place& from, const Place& to,
                                                 RandomSource& random) const {
    if (!connects(from, to) || !connects(to, from)) {
        return std::nullopt;
    }
    Duration total = delay(from, to, random);
    while (_loss > 0 && random.fraction() < _loss) {
        total += kRetransmission;
    }
    return total;
}

Duration LinkModel::delay(const Place& from, const Place& to, RandomSource& random) const {
    Duration base = _delays.otherRegion;
    if (from.region == to.region) {
        base = from.zone == to.zone ? _delays.sameZone : _delays.sameRegion;
    }
    const double factor = 1.0 + _delays.jitter * random.fraction();
    return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

}  // namespace coralhoist::simulation
