#include "pooling/PlannedStop.h"

#include "base/Log.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** New connections may still come until those who send them have seen that it is not ready. */
constexpr Duration kAcceptsFor = milliseconds(2300);
/** A session that has been idle for so long is closed. */
constexpr Duration kIdleBeforeClose = milliseconds(100);
/** What is left of the grace when the last answers are written: a crowded machine with a tenth of a
 * core needs some hundred milliseconds to send them and to end. */
constexpr Duration kReserve = milliseconds(700);

}  // namespace

void PlannedStop::begin(Duration grace) {
    _beganAt = _clock.now();
    _grace = grace;
    LogEvent("daemon", LogLevel::Info, "daemon.draining").field("sessions", _pooler.sessionCount());
}

bool PlannedStop::advance() {
    const Duration elapsed = _clock.now() - *_beganAt;
    if (elapsed >= kAcceptsFor) {
        _surroundings.stopListening();
        _pooler.closeIdleSessions(kIdleBeforeClose);
    }
    if (elapsed >= _grace / 2) {
        _pooler.finishWork();
        _surroundings.passOnWaiting();
    }
    const bool late = elapsed + kReserve >= _grace;
    if (late) {
        _pooler.answerAll();
    }
    const bool empty = elapsed >= kAcceptsFor && _surroundings.openCount() == 0;
    if (late || empty) {
        LogEvent("daemon", LogLevel::Info, "daemon.drained")
            .field("sessions", _pooler.sessionCount())
            .field("late", late);
    }
    return late || empty;
}

}  // namespace coralhoist::pooling
