#include "pooling/PlannedStop.h"

#include "base/Log.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** Connections are accepted for this time after the stop begins: new connections may arrive until
 * the clients have seen that the node is not ready. */
constexpr Duration kAcceptsFor = milliseconds(2300);
/** Idle time after which a session is closed during the stop. */
constexpr Duration kIdleBeforeClose = milliseconds(100);
/**
 * Part of the grace period that is reserved for writing the last responses: on an overloaded
 * machine with a tenth of a core, sending them and exiting takes some hundred milliseconds.
 */
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
