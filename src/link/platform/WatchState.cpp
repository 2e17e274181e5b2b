#include "link/platform/WatchState.h"

#include <algorithm>

namespace coralhoist::platform {

WatchState::WatchState(std::uint64_t fromVersion, ReconnectPolicy policy)
    : _version(fromVersion), _mustList(fromVersion == 0), _policy(policy) {}

WatchAction WatchState::start() const {
    return nextAction(Duration(0));
}

bool WatchState::onListed(std::uint64_t version) {
    if (version < _version) {
        return false;
    }
    _version = version;
    _mustList = false;
    return true;
}

bool WatchState::onChange(std::uint64_t version) {
    if (version <= _version) {
        return false;
    }
    _version = version;
    _policy.reset();
    return true;
}

void WatchState::onBookmark(std::uint64_t version) {
    _version = std::max(_version, version);
    _policy.reset();
}

WatchAction WatchState::afterList() const {
    return nextAction(Duration(0));
}

WatchAction WatchState::onGone() {
    _mustList = true;
    // A platform that forgets faster than it lists would otherwise be listed without a pause.
    return nextAction(_policy.nextDelay());
}

WatchAction WatchState::onInterrupted() {
    return nextAction(_policy.nextDelay());
}

WatchAction WatchState::nextAction(Duration delay) const {
    const auto kind = _mustList ? WatchAction::Kind::List : WatchAction::Kind::Stream;
    return WatchAction{kind, _version, delay};
}

}  // namespace coralhoist::platform
