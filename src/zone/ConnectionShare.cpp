#include "zone/ConnectionShare.h"

#include <algorithm>

namespace coralhoist::zone {

std::uint32_t connectionShare(const settings::GroupSettings& settings,
                              const GroupPlacement& placement, const NodeName& node) {
    const auto& owners = placement.owners;
    const auto self = std::find_if(owners.begin(), owners.end(),
                                   [&node](const Owner& owner) { return owner.name == node; });
    if (self == owners.end()) {
        return 0;
    }
    const auto actives = static_cast<std::uint32_t>(
        std::count_if(owners.begin(), owners.end(),
                      [](const Owner& owner) { return owner.role == OwnerRole::Active; }));
    const auto count = static_cast<std::uint32_t>(owners.size());
    const std::uint32_t total = settings.connectionsPerServer;
    // Standby owners keep what is warm, but never more than an even share.
    const std::uint32_t standbyShare = std::min(settings.warmConnections, total / count);
    if (self->role == OwnerRole::Standby) {
        return standbyShare;
    }
    const std::uint32_t rest = total - standbyShare * (count - actives);
    const auto rank = static_cast<std::uint32_t>(self - owners.begin());
    return rest / actives + (rank < rest % actives ? 1 : 0);
}

ShareAllowanceOptions allowanceOptions(const settings::GroupSettings& settings) {
    ShareAllowanceOptions options;
    options.startingConnections = settings.slotsPerServer + 1;
    return options;
}

void ShareAllowance::setShare(std::uint32_t share, TimePoint now) {
    if (share == _share) {
        return;
    }
    const bool grows = share > _granted;
    _share = share;
    _granted = std::min(std::max(_granted, _options.startingConnections), share);
    if (grows) {
        _growAt = std::max(_growAt, now + _options.growthDelay);
    }
}

void ShareAllowance::onRefused(std::uint32_t open, TimePoint now) {
    _granted = std::min(_granted, open);
    const bool firstInLongTime =
        _backoff == Duration{0} || now - _lastRefusal > 2 * _options.refusalBackoffMaximum;
    _backoff = firstInLongTime ? _options.refusalBackoff
                               : std::min(_backoff * 2, _options.refusalBackoffMaximum);
    _lastRefusal = now;
    const double jitter = 0.5 + _random.fraction();
    const auto pause = static_cast<Duration::rep>(static_cast<double>(_backoff.count()) * jitter);
    _growAt = std::max(_growAt, now + Duration(pause));
}

std::uint32_t ShareAllowance::allowance(TimePoint now) {
    if (_granted < _share && now >= _growAt) {
        _granted = _share;
    }
    return _granted;
}

}  // namespace coralhoist::zone
