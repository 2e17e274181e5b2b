#include "lab/soak/WireServer.h"

#include <QHostAddress>
#include <QTimer>
#include <utility>
#include <vector>

#include "lab/pooled/LogGroup.h"
#include "platform/WireWords.h"

namespace coralhoist::soak {

using platform_adapter::kLineEnd;
using platform_adapter::takeField;
using pooling::ServerCommand;
using pooling::SessionState;

namespace {

using std::chrono::milliseconds;

/** A new connection holds a slot for so long. */
constexpr milliseconds kConnectionWork{12};
/** A commit that waits for a replica gives its slot back after so long. */
constexpr milliseconds kLongestSlotUse{1500};

bool needsSlot(const ServerCommand& command) {
    switch (command.kind) {
        case ServerCommand::Kind::Caller:
            return !command.text.starts_with("BEGIN") && command.text != "ROLLBACK";
        case ServerCommand::Kind::Status:
        case ServerCommand::Kind::Pause:
        case ServerCommand::Kind::Resume:
        case ServerCommand::Kind::StepDown:
            return true;
        default:
            return false;
    }
}

}  // namespace

WireServer::WireServer(pooled::LogConnector& connector, RandomSource& random,
                       pooled::PooledJudge& judge, const pooled::RequestBook& book,
                       pooled::LogGroup& group, ServerName name)
    : _connector(connector),
      _random(random),
      _judge(judge),
      _book(book),
      _group(group),
      _name(std::move(name)) {
    connect(&_server, &QTcpServer::newConnection, this, [this] { accept(); });
    _server.listen(QHostAddress::LocalHost, 0);
}

WireServer::~WireServer() {
    for (const auto& [socket, session] : _sessions) {
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
        _sessions[socket];
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
    for (const auto& [socket, session] : _sessions) {
        sockets.push_back(socket);
    }
    for (QTcpSocket* socket : sockets) {
        socket->abort();
        closeSocket(socket);
    }
}

void WireServer::closeSocket(QTcpSocket* socket) {
    const auto found = _sessions.find(socket);
    if (found == _sessions.end()) {
        return;
    }
    Session session = std::move(found->second);
    _sessions.erase(found);
    if (session.id) {
        _connector.close(*session.id);
        _socketOf.erase(*session.id);
    }
    socket->deleteLater();
    releaseSlot(session);
}

void WireServer::read(QTcpSocket* socket) {
    while (_sessions.contains(socket) && socket->canReadLine()) {
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
    Session& session = _sessions[socket];
    const std::optional<ServerCommand> command =
        word == "QUERY" && session.id ? commandOf(line) : std::nullopt;
    if (!command) {
        socket->disconnectFromHost();
        return;
    }
    if (_quotas != nullptr) {
        _quotas->onArrived(command->id);
    }
    if (_onStatement && command->id != "-") {
        _onStatement();
    }
    session.commands.push_back(*command);
    runNext(*session.id);
}

void WireServer::connectSession(QTcpSocket* socket, std::string_view fields) {
    const std::string_view group = takeField(fields);
    const TenantName tenant{std::string(takeField(fields))};
    const bool expected = group == _group.name().value() &&
                          (fields.empty() || fields == _name.value()) && !_sessions[socket].id;
    if (!expected) {
        refuseSession(socket, "WRONGNODE");
        return;
    }
    if (_sessions.size() > _slots.load().connections) {
        refuseSession(socket, "CONNLIMIT");
        return;
    }
    const QPointer<QTcpSocket> waiting(socket);
    _slots.acquire([this, waiting, tenant] {
        QTimer::singleShot(kConnectionWork, this, [this, waiting, tenant] {
            if (waiting && _sessions.contains(waiting)) {
                openSession(waiting, tenant);
            }
            _slots.release();
        });
    });
}

void WireServer::openSession(QTcpSocket* socket, const TenantName& tenant) {
    pooling::ServerAddress address;
    address.group = _group.name();
    address.server = _name;
    const ConnectionId id = _connector.open(address, tenant, *this);
    _sessions[socket].id = id;
    _socketOf[id] = socket;
}

void WireServer::refuseSession(QTcpSocket* socket, std::string_view word) {
    const std::string line = "ERROR " + std::string(word) + " refused" + std::string(kLineEnd);
    socket->write(line.c_str());
    socket->disconnectFromHost();
}

WireServer::Session* WireServer::sessionOf(ConnectionId connection) {
    const auto found = _socketOf.find(connection);
    return found == _socketOf.end() ? nullptr : &_sessions[found->second];
}

milliseconds WireServer::drawDelay() {
    const ServerLoad& load = _slots.load();
    const auto spread =
        static_cast<std::uint64_t>((load.longestDelay - load.shortestDelay).count());
    return load.shortestDelay + milliseconds(_random.below(spread + 1));
}

/** Commands of a session run one after another; each is answered before the next one begins. */
void WireServer::runNext(ConnectionId connection) {
    Session* session = sessionOf(connection);
    if (session == nullptr || session->running || session->commands.empty()) {
        return;
    }
    const ServerCommand command = session->commands.front();
    session->commands.pop_front();
    session->running = true;
    if (!needsSlot(command)) {
        execute(connection, command);
    } else if (session->state == SessionState::Idle && _slots.isQueueFull()) {
        refuseAsBusy(connection);
    } else {
        _slots.acquire([this, connection, command] { runInSlot(connection, command); });
    }
}

void WireServer::refuseAsBusy(ConnectionId connection) {
    pooling::StatementResult refusal;
    refusal.error = pooling::StatementError{pooling::StatementFault::Busy, {}};
    refusal.position = sessionOf(connection)->position;
    deliver(connection, refusal);
}

void WireServer::execute(ConnectionId connection, const ServerCommand& command) {
    if (_quotas != nullptr) {
        _quotas->onRan(command.id);
    }
    _connector.send(connection, {command});
}

/** The extra time passes before the command runs or before its answer leaves, at random. */
void WireServer::runInSlot(ConnectionId connection, const ServerCommand& command) {
    Session* session = sessionOf(connection);
    if (session == nullptr) {
        _slots.release();
        return;
    }
    const std::uint64_t slotUse = ++_lastSlotUse;
    session->slotUse = slotUse;
    QTimer::singleShot(kLongestSlotUse, this, [this, connection, slotUse] {
        Session* late = sessionOf(connection);
        if (late != nullptr && late->slotUse == slotUse) {
            releaseSlot(*late);
        }
    });
    session->answersLate = _random.below(2) == 0;
    if (session->answersLate) {
        execute(connection, command);
        return;
    }
    QTimer::singleShot(drawDelay(), this, [this, connection, command] {
        if (sessionOf(connection) != nullptr) {
            execute(connection, command);
        }
    });
}

void WireServer::releaseSlot(Session& session) {
    if (session.slotUse != 0) {
        session.slotUse = 0;
        _slots.release();
    }
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
    if (Session* session = sessionOf(connection); session != nullptr) {
        session->position = position;
    }
    std::string out;
    appendReady(out, SessionState::Idle, position);
    write(connection, out);
}

void WireServer::onOpenFailed(ConnectionId connection,
                              const std::optional<pooling::StatementError>& /*refusal*/) {
    onLost(connection);
}

void WireServer::onResult(ConnectionId connection, pooling::StatementResult result) {
    Session* session = sessionOf(connection);
    if (session == nullptr) {
        return;
    }
    const milliseconds delay = session->answersLate ? drawDelay() : milliseconds(0);
    session->answersLate = false;
    if (delay.count() == 0) {
        deliver(connection, result);
        return;
    }
    QTimer::singleShot(delay, this, [this, connection, result] { deliver(connection, result); });
}

void WireServer::deliver(ConnectionId connection, const pooling::StatementResult& result) {
    Session* session = sessionOf(connection);
    if (session == nullptr) {
        return;
    }
    session->running = false;
    session->state = result.state;
    session->position = result.position;
    std::string out;
    if (result.error) {
        out += "ERROR " + std::string(platform_adapter::wordOf(result.error->fault)) + " refused";
        out += kLineEnd;
    } else {
        for (const std::string& row : result.rows) {
            appendReport(out, row);
        }
        out += "COMPLETE " + (result.signature.empty() ? std::string("-") : result.signature);
        out += kLineEnd;
    }
    appendReady(out, result.state, result.position);
    write(connection, out);
    releaseSlot(*session);
    runNext(connection);
}

/** A report: role, term, position received as two numbers, term held. */
void WireServer::appendReport(std::string& out, std::string_view row) const {
    const std::string_view role = takeField(row);
    const std::string_view term = takeField(row);
    const std::string_view receivedTerm = takeField(row);
    const std::string_view received = takeField(row);
    out += "ROW ";
    out += role;
    out += ' ';
    out += term;
    out += ' ';
    out += receivedTerm;
    out += '.';
    out += received;
    out += ' ';
    out += row;
    out += " 0 " + std::to_string(_slots.used()) + ' ' + std::to_string(_sessions.size());
    out += kLineEnd;
}

void WireServer::onLost(ConnectionId connection) {
    const auto found = _socketOf.find(connection);
    if (found == _socketOf.end()) {
        return;
    }
    QTcpSocket* socket = found->second;
    _socketOf.erase(found);
    Session session = std::move(_sessions[socket]);
    _sessions.erase(socket);
    socket->abort();
    socket->deleteLater();
    releaseSlot(session);
}

}  // namespace coralhoist::soak
