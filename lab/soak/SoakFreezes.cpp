#include "lab/soak/SoakFreezes.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

/** Times in milliseconds, shortest and longest. */
constexpr std::uint64_t kShortestGap = 5000;
constexpr std::uint64_t kLongestGap = 9000;
constexpr std::uint64_t kShortestCrash = 1000;
constexpr std::uint64_t kLongestCrash = 4000;
constexpr std::uint64_t kSecondCrashAfter = 4200;
constexpr std::uint64_t kSecondCrashWithin = 5500;
/** From the writing of the record to the freeze. */
constexpr std::uint64_t kLongestDelay = 120;
constexpr std::uint64_t kShortestFreeze = 300;
/** Others have taken the promotion over by then. */
constexpr std::uint64_t kTakenOver = 4500;
constexpr std::uint64_t kLongestFreeze = 8500;
/** From the freeze until connections open again; a dropped opening is sent again after 1 s. */
constexpr std::uint64_t kShortestFull = 20;
constexpr std::uint64_t kLongestFull = 2500;
/** Where nobody promotes, queues are full for so long. */
constexpr milliseconds kFullWithoutPromotion{3000};
constexpr std::uint64_t kFullQueuesPercent = 80;
constexpr std::uint64_t kAnnouncementPercent = 80;
constexpr std::uint64_t kLongFreezePercent = 60;
constexpr std::uint64_t kSecondCrashPercent = 50;

}  // namespace

milliseconds SoakFreezes::between(std::uint64_t leastMs, std::uint64_t mostMs) {
    return milliseconds(leastMs + _random.below(mostMs - leastMs + 1));
}

void SoakFreezes::play(Duration length) {
    _until = _queue.now() + length;
    beginRound();
}

void SoakFreezes::healAll() {
    _until = _queue.now();
    _armed = false;
    _healing.healAll();
}

void SoakFreezes::beginRound() {
    if (_queue.now() >= _until) {
        return;
    }
    _armed = true;
    _awaitsAnnouncement = chance(kAnnouncementPercent);
    if (chance(kFullQueuesPercent)) {
        fillQueues();
    }
    crashPrimary(between(kShortestCrash, kLongestCrash));
    if (chance(kSecondCrashPercent)) {
        const milliseconds time = between(kShortestCrash, kLongestCrash);
        _queue.after(between(kSecondCrashAfter, kSecondCrashWithin), [this, time] {
            if (_queue.now() < _until) {
                crashPrimary(time);
            }
        });
    }
    _queue.after(between(kShortestGap, kLongestGap), [this] { beginRound(); });
}

void SoakFreezes::crashPrimary(milliseconds time) {
    PlannedFault planned;
    planned.lasts = time;
    _targets.timeline.note("primary " + _servers.primary().name.value() + " crashes for " +
                           std::to_string(time.count()) + " ms");
    _servers.crashPrimary(planned);
}

void SoakFreezes::onRecordWritten(const std::string& holder, bool announces) {
    if (!_armed || (_awaitsAnnouncement && !announces)) {
        return;
    }
    for (const auto& proxy : _targets.proxies) {
        if (holder.starts_with(proxy->surroundings().name.value() + "/")) {
            _armed = false;
            _queue.after(between(0, kLongestDelay), [this, &proxy] { freeze(*proxy); });
            return;
        }
    }
}

void SoakFreezes::freeze(ProxyProcess& proxy) {
    if (_queue.now() >= _until) {
        return;
    }
    ++_begun;
    const milliseconds time = chance(kLongFreezePercent) ? between(kTakenOver, kLongestFreeze)
                                                         : between(kShortestFreeze, kTakenOver);
    const std::string name = proxy.surroundings().name.value();
    _targets.timeline.note(name + " freezes for " + std::to_string(time.count()) + " ms");
    proxy.pause();
    _healing.after(time, [this, &proxy, name] {
        _targets.timeline.note(name + " goes on");
        proxy.resume();
    });
    _healing.after(between(kShortestFull, kLongestFull), [this] { emptyQueues(); });
}

void SoakFreezes::fillQueues() {
    _targets.timeline.note("new connections to the platform wait");
    for (const auto& relay : _targets.storeRelays) {
        relay->setQueueFull(true);
    }
    _healing.after(kFullWithoutPromotion, [this] { emptyQueues(); });
}

void SoakFreezes::emptyQueues() {
    for (const auto& relay : _targets.storeRelays) {
        relay->setQueueFull(false);
    }
}

}  // namespace coralhoist::soak
