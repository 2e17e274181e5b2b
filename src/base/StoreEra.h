/** The era of the store as a node knows it. */
#pragma once

#include <cstdint>
#include <string>

#include "base/Time.h"

namespace coralhoist {

/**
 * A store that was away may come back from an older copy of itself: what it had acknowledged since
 * is gone, and versions are given out again. Each such return raises its era by one, and each of
 * its answers shows the era.
 */
class StoreEra {
public:
    /** @param clock outlives the era. */
    explicit StoreEra(const Clock& clock) : _clock(clock) {}

    /**
     * An answer of the store, or another node, has shown an era.
     * @param source who showed it, for the log.
     */
    void note(std::uint64_t era, const std::string& source);

    /** An object of the store was written in that era: an earlier one proves a return, also to a
     * node that has not seen it. */
    void noteWritten(std::uint64_t era);

    /** @return the newest era that was shown; 0 while none was. */
    std::uint64_t current() const { return _current; }

    /** @return whether the store is known to have returned older, ever. */
    bool hasReturned() const { return _hasReturned; }

    /**
     * @return whether all that was done under an earlier era is longer ago than that. True where
     * the store is not known to have returned.
     */
    bool isSettled(Duration span) const { return !_hasReturned || _clock.now() >= _shownAt + span; }

    /** @return when the current era was shown first; the store has returned by then. */
    TimePoint shownAt() const { return _shownAt; }

    /** @return returns of the store that this node has seen. */
    std::uint64_t returns() const { return _returns; }

private:
    const Clock& _clock;
    std::uint64_t _current = 0;
    TimePoint _shownAt{};
    std::uint64_t _returns = 0;
    bool _hasReturned = false;
};

}  // namespace coralhoist
