#include "zone/PlatformReaders.h"

#include <algorithm>

namespace coralhoist::zone {

void PlatformReaders::noteZoneAge(Duration age, TimePoint now) {
    const TimePoint contact = now - age;
    if (!_lastContact || contact > *_lastContact) {
        _lastContact = contact;
    }
}

std::optional<Duration> PlatformReaders::age(TimePoint now) const {
    return _lastContact ? std::optional(now - *_lastContact) : std::nullopt;
}

bool PlatformReaders::shouldRead(TimePoint now) {
    const auto rank = _peers.rankInZone();
    if (!rank) {
        return false;
    }
    if (*rank < _options.readersPerZone) {
        return true;
    }
    if (_substituteSince && now - *_substituteSince < _options.substituteHold) {
        return true;
    }
    _substituteSince.reset();
    const std::size_t substitute = *rank - _options.readersPerZone;
    if (substitute >= _options.substituteReaders) {
        return false;
    }
    const Duration silence = now - std::max(_startedAt, _lastContact.value_or(_startedAt));
    if (silence < _options.readerTakeover * static_cast<Duration::rep>(substitute + 1)) {
        return false;
    }
    _substituteSince = now;
    return true;
}

}  // namespace coralhoist::zone
