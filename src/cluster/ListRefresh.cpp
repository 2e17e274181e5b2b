#include "cluster/ListRefresh.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"

namespace coralhoist::cluster {
namespace {

constexpr int kSuccess = 200;

}  // namespace

ListRefresh::ListRefresh(std::string kind, RefreshTiming timing, RefreshDependencies dependencies)
    : _kind(std::move(kind)),
      _timing(timing),
      _dependencies(std::move(dependencies)),
      _alive(std::make_shared<bool>(true)),
      _spread(_dependencies.random.below(static_cast<std::uint64_t>(_timing.spread.count()) + 1)) {}

Duration ListRefresh::dueAge(ListRole role) const {
    switch (role) {
        case ListRole::Source:
            return _timing.refreshAfter;
        case ListRole::Reader:
            return _timing.readerAfter + _spread / 2;
        case ListRole::Follower:
            break;
    }
    return _timing.lateAfter + _spread;
}

TimePoint ListRefresh::dueAt(TimePoint provenAt, ListRole role) const {
    if (_isWanted && role == ListRole::Source) {
        return _nextCall;
    }
    return std::max(_nextCall, provenAt + dueAge(role));
}

void ListRefresh::onTick(TimePoint now, TimePoint provenAt, ListRole role) {
    if (!_running && now >= dueAt(provenAt, role)) {
        _askedAt = now;
        call();
    }
}

TimePoint ListRefresh::nextTick(TimePoint provenAt, ListRole role) const {
    return _running ? TimePoint::max() : dueAt(provenAt, role);
}

void ListRefresh::call() {
    socket::HttpCall call = _dependencies.protocol.listCall(_kind, _after);
    call.timeout = _timing.answerTimeout;
    call.stallTimeout = _timing.answerTimeout;
    call.connection = socket::HttpCall::Connection::New;
    _running = true;
    _dependencies.storeClient.call(
        call, [this, alive = std::weak_ptr<bool>(_alive)](const socket::HttpAnswer& answer) {
            if (!alive.expired()) {
                onAnswer(answer);
            }
        });
}

void ListRefresh::onAnswer(const socket::HttpAnswer& answer) {
    _running = false;
    const bool answered = answer.outcome == socket::HttpAnswer::Outcome::Answered;
    if (!answered || answer.status != kSuccess || !takePage(answer)) {
        fail(answered ? answer.status : 0);
    }
}

/** @return whether the answer could be read; the last page ends the list. */
bool ListRefresh::takePage(const socket::HttpAnswer& answer) {
    const std::optional<store::ObjectPage> page = _dependencies.protocol.readPage(answer);
    if (!page || (!_after.empty() && page->version.era != _listVersion.era)) {
        return false;
    }
    // Changes after the first page may be missing in it.
    _listVersion = _after.empty() ? page->version : std::min(_listVersion, page->version);
    _pages.insert(_pages.end(), page->objects.begin(), page->objects.end());
    if (page->more && !page->objects.empty()) {
        _after = page->objects.back().name;
        call();
        return true;
    }
    const std::vector<store::StoredObject> objects = std::exchange(_pages, {});
    _after.clear();
    _pause = Duration(0);
    _isWanted = false;
    _nextCall = _dependencies.clock.now();
    _dependencies.onList(objects, _listVersion, _askedAt);
    return true;
}

void ListRefresh::fail(int status) {
    if (_pause == Duration(0)) {
        LogEvent("cluster", LogLevel::Warning, "list.failed")
            .field("kind", _kind)
            .field("status", status);
    }
    _pages.clear();
    _after.clear();
    _pause = nextBackoff(_pause, _timing.firstPause, _timing.longestPause);
    _nextCall = _dependencies.clock.now() + withJitter(_pause, _dependencies.random);
}

}  // namespace coralhoist::cluster
