#include "duty/OperatorConversions.h"

#include <string>

#include "base/Error.h"
#include "link/operator/SettingsAnswers.h"

namespace coralhoist::duty {
namespace {

std::string_view stateName(const zone::Member& member) {
    switch (member.liveness) {
        case zone::Liveness::Alive:
            return member.leaving ? "leaving" : "alive";
        case zone::Liveness::Suspect:
            return "suspect";
        case zone::Liveness::Dead:
            return "dead";
    }
    return "unknown";
}

std::string_view stateName(const contract::ServerReport& report) {
    if (report.leaving) {
        return "leaving";
    }
    return report.healthy ? "serving" : "failed";
}

gen::EditOutcome::type outcomeOf(const Status& status) {
    if (status.isOk()) {
        return gen::EditOutcome::Accepted;
    }
    const std::error_code& code = status.code();
    if (code == ErrorCode::VersionConflict || code == ErrorCode::AlreadyExists ||
        code == ErrorCode::NotFound) {
        return gen::EditOutcome::Conflict;
    }
    return code == ErrorCode::OutcomeUnknown ? gen::EditOutcome::Unknown
                                             : gen::EditOutcome::Refused;
}

}  // namespace

gen::MemberStatus toMemberStatus(const zone::Member& member) {
    gen::MemberStatus status;
    status.name = member.name.value();
    status.zone = member.zone.value();
    status.address = member.address.host + ":" + std::to_string(member.address.port);
    status.state = stateName(member);
    return status;
}

gen::ServerStatusEntry toServerStatus(const contract::ServerReport& report, const ZoneName& zone) {
    gen::ServerStatusEntry entry;
    entry.name = report.server.value();
    entry.zone = zone.value();
    entry.role = report.primary ? "primary" : "replica";
    entry.state = stateName(report);
    entry.term = static_cast<std::int64_t>(report.term);
    entry.receivedPosition = static_cast<std::int64_t>(report.receivedPosition);
    entry.replayedPosition = static_cast<std::int64_t>(report.replayedPosition);
    entry.connectionsInUse = static_cast<std::int32_t>(report.connectionsBusy);
    entry.connectionsIdle =
        static_cast<std::int32_t>(report.connectionsOpen - report.connectionsBusy);
    return entry;
}

gen::SettingsEditResponse toEditResponse(const platform::EditOutcome& outcome) {
    gen::SettingsEditResponse response;
    response.outcome = outcomeOf(outcome.status);
    if (response.outcome == gen::EditOutcome::Accepted) {
        response.__set_version(static_cast<std::int64_t>(outcome.version));
        return response;
    }
    response.problems.push_back(outcome.status.message());
    if (outcome.current && !outcome.current->deleted) {
        response.__set_current(operators::toMessage(*outcome.current));
    }
    return response;
}

}  // namespace coralhoist::duty
