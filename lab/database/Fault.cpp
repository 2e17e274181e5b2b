#include "lab/database/Fault.h"

#include <QString>
#include <array>
#include <utility>

#include "base/Error.h"

namespace coralhoist::lab::database {
namespace {

constexpr int kManyConnections = 1'000'000;

constexpr std::array kActions = {
    std::pair("cut", FaultAction::Cut),
    std::pair("heal", FaultAction::Heal),
    std::pair("crash", FaultAction::Crash),
    std::pair("restart", FaultAction::Restart),
    std::pair("pause", FaultAction::Pause),
    std::pair("resume", FaultAction::Resume),
    std::pair("replay-lag", FaultAction::ReplayLag),
    std::pair("replication-delay", FaultAction::ReplicationDelay),
    std::pair("reset-connections", FaultAction::ResetConnections),
    std::pair("answer-delay", FaultAction::AnswerDelay),
    std::pair("leave", FaultAction::Leave),
    std::pair("drop-answer-after-commit", FaultAction::DropAnswerAfterCommit),
    std::pair("switchover", FaultAction::Switchover),
};

Status invalid(const std::string& message) {
    return {ErrorCode::InvalidArgument, message};
}

std::optional<FaultAction> actionOf(const QString& name) {
    for (const auto& [actionName, action] : kActions) {
        if (name == QLatin1String(actionName)) {
            return action;
        }
    }
    return std::nullopt;
}

}  // namespace

StatusWith<FaultCommand> parseFault(const QJsonObject& object) {
    const QString name = object["action"].toString();
    const std::optional<FaultAction> action = actionOf(name);
    if (!action) {
        return invalid("unknown action \"" + name.toStdString() + "\"");
    }
    FaultCommand command;
    command.action = *action;
    command.server = ServerName(object["server"].toString().toStdString());
    const double milliseconds = object["milliseconds"].toDouble(0);
    if (milliseconds < 0) {
        return invalid("\"milliseconds\" must not be negative");
    }
    command.duration = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
    const bool resetsAll = *action == FaultAction::ResetConnections;
    command.count = object["count"].toInt(resetsAll ? kManyConnections : 1);
    const QString from = object["from"].toString("group");
    if (from != "group" && from != "all") {
        return invalid("\"from\" must be \"group\" or \"all\"");
    }
    command.scope = from == "all" ? CutScope::Everything : CutScope::Peers;
    return command;
}

}  // namespace coralhoist::lab::database
