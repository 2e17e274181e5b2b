#include "lab/soak/SoakEvacuations.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

constexpr const char* kKind = "evacuations";
/** In milliseconds. */
constexpr std::uint64_t kShortest = 300;
constexpr std::uint64_t kLongest = 8000;
constexpr std::uint64_t kLongestPause = 2500;
/** One in so many is followed by another zone while it lasts. */
constexpr std::uint64_t kOverlapEvery = 4;
/** A store that is away takes no write; it is tried again after this time. */
constexpr Duration kRepeat = milliseconds(50);

}  // namespace

Duration SoakEvacuations::between(std::uint64_t leastMilliseconds, std::uint64_t mostMilliseconds) {
    return milliseconds(leastMilliseconds +
                        _random.below(mostMilliseconds - leastMilliseconds + 1));
}

void SoakEvacuations::play(const std::vector<ZoneName>& zones, Duration length) {
    for (Duration start = between(0, kLongestPause); start < length;) {
        const ZoneName& zone = zones[_random.below(zones.size())];
        const Duration lasts = between(kShortest, kLongest);
        _queue.after(start, [this, zone] { ask(zone); });
        _queue.after(start + lasts, [this, zone] { takeBack(zone); });
        const bool overlaps = _random.below(kOverlapEvery) == 0;
        start += (overlaps ? lasts / 2 : lasts) + between(0, kLongestPause);
    }
}

void SoakEvacuations::ask(const ZoneName& zone) {
    if (_healed || _asked.contains(zone)) {
        return;
    }
    if (_store.faults().isDown()) {
        _queue.after(kRepeat, [this, zone] { ask(zone); });
        return;
    }
    ++_begun;
    _asked.insert(zone);
    _takenBack.erase(zone);
    _store.put(kKind, zone.value(), {});
    _judge.onAsked(zone, _queue.now());
    _timeline.note("evacuation of " + zone.value());
}

void SoakEvacuations::takeBack(const ZoneName& zone) {
    if (!_asked.contains(zone)) {
        return;
    }
    if (_store.faults().isDown()) {
        _queue.after(kRepeat, [this, zone] { takeBack(zone); });
        return;
    }
    _asked.erase(zone);
    _takenBack.insert(zone);
    _judge.onTakenBack(zone, _queue.now());
    _store.remove(kKind, zone.value());
    _timeline.note(zone.value() + " given back");
}

void SoakEvacuations::writeAgain() {
    for (const ZoneName& zone : _asked) {
        _store.put(kKind, zone.value(), {});
    }
    for (const ZoneName& zone : _takenBack) {
        _store.remove(kKind, zone.value());
    }
}

void SoakEvacuations::healAll() {
    _healed = true;
    for (const ZoneName& zone : std::set<ZoneName>(_asked)) {
        takeBack(zone);
    }
}

}  // namespace coralhoist::soak
