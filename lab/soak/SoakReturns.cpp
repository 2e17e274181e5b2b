#include "lab/soak/SoakReturns.h"

#include <chrono>
#include <utility>

namespace coralhoist::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Milliseconds between two returns: one of three follows the one before it at once. The others
 * leave time for what must wait after a return, promotions above all, so that the next return meets
 * it under way. */
constexpr std::uint64_t kSeriesEvery = 3;
constexpr std::uint64_t kLongestSeriesGap = 400;
constexpr std::uint64_t kLongestGap = 9000;
/** How long the store is away, how much older its copy is than that, and how soon others write
 * again.
 */
constexpr std::uint64_t kShortestAbsence = 20;
constexpr std::uint64_t kLongestAbsence = 2500;
constexpr std::uint64_t kOldestCopy = 4000;
constexpr std::uint64_t kShortestRewrite = 20;
constexpr std::uint64_t kLongestRewrite = 600;

}  // namespace

SoakReturns::SoakReturns(simulation::EventQueue& queue, std::uint64_t seed, ReturnTargets targets)
    : _queue(queue), _random(seed), _targets(std::move(targets)), _healing(queue) {}

Duration SoakReturns::between(std::uint64_t leastMilliseconds, std::uint64_t mostMilliseconds) {
    return milliseconds(leastMilliseconds +
                        _random.below(mostMilliseconds - leastMilliseconds + 1));
}

void SoakReturns::play(Duration length) {
    for (Duration start = between(0, kLongestSeriesGap); start < length;) {
        const Duration away = between(kShortestAbsence, kLongestAbsence);
        const Duration age = away + between(0, kOldestCopy);
        const Duration rewritten = between(kShortestRewrite, kLongestRewrite);
        _queue.after(start, [this, away, age, rewritten] { goAway(away, age, rewritten); });
        const bool isSeries = _random.below(kSeriesEvery) == 0;
        start += away + between(0, isSeries ? kLongestSeriesGap : kLongestGap);
    }
}

void SoakReturns::goAway(Duration away, Duration age, Duration rewrittenAfter) {
    if (_healed) {
        return;
    }
    ++_begun;
    _targets.timeline.note("store away for " +
                           std::to_string(duration_cast<milliseconds>(away).count()) + " ms");
    _targets.store.faults().away = true;
    _targets.onAway(true);
    _healing.after(duration_cast<milliseconds>(away), [this, age, rewrittenAfter] {
        _targets.store.returnOlder(age);
        _targets.store.faults().away = false;
        _targets.timeline.note("store back, " +
                               std::to_string(duration_cast<milliseconds>(age).count()) +
                               " ms older");
        _targets.onAway(false);
        _queue.after(rewrittenAfter, [this] { _targets.writeAgain(); });
    });
}

void SoakReturns::healAll() {
    _healed = true;
    _healing.healAll();
}

}  // namespace coralhoist::soak
