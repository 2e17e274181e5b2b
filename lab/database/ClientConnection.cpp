#include "lab/database/ClientConnection.h"

#include <sys/socket.h>

#include <QStringList>
#include <utility>

namespace coralhoist::lab::database {
namespace {

constexpr qint64 kReadBufferBytes = 256LL * 1024;
/** Most bytes that wait for a slow client before work on its statements stops. */
constexpr qint64 kCongestionBytes = 1024LL * 1024;
constexpr std::size_t kQueuedMessages = 10'000;
/** TCP's handshake takes a round trip, the start-up message half of one. */
constexpr int kOneWayDelaysOfStartup = 3;

/** @return the zone named by "coralhoist/ZONE", or an empty name. */
ZoneName zoneOfApplication(const std::string& applicationName) {
    const QStringList parts = QString::fromStdString(applicationName).split('/');
    const bool isProxy = parts.size() >= 2 && parts[0] == "coralhoist";
    return ZoneName(isProxy ? parts[1].toStdString() : std::string());
}

}  // namespace

ClientConnection::ClientConnection(QTcpSocket* socket, ConnectionOwner& owner,
                                   std::int32_t processId, std::int32_t secretKey)
    : _socket(socket),
      _owner(owner),
      _processId(processId),
      _secretKey(secretKey),
      _inbound(owner.host().timers(), [this](const QByteArray& chunk) { onBytes(chunk); }),
      _outbound(owner.host().timers(), [this](const QByteArray& chunk) {
          if (_isClosed) {
              return;
          }
          _socket->write(chunk);
          if (_isFinishing && _outbound.pendingBytes() == 0) {
              _socket->disconnectFromHost();
          }
      }) {
    _socket->setParent(this);
    _socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    _socket->setReadBufferSize(kReadBufferBytes);
    connect(_socket, &QTcpSocket::readyRead, this, [this] { readSocket(); });
    connect(_socket, &QTcpSocket::bytesWritten, this, [this] { onWritten(); });
    connect(_socket, &QTcpSocket::disconnected, this, [this] { close(); });
}

ClientConnection::~ClientConnection() {
    if (_admissionTimer) {
        _owner.host().timers().cancel(*_admissionTimer);
    }
    _socket->disconnect(this);
}

void ClientConnection::readSocket() {
    const bool isFull = _inbound.pendingBytes() > kCongestionBytes ||
                        (_session && _session->queuedMessages() > kQueuedMessages);
    if (_isClosed || _isFinishing || isFull) {
        return;
    }
    const QByteArray chunk = _socket->readAll();
    if (!chunk.isEmpty()) {
        _inbound.push(chunk);
    }
}

void ClientConnection::onBytes(const QByteArray& chunk) {
    if (_isClosed || _isFinishing) {
        return;
    }
    _framer.feed(chunk);
    handleMessages();
    // The socket may hold bytes that were left there while the line was full.
    if (_socket->bytesAvailable() > 0) {
        readSocket();
    }
}

void ClientConnection::handleMessages() {
    while (!_isClosed && !_isFinishing && (!_hasStarted || _session)) {
        StatusWith<std::optional<pgwire::RawMessage>> next = _framer.next();
        if (!next.isOk()) {
            return onProtocolViolation(next.status());
        }
        if (!next.value()) {
            break;
        }
        if (!_hasStarted) {
            handleStartupPacket(next.value()->payload);
            continue;
        }
        auto message = pgwire::parseFrontendMessage(*next.value());
        if (!message.isOk()) {
            return onProtocolViolation(message.status());
        }
        _session->enqueue(std::move(message).value());
    }
    // Messages are enqueued before the first is handled, so that a batch is charged as a whole.
    if (_session && !_isClosed) {
        _session->pump();
    }
}

void ClientConnection::handleStartupPacket(const QByteArray& payload) {
    auto packet = pgwire::parseStartupPacket(payload);
    if (!packet.isOk()) {
        return onProtocolViolation(packet.status());
    }
    if (const auto* cancel = std::get_if<pgwire::CancelRequest>(&packet.value())) {
        _owner.cancelStatement(cancel->processId, cancel->secretKey);
        return abort();
    }
    if (const auto* startup = std::get_if<pgwire::StartupMessage>(&packet.value())) {
        return begin(*startup);
    }
    send(std::string(1, pgwire::kEncryptionDeclined));
}

void ClientConnection::begin(const pgwire::StartupMessage& message) {
    _hasStarted = true;
    _framer.enterRegularPhase();
    for (const pgwire::StartupParameter& parameter : message.parameters) {
        if (parameter.name != "user" && parameter.name != "database" &&
            parameter.name != "options" && parameter.name != "replication") {
            _variables.setDefault(parameter.name, parameter.value);
        }
    }
    const QString options = QString::fromStdString(message.parameter("options").value_or(""));
    for (const QString& part : options.split(' ', Qt::SkipEmptyParts)) {
        const QString assignment = part.startsWith("-c") ? part.mid(2) : part;
        const qsizetype equals = assignment.indexOf('=');
        if (equals > 0) {
            _variables.setDefault(assignment.left(equals).toStdString(),
                                  assignment.mid(equals + 1).toStdString());
        }
    }
    const ZoneName zone = zoneOfApplication(_variables.get("application_name").value_or(""));
    _linkDelay = _owner.zoneDelays().between(zone, _owner.zone());
    _inbound.setDelay(_linkDelay);
    _outbound.setDelay(_linkDelay);
    _admissionTimer = _owner.host().timers().schedule(_linkDelay * kOneWayDelaysOfStartup, [this] {
        _admissionTimer.reset();
        _owner.requestAdmission(*this);
    });
}

void ClientConnection::establish() {
    if (_isClosed || _isFinishing) {
        return;
    }
    _session = std::make_unique<ProtocolSession>(*this, _owner.host(), _processId, _variables);
    sendGreeting();
    handleMessages();
}

void ClientConnection::sendGreeting() {
    pgwire::BackendMessageWriter writer;
    writer.authenticationOk();
    for (const char* name :
         {"application_name", "client_encoding", "DateStyle", "integer_datetimes", "IntervalStyle",
          "server_encoding", "server_version", "standard_conforming_strings", "TimeZone"}) {
        writer.parameterStatus(name, _variables.get(name).value_or(""));
    }
    writer.parameterStatus("in_hot_standby", _owner.host().state().isInRecovery() ? "on" : "off");
    writer.parameterStatus("default_transaction_read_only",
                           _variables.get("default_transaction_read_only").value_or("off"));
    writer.backendKeyData(_processId, _secretKey);
    writer.readyForQuery(contract::TransactionStatus::Idle);
    send(writer.take());
}

void ClientConnection::terminate(const SqlError& error) {
    if (_isClosed || _isFinishing) {
        return;
    }
    if (_session) {
        return _session->terminate(error);
    }
    send(pgwire::encodeErrorResponse(error));
    finish();
}

void ClientConnection::onProtocolViolation(const Status& status) {
    SqlError error;
    error.severity = pgwire::Severity::Fatal;
    error.sqlState = sqlstate::kProtocolViolation;
    error.message = status.message();
    terminate(error);
}

void ClientConnection::cancelStatement() {
    if (_session && !_isClosed) {
        _session->cancel();
    }
}

void ClientConnection::setFrozen(bool frozen) {
    _inbound.setFrozen(frozen);
    _outbound.setFrozen(frozen);
}

void ClientConnection::send(std::string bytes) {
    if (_isClosed || _isFinishing) {
        return;
    }
    _outbound.setDelay(_linkDelay + _owner.answerDelay());
    _outbound.push(QByteArray::fromStdString(bytes));
}

bool ClientConnection::acceptsWork() const {
    const qint64 unsent = _socket->bytesToWrite() + _outbound.pendingBytes();
    return !_isClosed && !_isFinishing && unsent <= kCongestionBytes;
}

void ClientConnection::onDrained() {
    if (_socket->bytesAvailable() > 0) {
        readSocket();
    }
}

void ClientConnection::onWritten() {
    if (_session && acceptsWork()) {
        _session->pump();
        readSocket();
    }
}

void ClientConnection::abort() {
    if (_isClosed) {
        return;
    }
    // Without lingering the kernel drops what was not sent and resets the connection.
    const linger resetOnClose{.l_onoff = 1, .l_linger = 0};
    setsockopt(static_cast<int>(_socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &resetOnClose,
               sizeof resetOnClose);
    _socket->abort();
    close();
}

void ClientConnection::finish() {
    if (_isClosed || _isFinishing) {
        return;
    }
    _isFinishing = true;
    if (_outbound.pendingBytes() == 0) {
        _socket->disconnectFromHost();
    }
}

void ClientConnection::close() {
    if (!_isClosed) {
        _isClosed = true;
        _owner.onClosed(*this);
    }
}

}  // namespace coralhoist::lab::database
