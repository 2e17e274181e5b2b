#include "lab/soak/WireServer.h"

#include <QHostAddress>
#include <utility>
#include <vector>

#include "lab/pooled/LogGroup.h"
#include "platform/WireWords.h"

namespace coralhoist::soak {

using platform_adapter::kLineEnd;
using platform_adapter::takeField;
using pooling::ServerCommand;
using pooling::SessionState;

WireServer::WireServer(pooled::LogConnector& connector, pooled::PooledJudge& judge,
                       const pooled::RequestBook& book, pooled::LogGroup& group, ServerName name)
    : _connector(connector), _judge(judge), _book(book), _group(group), _name(std::move(name)) {
    connect(&_server, &QTcpServer::newConnection, this, [this] { accept(); });
    _server.listen(QHostAddress::LocalHost, 0);
}

WireServer::~WireServer() {
    for (const auto& [socket, id] : _idOf) {
        socket->disconnect(this);
    }
}

void WireServer::accept() {
    while (QTcpSocket* socket = _server.nextPendingConnection()) {
        if (!_group.server(_name).running) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        _idOf[socket] = std::nullopt;
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        connect(socket, &QTcpSocket::readyRead, this, [this, socket] { read(socket); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] { closeSocket(socket); });
    }
}

void WireServer::step() {
    if (_group.server(_name).running) {
        return;
    }
    std::vector<QTcpSocket*> sockets;
    for (const auto& [socket, id] : _idOf) {
        sockets.push_back(socket);
    }
    for (QTcpSocket* socket : sockets) {
        socket->abort();
        closeSocket(socket);
    }
}

void WireServer::closeSocket(QTcpSocket* socket) {
    const auto found = _idOf.find(socket);
    if (found == _idOf.end()) {
        return;
    }
    if (found->second) {
        _connector.close(*found->second);
        _socketOf.erase(*found->second);
    }
    _idOf.erase(found);
    socket->deleteLater();
}

void WireServer::read(QTcpSocket* socket) {
    while (_idOf.contains(socket) && socket->canReadLine()) {
        std::string line = socket->readLine().toStdString();
        line.resize(line.size() - std::min(line.size(), kLineEnd.size()));
        onLine(socket, line);
    }
}

void WireServer::onLine(QTcpSocket* socket, std::string_view line) {
    const std::string_view word = takeField(line);
    if (word == "CONNECT") {
        connectSession(socket, line);
        return;
    }
    const std::optional<ConnectionId> id = _idOf[socket];
    const std::optional<ServerCommand> command =
        word == "QUERY" && id ? commandOf(line) : std::nullopt;
    if (!command) {
        socket->disconnectFromHost();
        return;
    }
    _connector.send(*id, {*command});
}

void WireServer::connectSession(QTcpSocket* socket, std::string_view fields) {
    const std::string_view group = takeField(fields);
    const TenantName tenant{std::string(takeField(fields))};
    const bool expected = group == _group.name().value() &&
                          (fields.empty() || fields == _name.value()) && !_idOf[socket];
    if (!expected) {
        socket->write("ERROR WRONGNODE another server\r\n");
        socket->disconnectFromHost();
        return;
    }
    pooling::ServerAddress address;
    address.group = _group.name();
    address.server = _name;
    const ConnectionId id = _connector.open(address, tenant, *this);
    _idOf[socket] = id;
    _socketOf[id] = socket;
}

/** @return nothing for a statement that no caller has sent, which the judge is told. */
std::optional<ServerCommand> WireServer::commandOf(std::string_view fields) {
    ServerCommand command;
    command.id = takeField(fields);
    if (fields.starts_with("AFTER ")) {
        takeField(fields);
        command.after = platform_adapter::readPosition(takeField(fields));
    }
    const std::string_view verb = takeField(fields);
    if (command.id != "-") {
        if (!_book.contains(command.id)) {
            _judge.fail("UNASKED: statement " + command.id + " was sent by no caller");
            return std::nullopt;
        }
        command.text = verb == "BEGIN" && fields == "READ" ? "BEGIN READ" : std::string(verb);
        return command;
    }
    const std::string number(fields.empty() ? "0" : fields);
    if (verb == "STATUS") {
        command.kind = ServerCommand::Kind::Status;
    } else if (verb == "PAUSE") {
        command.kind = ServerCommand::Kind::Pause;
        command.term = std::stoull(number);
    } else if (verb == "RESUME") {
        command.kind = ServerCommand::Kind::Resume;
    } else if (verb == "STEPDOWN") {
        command.kind = ServerCommand::Kind::StepDown;
        command.term = std::stoull(number);
    } else if (verb == "ROLLBACK") {
        command.kind = ServerCommand::Kind::Rollback;
    } else {
        command.kind = ServerCommand::Kind::Reset;
    }
    return command;
}

void WireServer::appendReady(std::string& out, SessionState state, OpTime position) const {
    const char letter = state == SessionState::Idle            ? 'I'
                        : state == SessionState::InTransaction ? 'T'
                                                               : 'E';
    out += "READY ";
    out += letter;
    out += ' ' + platform_adapter::writePosition(position);
    out += kLineEnd;
}

void WireServer::write(ConnectionId connection, const std::string& bytes) {
    const auto found = _socketOf.find(connection);
    if (found != _socketOf.end() && found->second->state() == QAbstractSocket::ConnectedState) {
        found->second->write(bytes.data(), static_cast<qint64>(bytes.size()));
    }
}

void WireServer::onOpened(ConnectionId connection, OpTime position) {
    std::string out;
    appendReady(out, SessionState::Idle, position);
    write(connection, out);
}

void WireServer::onOpenFailed(ConnectionId connection,
                              const std::optional<pooling::StatementError>& /*refusal*/) {
    onLost(connection);
}

void WireServer::onResult(ConnectionId connection, pooling::StatementResult result) {
    std::string out;
    if (result.error) {
        out += "ERROR " + std::string(platform_adapter::wordOf(result.error->fault)) + " refused";
        out += kLineEnd;
    } else {
        for (const std::string& row : result.rows) {
            // A report: role, term, position received as two numbers, term held.
            std::string_view rest = row;
            const std::string_view role = takeField(rest);
            const std::string_view term = takeField(rest);
            const std::string_view receivedTerm = takeField(rest);
            const std::string_view received = takeField(rest);
            out += "ROW ";
            out += role;
            out += ' ';
            out += term;
            out += ' ';
            out += receivedTerm;
            out += '.';
            out += received;
            out += ' ';
            out += rest;
            out += " 0 0 0";
            out += kLineEnd;
        }
        out += "COMPLETE " + (result.signature.empty() ? std::string("-") : result.signature);
        out += kLineEnd;
    }
    appendReady(out, result.state, result.position);
    write(connection, out);
}

void WireServer::onLost(ConnectionId connection) {
    const auto found = _socketOf.find(connection);
    if (found == _socketOf.end()) {
        return;
    }
    QTcpSocket* socket = found->second;
    _socketOf.erase(found);
    _idOf.erase(socket);
    socket->abort();
    socket->deleteLater();
}

}  // namespace coralhoist::soak
