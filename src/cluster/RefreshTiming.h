/** When a node refreshes what it knows of a kind, derived from the bound on its age. */
#pragma once

#include "base/Time.h"

namespace coralhoist::cluster {

/** How a node hears of a kind beside its own lists. */
enum class ListRole {
    Source,   /**< No other node tells it: it reads the store. */
    Reader,   /**< Others tell it, and it tells others. */
    Follower, /**< Others tell it. */
};

/**
 * Times of a refresh as parts of the bound. They fit into it, whatever the bound is: a node that is
 * told by others begins to ask at 0.6 of the bound, at 0.7 at the latest; a call without an answer
 * costs 0.125 and the pause after it 0.042; 0.13 is left for the answer to the second call (400 ms
 * of 3 s; a calm store answers in 4 ms, a slow one in 200 ms).
 *
 * The pause grows to 0.125 in an outage: knowledge is refreshed a quarter of the bound after the
 * store answers again, and half of it where the first call then is lost, too. With a longest pause
 * of 0.25 one of 6,000 random schedules kept knowledge for longer than its bound after such a loss;
 * with times that were chosen apart from the bound, 430 of 1,500 did.
 */
struct RefreshTiming {
    /** The age that knowledge must not reach while the store answers. */
    Duration bound{0};
    /** Age at which a node that asks the store itself refreshes. Two levels of nodes hold answers
     * for 0.3 s each and must not take what they are told for late: 1 s + 0.6 s of a bound of 3 s.
     */
    Duration refreshAfter{0};
    /** Age at which a reader that is told by others asks itself: before those that it tells find it
     * late. Without it all nodes are late at one moment when the first reader is, and their lists
     * keep the store too busy for the readers to catch up. */
    Duration readerAfter{0};
    /** Age at which any other node that is told by others asks itself, and leaves them. */
    Duration lateAfter{0};
    /** Nodes that are late together ask spread over this time. With none, 300 nodes asked the
     * store for 460 kB each at once. */
    Duration spread{0};
    /** A call that has brought nothing for so long is given up. */
    Duration answerTimeout{0};
    /** After a return of the store from an older copy, others write again what it has lost within
     * this time: a list that was asked for before proves nothing. */
    Duration rewrittenAfter{0};
    /** Pause after a call that failed; doubled each time up to the longest. */
    Duration firstPause{0};
    Duration longestPause{0};

    static constexpr RefreshTiming forBound(Duration bound) {
        RefreshTiming timing;
        timing.bound = bound;
        timing.refreshAfter = bound / 3;
        timing.readerAfter = bound / 2;
        timing.lateAfter = bound * 6 / 10;
        timing.spread = bound / 10;
        timing.answerTimeout = bound / 8;
        timing.rewrittenAfter = bound / 4;
        timing.firstPause = bound / 24;
        timing.longestPause = bound / 8;
        return timing;
    }
};

}  // namespace coralhoist::cluster
