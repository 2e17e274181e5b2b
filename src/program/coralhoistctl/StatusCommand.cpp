#include "program/coralhoistctl/StatusCommand.h"

#include <QJsonArray>
#include <algorithm>
#include <chrono>

#include "program/coralhoistctl/StatusJson.h"
#include "program/coralhoistctl/TextTable.h"
#include "settings/SettingValue.h"

namespace coralhoist::ctl {
namespace {

/** @return one sentence for each thing that an operator should look at. */
std::vector<std::string> findConcerns(const gen::StatusResponse& status) {
    std::vector<std::string> concerns;
    if (!status.ready) {
        concerns.push_back("this proxy is not ready: " + status.readinessReason);
    }
    if (status.draining) {
        concerns.emplace_back("this proxy is draining");
    }
    if (!status.platformReachable) {
        concerns.emplace_back(
            "the platform can't be reached: settings stay in force, edits are not possible");
    }
    for (const std::string& fault : status.faults) {
        concerns.push_back(fault);
    }
    for (const gen::MemberStatus& member : status.members) {
        if (member.state != "alive") {
            concerns.push_back("proxy " + member.name + " is " + member.state);
        }
    }
    for (const gen::GroupStatusEntry& group : status.groups) {
        // A proxy that does not own the group knows nothing of its servers.
        if (!group.__isset.primary && !group.servers.empty()) {
            concerns.push_back("group " + group.name + " has no confirmed primary: writes wait");
        }
        for (const gen::ServerStatusEntry& server : group.servers) {
            if (server.state != "serving") {
                concerns.push_back("group " + group.name + ": server " + server.name + " is " +
                                   server.state);
            }
        }
    }
    return concerns;
}

std::string joined(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text.empty() ? "none" : text;
}

std::string uptimeText(std::int64_t milliseconds) {
    const auto uptime = std::chrono::milliseconds(milliseconds);
    return settings::formatDuration(std::chrono::duration_cast<std::chrono::seconds>(uptime));
}

void printSummary(const CommandContext& context, const gen::StatusResponse& status) {
    const std::vector<std::string> concerns = findConcerns(status);
    context.out << "proxy " << status.node << ": "
                << (concerns.empty() ? "all is well"
                                     : std::to_string(concerns.size()) + " to look at")
                << "\n";
    for (const std::string& concern : concerns) {
        context.out << "  ! " << concern << "\n";
    }
    context.out << "version " << status.version << ", up " << uptimeText(status.uptimeMilliseconds)
                << ", settings version " << status.freshestSettingsVersion << ", platform "
                << (status.platformReachable ? "reachable" : "unreachable") << "\n";
    context.out << "sessions: " << status.sessions.open << " open, " << status.sessions.active
                << " running a statement, " << status.sessions.inTransaction
                << " in a transaction\n";
}

void printMembers(const CommandContext& context, const std::vector<gen::MemberStatus>& members) {
    TextTable table({"PROXY", "ZONE", "ADDRESS", "STATE"});
    for (const gen::MemberStatus& member : members) {
        table.addRow({member.name, member.zone, member.address, member.state});
    }
    context.out << "\nproxies: " << members.size() << "\n";
    table.print(context.out, 2);
}

/** @return how many bytes of the log a server has not replayed. */
std::string lagText(const gen::GroupStatusEntry& group, const gen::ServerStatusEntry& server) {
    std::int64_t newest = 0;
    for (const gen::ServerStatusEntry& other : group.servers) {
        const bool sameTerm = other.term == group.term;
        newest = sameTerm ? std::max(newest, other.receivedPosition) : newest;
    }
    if (server.term != group.term) {
        return "other term";
    }
    return std::to_string(std::max<std::int64_t>(0, newest - server.replayedPosition));
}

void printGroup(const CommandContext& context, const gen::GroupStatusEntry& group) {
    if (group.servers.empty()) {
        context.out << "\ngroup " << group.name << ": owners " << joined(group.activeOwners)
                    << ", standby " << joined(group.standbyOwners)
                    << "; ask an owner for its servers\n";
        return;
    }
    context.out << "\ngroup " << group.name << ": term " << group.term << ", primary "
                << (group.__isset.primary ? group.primary : "NONE") << ", owners "
                << joined(group.activeOwners) << ", standby " << joined(group.standbyOwners)
                << ", waiting " << group.urgentQueueLength << " urgent + "
                << group.ordinaryQueueLength << " ordinary\n";
    TextTable table({"SERVER", "ZONE", "ROLE", "STATE", "TERM", "REPLAYED", "BYTES BEHIND",
                     "CONNECTIONS BUSY/IDLE"});
    for (const gen::ServerStatusEntry& server : group.servers) {
        table.addRow({server.name, server.zone, server.role, server.state,
                      std::to_string(server.term), std::to_string(server.replayedPosition),
                      lagText(group, server),
                      std::to_string(server.connectionsInUse) + "/" +
                          std::to_string(server.connectionsIdle)});
    }
    table.print(context.out, 2);
}

}  // namespace

ExitCode showStatus(const CommandContext& context, const Arguments& /*arguments*/) {
    const auto response = context.proxy.ask<gen::StatusResponse>(gen::StatusRequest());
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    const gen::StatusResponse& status = response.value();
    if (context.options.json) {
        QJsonObject object = statusJson(status);
        object["concerns"] = namesJson(findConcerns(status));
        printJson(context, object);
        return ExitCode::Ok;
    }
    printSummary(context, status);
    printMembers(context, status.members);
    for (const gen::GroupStatusEntry& group : status.groups) {
        printGroup(context, group);
    }
    return ExitCode::Ok;
}

}  // namespace coralhoist::ctl
