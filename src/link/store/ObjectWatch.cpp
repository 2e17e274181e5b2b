#include "link/store/ObjectWatch.h"

#include <algorithm>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"

namespace coralhoist::store {
namespace {

constexpr int kSuccess = 200;
constexpr int kHistoryGone = 410;
/** Changes that follow each other within this time come in quick succession. */
constexpr Duration kQuickSuccession = std::chrono::milliseconds(1000);

}  // namespace

ObjectWatch::ObjectWatch(std::string kind, socket::HttpCaller& client,
                         const ObjectProtocol& protocol, const Clock& clock, RandomSource& random,
                         WatchSink& sink, WatchTiming timing)
    : _kind(std::move(kind)),
      _client(client),
      _protocol(protocol),
      _clock(clock),
      _random(random),
      _sink(sink),
      _timing(timing),
      _alive(std::make_shared<bool>(true)),
      _nextCall(clock.now()) {}

ObjectWatch::~ObjectWatch() = default;

std::optional<TimePoint> ObjectWatch::nextTick() const {
    return _running ? std::nullopt : std::optional<TimePoint>(_nextCall);
}

void ObjectWatch::onTick(TimePoint now) {
    if (!_running && now >= _nextCall) {
        startCall();
    }
}

void ObjectWatch::startCall() {
    socket::HttpCall call = _position ? _protocol.watchCall(_kind, *_position, _timing.wait)
                                      : _protocol.listCall(_kind, _after);
    call.timeout = (_position ? _timing.wait : Duration(0)) + _timing.slack;
    _running = true;
    if (_after.empty()) {
        _askedAt = _clock.now();
    }
    const std::uint64_t number = ++_call;
    _client.call(call, [this, alive = std::weak_ptr<bool>(_alive),
                        number](const socket::HttpAnswer& answer) {
        if (!alive.expired() && number == _call) {
            onAnswer(answer);
        }
    });
}

void ObjectWatch::onAnswer(const socket::HttpAnswer& answer) {
    _running = false;
    const bool answered = answer.outcome == socket::HttpAnswer::Outcome::Answered;
    if (answered && answer.status == kHistoryGone) {
        listAnew("watch.history_gone");
        return;
    }
    _nextCall = _clock.now();
    const bool taken = answered && answer.status == kSuccess &&
                       (_position ? takeEvents(answer) : takePage(answer));
    if (!taken) {
        fail(answered ? answer.status : 0);
        return;
    }
    _pause = Duration(0);
    _nextCall = std::max(_nextCall, _clock.now());
    noteReachable();
}

/** The position means nothing to the store any more. */
void ObjectWatch::listAnew(const char* reason) {
    LogEvent("store.watch", LogLevel::Info, reason)
        .field("kind", _kind)
        .field("position", _position.value_or(StoreVersion{}));
    _position.reset();
    _nextCall = _clock.now();
}

void ObjectWatch::noteReachable() {
    if (!_reachable) {
        _reachable = true;
        LogEvent("store.watch", LogLevel::Info, "store.regained").field("kind", _kind);
        _sink.onReachable(true);
    }
}

void ObjectWatch::fail(int status) {
    _pause = nextBackoff(_pause, _timing.firstPause, _timing.longestPause);
    _nextCall = _clock.now() + withJitter(_pause, _random);
    _after.clear();
    _pages.clear();
    _listVersion.reset();
    if (_reachable) {
        _reachable = false;
        LogEvent("store.watch", LogLevel::Warning, "store.lost")
            .field("kind", _kind)
            .field("status", status);
        _sink.onReachable(false);
    }
}

bool ObjectWatch::takePage(const socket::HttpAnswer& answer) {
    std::optional<ObjectPage> page = _protocol.readPage(answer);
    if (!page || (_listVersion && page->version.era != _listVersion->era)) {
        return false;
    }
    // Changes after the first page are delivered again by the watch, which begins there.
    _listVersion = std::min(_listVersion.value_or(page->version), page->version);
    _pages.insert(_pages.end(), page->objects.begin(), page->objects.end());
    if (page->more && !page->objects.empty()) {
        _after = page->objects.back().name;
        return true;
    }
    const std::vector<StoredObject> objects = std::move(_pages);
    const StoreVersion version = *_listVersion;
    _pages.clear();
    _after.clear();
    _listVersion.reset();
    _position = std::max(_position.value_or(StoreVersion{}), version);
    _listedAt = _askedAt;
    _sink.onList(objects, version);
    return true;
}

void ObjectWatch::gatherMore(TimePoint now) {
    const bool quick = now - _changedAt < kQuickSuccession;
    _changedAt = now;
    _gather =
        quick ? nextBackoff(_gather, _timing.firstGather, _timing.longestGather) : Duration(0);
    _nextCall = now + _gather;
}

void ObjectWatch::resumeFrom(const StoreVersion& position) {
    _position = std::max(_position.value_or(StoreVersion{}), position);
    _nextCall = _clock.now();
}

void ObjectWatch::noteList(const StoreVersion& position, TimePoint askedAt, bool missed) {
    const bool isOutdated = _position && _position->era < position.era;
    if ((missed || isOutdated) && _running && _position && _askedAt < askedAt) {
        ++_call;
        _running = false;
        _nextCall = _clock.now();
    }
    _position = std::max(_position.value_or(StoreVersion{}), position);
    noteReachable();
}

bool ObjectWatch::takeEvents(const socket::HttpAnswer& answer) {
    const std::optional<ObjectEvents> events = _protocol.readEvents(answer);
    if (!events) {
        return false;
    }
    if (events->version.era != _position->era) {
        // The store has returned older and passed the position since: what lies between is unknown.
        listAnew("watch.era_changed");
        return true;
    }
    if (!events->events.empty()) {
        _position = std::max(*_position, events->version);
        gatherMore(_clock.now());
    }
    for (const ObjectEvent& event : events->events) {
        _sink.onEvent(event);
    }
    return true;
}

}  // namespace coralhoist::store
