#include "program/coralhoistctl/StatusJson.h"

namespace coralhoist::ctl {
namespace {

QString text(const std::string& value) {
    return QString::fromStdString(value);
}

QJsonObject memberJson(const gen::MemberStatus& member) {
    return {{"name", text(member.name)},
            {"zone", text(member.zone)},
            {"address", text(member.address)},
            {"state", text(member.state)}};
}

QJsonObject serverJson(const gen::ServerStatusEntry& server) {
    return {{"name", text(server.name)},
            {"zone", text(server.zone)},
            {"role", text(server.role)},
            {"state", text(server.state)},
            {"term", qint64{server.term}},
            {"receivedPosition", qint64{server.receivedPosition}},
            {"replayedPosition", qint64{server.replayedPosition}},
            {"connectionsInUse", server.connectionsInUse},
            {"connectionsIdle", server.connectionsIdle}};
}

QJsonObject groupJson(const gen::GroupStatusEntry& group) {
    QJsonArray servers;
    for (const gen::ServerStatusEntry& server : group.servers) {
        servers.append(serverJson(server));
    }
    const QJsonValue primary =
        group.__isset.primary ? QJsonValue(text(group.primary)) : QJsonValue(QJsonValue::Null);
    return {{"name", text(group.name)},
            {"term", qint64{group.term}},
            {"primary", primary},
            {"activeOwners", namesJson(group.activeOwners)},
            {"standbyOwners", namesJson(group.standbyOwners)},
            {"urgentQueueLength", group.urgentQueueLength},
            {"ordinaryQueueLength", group.ordinaryQueueLength},
            {"servers", servers}};
}

}  // namespace

QJsonArray namesJson(const std::vector<std::string>& names) {
    QJsonArray array;
    for (const std::string& name : names) {
        array.append(text(name));
    }
    return array;
}

QJsonObject statusJson(const gen::StatusResponse& status) {
    QJsonArray members;
    for (const gen::MemberStatus& member : status.members) {
        members.append(memberJson(member));
    }
    QJsonArray groups;
    for (const gen::GroupStatusEntry& group : status.groups) {
        groups.append(groupJson(group));
    }
    const QJsonObject sessions = {{"open", qint64{status.sessions.open}},
                                  {"active", qint64{status.sessions.active}},
                                  {"inTransaction", qint64{status.sessions.inTransaction}}};
    return {{"node", text(status.node)},
            {"version", text(status.version)},
            {"ready", status.ready},
            {"readinessReason", text(status.readinessReason)},
            {"draining", status.draining},
            {"uptimeMilliseconds", qint64{status.uptimeMilliseconds}},
            {"freshestSettingsVersion", qint64{status.freshestSettingsVersion}},
            {"platformReachable", status.platformReachable},
            {"members", members},
            {"groups", groups},
            {"sessions", sessions},
            {"faults", namesJson(status.faults)}};
}

}  // namespace coralhoist::ctl
