#include "base/StoreEra.h"

#include "base/Log.h"

namespace coralhoist {

void StoreEra::note(std::uint64_t era, const std::string& source) {
    if (era <= _current) {
        return;
    }
    if (_current != 0) {
        ++_returns;
        _hasReturned = true;
        LogEvent("store", LogLevel::Warning, "store.returned_older")
            .field("era", era)
            .field("former_era", _current)
            .field("shown_by", source);
    }
    _current = era;
    _shownAt = _clock.now();
}

void StoreEra::noteWritten(std::uint64_t era) {
    _hasReturned = _hasReturned || (era != 0 && era < _current);
}

}  // namespace coralhoist
