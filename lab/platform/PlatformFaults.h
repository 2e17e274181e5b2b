/** Faults of the stand-in platform, set on command. */
#pragma once

#include <QJsonObject>
#include <chrono>

#include "base/Status.h"

namespace coralhoist::lab {

/** How the platform fails as a whole. */
enum class OutageKind {
    None,
    Refuse, /**< Every request is answered 503 and watches are cut. */
    Hang,   /**< Requests are read and never answered; watches stay open and silent. */
};

/** The faults in force. */
struct PlatformFaults {
    OutageKind outage = OutageKind::None;
    /** Time until the outage heals by itself; 0 for never. */
    std::chrono::milliseconds outageDuration{0};
    /** Time that every request waits before it is served. */
    std::chrono::milliseconds delay{0};
    /** Edits, from now on, that take effect and whose connection is cut without an answer. */
    int answersToLose = 0;
    /** Watches stay open but show neither events nor bookmarks. */
    bool silentWatches = false;
    /** Time until a change of the machine list shows in lists and watches. */
    std::chrono::milliseconds machineLag{0};
};

/** What a fault command asks for besides changed faults. */
struct FaultCommand {
    PlatformFaults faults;
    /** Forget the history, so that watches from older versions get 410, and cut all watches. */
    bool compact = false;
    bool cutWatches = false;
};

/**
 * Reads a fault command: {"outage": "none"|"refuse"|"hang", "outageMilliseconds": N,
 * "delayMilliseconds": N, "loseAnswers": N, "silentWatches": BOOL, "machineLagMilliseconds": N,
 * "compact": BOOL, "cutWatches": BOOL, "heal": BOOL}. Absent keys keep their state; heal first goes
 * back to the faults of the start.
 * @param faults in force before.
 * @param baseFaults in force after heal.
 * @return the command, or InvalidArgument naming the key.
 */
StatusWith<FaultCommand> parseFaultCommand(const QJsonObject& command, const PlatformFaults& faults,
                                           const PlatformFaults& baseFaults);

}  // namespace coralhoist::lab
