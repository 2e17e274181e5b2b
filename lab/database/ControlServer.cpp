#include "lab/database/ControlServer.h"

#include <QHttpServerResponse>
#include <QJsonArray>
#include <QJsonDocument>

#include "base/Error.h"

namespace coralhoist::lab::database {
namespace {

QString text(const std::string& value) {
    return QString::fromStdString(value);
}

QJsonValue number(std::uint64_t value) {
    return static_cast<qint64>(value);
}

QJsonObject describeCounters(const ServerCounters& counters) {
    const auto served = [&counters](ServedKind kind) {
        return number(counters.served[static_cast<std::size_t>(kind)]);
    };
    return {{"read", served(ServedKind::Read)},
            {"write", served(ServedKind::Write)},
            {"status", served(ServedKind::Status)},
            {"control", served(ServedKind::Control)}};
}

QJsonObject describeServer(Server& server) {
    return {{"name", text(server.name().value())},
            {"zone", text(server.zone().value())},
            {"port", server.listener().port()},
            {"role", server.isPrimary() ? "primary" : "replica"},
            {"alive", server.isAlive()},
            {"paused", server.isPaused()},
            {"cut", server.isCut()},
            {"leaving", server.isLeaving()},
            {"term", number(server.term())},
            {"receivedPosition", text(formatLogPosition(server.receivedPosition()))},
            {"replayedPosition", text(formatLogPosition(server.replayedPosition()))},
            {"connections", server.listener().connectionCount()},
            {"connectionsAdmitted", number(server.listener().admittedCount())},
            {"connectionsRefused", number(server.listener().refusedCount())},
            {"waitingForSlot", number(server.executionSlots().waitingCount())},
            {"served", describeCounters(server.counters())},
            {"committedWrites", number(server.counters().committedWrites)},
            {"servedSinceLeave", number(server.counters().servedSinceLeave)}};
}

QHttpServerResponse respond(const Status& status) {
    if (status.isOk()) {
        return QHttpServerResponse(QJsonObject{{"ok", true}});
    }
    const bool isMissing = status.code() == ErrorCode::NotFound;
    const bool isUnavailable = status.code() == ErrorCode::Unavailable;
    const auto code = isMissing       ? QHttpServerResponse::StatusCode::NotFound
                      : isUnavailable ? QHttpServerResponse::StatusCode::Conflict
                                      : QHttpServerResponse::StatusCode::BadRequest;
    return {QJsonObject{{"ok", false}, {"error", text(status.message())}}, code};
}

}  // namespace

ControlServer::ControlServer(DatabaseGroup& group) : _group(group) {
    _server.route("/status", QHttpServerRequest::Method::Get,
                  [this] { return QHttpServerResponse(status()); });
    _server.route("/fault", QHttpServerRequest::Method::Post,
                  [this](const QHttpServerRequest& request) { return handleFault(request); });
}

StatusWith<std::uint16_t> ControlServer::listen(const QHostAddress& address, std::uint16_t port) {
    const std::uint16_t bound = _server.listen(address, port);
    if (bound == 0) {
        return Status(ErrorCode::Unavailable, "can't listen on the control port");
    }
    return bound;
}

QJsonObject ControlServer::status() const {
    QJsonArray servers;
    for (const auto& server : _group.servers()) {
        servers.append(describeServer(*server));
    }
    const Server* primary = _group.primary();
    return {{"primary", primary == nullptr ? QJsonValue() : text(primary->name().value())},
            {"servers", servers}};
}

QHttpServerResponse ControlServer::handleFault(const QHttpServerRequest& request) {
    const QJsonDocument document = QJsonDocument::fromJson(request.body());
    if (!document.isObject()) {
        return respond(Status(ErrorCode::InvalidArgument, "the body must be a JSON object"));
    }
    const StatusWith<FaultCommand> command = parseFault(document.object());
    return respond(command.isOk() ? _group.apply(command.value()) : command.status());
}

}  // namespace coralhoist::lab::database
