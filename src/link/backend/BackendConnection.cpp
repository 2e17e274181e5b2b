#include "link/backend/BackendConnection.h"

#include <utility>

namespace coralhoist::backend {

using contract::ConnectionState;

BackendConnection::BackendConnection(ConnectionId id, contract::BackendEvents& events,
                                     const ConnectorOptions& options, std::function<void()> onEnded,
                                     QObject* parent)
    : QObject(parent),
      _id(id),
      _events(events),
      _options(options),
      _onEnded(std::move(onEnded)),
      _opener(
          this, [this](ConnectionOpener::Opened opened) { becomeOpen(std::move(opened)); },
          [this](const ConnectError& error) { failOpening(error); }),
      _watch(
          this, [this] { onReadable(); }, [this] { onWritable(); }) {}

BackendConnection::~BackendConnection() {
    shutdown();
}

void BackendConnection::open(const ConnectionParameters& parameters) {
    _opener.start(parameters, _options.connectTimeout);
}

void BackendConnection::refuse(const std::string& message) {
    QMetaObject::invokeMethod(
        this, [this, message] { failOpening({.sqlState = {}, .message = message}); },
        Qt::QueuedConnection);
}

void BackendConnection::becomeOpen(ConnectionOpener::Opened opened) {
    _connection = std::move(opened.connection);
    _cancelKey = opened.cancelKey;
    _state = State::Idle;
    PQsetNoticeReceiver(_connection.get(), receiveNotice, this);
    updateWatch();
    _events.onOpened(_id);
}

void BackendConnection::failOpening(const ConnectError& error) {
    if (_state == State::Ended) {
        return;
    }
    shutdown();
    _onEnded();
    _events.onOpenFailed(_id, error.sqlState, error.message);
}

void BackendConnection::run(contract::BackendProgram program) {
    if (_state != State::Idle) {
        loseLater(false, "the connection is not idle");
        return;
    }
    // A server that has closed the connection by now can't have got anything of the program.
    if (_inputEnded || PQconsumeInput(_connection.get()) == 0) {
        loseLater(false, PQerrorMessage(_connection.get()));
        return;
    }
    _state = State::Running;
    _runner = std::make_unique<ProgramRunner>(_id, _connection.get(), _events, _options);
    _runner->setReading(_reading);
    if (!_runner->start(std::move(program))) {
        loseLater(true, _runner->failure());
        return;
    }
    updateWatch();
}

void BackendConnection::setReading(bool reading) {
    _reading = reading;
    if (_runner) {
        _runner->setReading(reading);
    }
    if (_state != State::Idle && _state != State::Running) {
        return;
    }
    updateWatch();
    if (reading) {
        advanceLater();
    }
}

void BackendConnection::shutdown() {
    _state = State::Ended;
    _opener.stop();
    _watch.stop();
    if (_runner) {
        _runner->stop();
    }
    _connection.reset();
}

void BackendConnection::receiveNotice(void* connection, const PGresult* notice) {
    auto* self = static_cast<BackendConnection*>(connection);
    if (self->_state == State::Running) {
        self->_runner->addNotice(notice);
    } else {
        self->_idleNotice = PQresultErrorMessage(notice);
    }
}

void BackendConnection::onReadable() {
    if (PQconsumeInput(_connection.get()) == 0) {
        _inputEnded = true;
    }
    advance();
}

void BackendConnection::onWritable() {
    updateWatch();
    // libpq may have read results while it was flushing, and they raise no further notification.
    advance();
}

void BackendConnection::advance() {
    if (_state == State::Ended) {
        return;
    }
    if (_state == State::Running) {
        const ProgramRunner::Progress progress = _runner->advance();
        if (progress == ProgramRunner::Progress::Stopped) {
            return;
        }
        if (progress == ProgramRunner::Progress::Broken) {
            lose(_runner->failure());
            return;
        }
        if (progress == ProgramRunner::Progress::Ended) {
            endProgram();
            return;
        }
    } else {
        noteIdleInput();
    }
    // While reading is stopped, results that came before the end are still to be delivered.
    if (_inputEnded && (_reading || _state == State::Idle)) {
        const bool explained = _state == State::Idle && !_idleNotice.empty();
        lose(explained ? _idleNotice : PQerrorMessage(_connection.get()));
        return;
    }
    updateWatch();
}

void BackendConnection::endProgram() {
    _runner.reset();
    _state = State::Idle;
    updateWatch();
    if (_inputEnded) {
        advanceLater();
    }
    _events.onProgramEnded(_id, transactionState());
}

void BackendConnection::noteIdleInput() {
    // Lets libpq parse notices and parameter changes, which it does only when asked for results.
    PQisBusy(_connection.get());
    if (PQstatus(_connection.get()) == CONNECTION_BAD) {
        _inputEnded = true;
    }
}

void BackendConnection::lose(const std::string& message) {
    const bool sent = _state == State::Running;
    shutdown();
    _onEnded();
    _events.onLost(_id, sent, message);
}

void BackendConnection::loseLater(bool sent, const std::string& message) {
    _watch.stop();
    QMetaObject::invokeMethod(
        this,
        [this, sent, message] {
            if (_state == State::Ended) {
                return;
            }
            shutdown();
            _onEnded();
            _events.onLost(_id, sent, message);
        },
        Qt::QueuedConnection);
}

void BackendConnection::updateWatch() {
    const bool unsent = PQflush(_connection.get()) == 1;
    const bool readable = !_inputEnded && (_reading || _state == State::Idle);
    _watch.watch(_inputEnded ? -1 : PQsocket(_connection.get()), readable, unsent);
}

void BackendConnection::advanceLater() {
    QMetaObject::invokeMethod(
        this, [this] { advance(); }, Qt::QueuedConnection);
}

ConnectionState BackendConnection::transactionState() const {
    switch (PQtransactionStatus(_connection.get())) {
        case PQTRANS_IDLE:
            return ConnectionState::Idle;
        case PQTRANS_INTRANS:
            return ConnectionState::InTransaction;
        case PQTRANS_INERROR:
            return ConnectionState::InFailedTransaction;
        default:
            return ConnectionState::Unknown;
    }
}

}  // namespace coralhoist::backend
