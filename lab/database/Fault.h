/** Faults that can be put on a server. */
#pragma once

#include <QJsonObject>

#include "base/Status.h"
#include "base/Time.h"
#include "lab/database/Server.h"

namespace coralhoist::lab::database {

enum class FaultAction {
    Cut,                   /**< Separate from the group, or also from clients. */
    Heal,                  /**< End a cut. */
    Crash,                 /**< Break connections, refuse new ones; the data survive. */
    Restart,               /**< End a crash. */
    Pause,                 /**< Stop without closing anything, like SIGSTOP. */
    Resume,                /**< End a pause. */
    ReplayLag,             /**< Time from receipt to visibility on this replica. */
    ReplicationDelay,      /**< Extra delay of messages to and from this replica. */
    ResetConnections,      /**< Break connections with a TCP reset. */
    AnswerDelay,           /**< Extra delay of all answers to clients. */
    Leave,                 /**< Serve on for the duration, then hand over and shut down. */
    DropAnswerAfterCommit, /**< Break connections after their commit, before its answer. */
    Switchover,            /**< Make this replica the primary. */
};

/** One command to the fault controller. */
struct FaultCommand {
    FaultAction action = FaultAction::Heal;
    ServerName server;
    CutScope scope = CutScope::Peers;
    Duration duration{0};
    /** Connections or answers. */
    int count = 1;
};

/** @return the command of a JSON object, or InvalidArgument naming what is wrong with it. */
StatusWith<FaultCommand> parseFault(const QJsonObject& object);

}  // namespace coralhoist::lab::database
