#include "lab/platform/PlatformFaults.h"

#include <array>
#include <string>

#include "base/Error.h"

namespace coralhoist::lab {
namespace {

struct NamedOutage {
    const char* name;
    OutageKind kind;
};

constexpr std::array<NamedOutage, 3> kOutages = {{
    {"none", OutageKind::None},
    {"refuse", OutageKind::Refuse},
    {"hang", OutageKind::Hang},
}};

constexpr int kInvalidNumber = -1;

Status invalid(const QString& key) {
    return {ErrorCode::InvalidArgument,
            "fault command: bad value or unknown key " + key.toStdString()};
}

bool readOutage(const QJsonValue& value, OutageKind& outage) {
    for (const NamedOutage& candidate : kOutages) {
        if (value.toString() == candidate.name) {
            outage = candidate.kind;
            return true;
        }
    }
    return false;
}

bool readFlag(const QJsonValue& value, bool& flag) {
    flag = value.toBool();
    return value.isBool();
}

bool readCount(const QJsonValue& value, int& count) {
    count = value.toInt(kInvalidNumber);
    return count >= 0;
}

bool readTime(const QJsonValue& value, std::chrono::milliseconds& time) {
    time = std::chrono::milliseconds(value.toInt(kInvalidNumber));
    return time.count() >= 0;
}

bool apply(const QString& key, const QJsonValue& value, FaultCommand& command) {
    PlatformFaults& faults = command.faults;
    bool heal = false;
    if (key == "heal") {
        return readFlag(value, heal);
    }
    if (key == "outage") {
        return readOutage(value, faults.outage);
    }
    if (key == "outageMilliseconds") {
        return readTime(value, faults.outageDuration);
    }
    if (key == "delayMilliseconds") {
        return readTime(value, faults.delay);
    }
    if (key == "loseAnswers") {
        return readCount(value, faults.answersToLose);
    }
    if (key == "silentWatches") {
        return readFlag(value, faults.silentWatches);
    }
    if (key == "machineLagMilliseconds") {
        return readTime(value, faults.machineLag);
    }
    if (key == "compact") {
        return readFlag(value, command.compact);
    }
    return key == "cutWatches" && readFlag(value, command.cutWatches);
}

}  // namespace

StatusWith<FaultCommand> parseFaultCommand(const QJsonObject& command, const PlatformFaults& faults,
                                           const PlatformFaults& baseFaults) {
    FaultCommand result;
    result.faults = command["heal"].toBool() ? baseFaults : faults;
    // A time limit belongs to the outage that it came with.
    result.faults.outageDuration = std::chrono::milliseconds(0);
    for (auto entry = command.begin(); entry != command.end(); ++entry) {
        if (!apply(entry.key(), entry.value(), result)) {
            return invalid(entry.key());
        }
    }
    return result;
}

}  // namespace coralhoist::lab
