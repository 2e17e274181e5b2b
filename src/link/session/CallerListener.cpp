#include "link/session/CallerListener.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace coralhoist::session {

using pooling::StatementFault;
using pooling::StatementResult;
using socket::CloseMode;
using socket::StreamConnection;

namespace {

/** A connection waits so long for the start of serving. */
constexpr Duration kServingPatience = std::chrono::milliseconds(600);

}  // namespace

CallerListener::CallerListener(socket::SocketPoller& poller, const CallerCodec& codec,
                               pooling::StatementPooler& pooler, tenancy::TenantGate& gate,
                               const Clock& clock, std::size_t connectionLimit)
    : _poller(poller),
      _codec(codec),
      _pooler(pooler),
      _gate(gate),
      _clock(clock),
      _connectionLimit(connectionLimit),
      _listener(poller, [this](int descriptor) { accept(descriptor); }) {}

CallerListener::~CallerListener() = default;

Status CallerListener::listen(const std::string& host, std::uint16_t port) {
    return _listener.listen(host, port);
}

void CallerListener::accept(int descriptor) {
    if (_callers.size() >= _connectionLimit) {
        ::close(descriptor);
        return;
    }
    auto caller = std::make_unique<Caller>();
    caller->stream = std::make_unique<StreamConnection>(_poller, *this);
    caller->stream->adopt(descriptor);
    caller->acceptedAt = _clock.now();
    _callers[caller->stream.get()] = std::move(caller);
}

CallerListener::Caller* CallerListener::find(const StreamConnection* key) {
    const auto found = _callers.find(key);
    return found == _callers.end() ? nullptr : found->second.get();
}

void CallerListener::onConnected(StreamConnection& /*connection*/) {}

void CallerListener::onBytes(StreamConnection& connection, std::string& buffer) {
    Caller* caller = find(&connection);
    if (caller == nullptr) {
        return;
    }
    if (caller->pending.empty()) {
        caller->pending.swap(buffer);
    } else {
        caller->pending.append(buffer);
        buffer.clear();
    }
    consume(connection);
}

void CallerListener::startServing() {
    if (_serving) {
        return;
    }
    _serving = true;
    std::vector<const StreamConnection*> waiting;
    for (const auto& [key, caller] : _callers) {
        waiting.push_back(key);
    }
    for (const StreamConnection* key : waiting) {
        consume(*key);
    }
}

void CallerListener::onTick(TimePoint now) {
    if (_serving) {
        return;
    }
    std::vector<Caller*> late;
    for (const auto& [key, caller] : _callers) {
        if (now - caller->acceptedAt >= kServingPatience) {
            late.push_back(caller.get());
        }
    }
    for (Caller* caller : late) {
        refuse(*caller, StatementFault::Busy, "not ready yet; come back in 1000 ms");
    }
}

std::optional<TimePoint> CallerListener::nextTick() const {
    std::optional<TimePoint> next;
    if (_serving) {
        return next;
    }
    for (const auto& [key, caller] : _callers) {
        const TimePoint due = caller->acceptedAt + kServingPatience;
        next = std::min(next.value_or(due), due);
    }
    return next;
}

/** Handles whole messages until one has to wait for its answer. */
void CallerListener::consume(const StreamConnection& key) {
    if (!_serving) {
        return;
    }
    const StreamConnection* outer = _consuming;
    _consuming = &key;
    while (Caller* caller = find(&key)) {
        if (caller->waiting) {
            break;
        }
        auto decoded = _codec.decode(caller->pending);
        if (!decoded) {
            break;
        }
        caller->pending.erase(0, decoded->bytes);
        onMessage(*caller, std::move(decoded->message));
    }
    _consuming = outer;
}

void CallerListener::onMessage(Caller& caller, CallerMessage message) {
    switch (message.kind) {
        case CallerMessage::Kind::Connect:
            connect(caller, message);
            return;
        case CallerMessage::Kind::Goodbye:
            end(*caller.stream, CloseMode::Orderly);
            return;
        case CallerMessage::Kind::TooLarge:
            refuse(caller, StatementFault::TooLarge, "the message is too large");
            return;
        case CallerMessage::Kind::Malformed:
            answerLocally(caller, StatementFault::Malformed, message.problem);
            return;
        case CallerMessage::Kind::Query:
            if (!caller.session) {
                refuse(caller, StatementFault::Malformed, "no session is open");
                return;
            }
            caller.waiting = true;
            _gate.submit(*caller.session, std::move(message.statement));
            return;
    }
}

void CallerListener::connect(Caller& caller, const CallerMessage& message) {
    const ServiceName service(message.database);
    if (caller.session) {
        refuse(caller, StatementFault::Malformed, "a session is open already");
        return;
    }
    const tenancy::SessionOpening opening = _gate.openSession(service, message.credential);
    if (opening.refusal) {
        refuse(caller, opening.refusal->fault, opening.refusal->message);
        return;
    }
    caller.session = opening.session;
    _bySession[*caller.session] = caller.stream.get();
    std::string bytes;
    _codec.encodeReady(bytes);
    caller.stream->write(bytes);
}

void CallerListener::refuse(Caller& caller, StatementFault fault, const std::string& problem) {
    std::string bytes;
    _codec.encodeRefusal(bytes, {fault, problem});
    caller.stream->write(bytes);
    end(*caller.stream, CloseMode::Orderly);
}

void CallerListener::answerLocally(Caller& caller, StatementFault fault,
                                   const std::string& problem) {
    if (!caller.session) {
        refuse(caller, fault, problem);
        return;
    }
    StatementResult result;
    result.error = pooling::StatementError{fault, problem};
    result.state = _pooler.stateOfSession(*caller.session);
    std::string bytes;
    _codec.encodeResult(bytes, result);
    caller.stream->write(bytes);
}

void CallerListener::reply(SessionId session, const StatementResult& result) {
    const auto found = _bySession.find(session);
    Caller* caller = found == _bySession.end() ? nullptr : find(found->second);
    if (caller == nullptr) {
        return;
    }
    std::string bytes;
    _codec.encodeResult(bytes, result);
    caller->stream->write(bytes);
    caller->waiting = false;
    if (_consuming != caller->stream.get() && !caller->pending.empty()) {
        consume(*caller->stream);
    }
}

void CallerListener::closeSession(SessionId session) {
    const auto found = _bySession.find(session);
    if (found != _bySession.end()) {
        end(*found->second, CloseMode::Orderly);
    }
}

void CallerListener::onClosed(StreamConnection& connection) {
    end(connection, CloseMode::Orderly);
}

void CallerListener::end(const StreamConnection& key, CloseMode mode) {
    const auto found = _callers.find(&key);
    if (found == _callers.end()) {
        return;
    }
    std::unique_ptr<Caller> caller = std::move(found->second);
    _callers.erase(found);
    caller->stream->close(mode);
    const std::optional<SessionId> session = caller->session;
    _closed.push_back(std::move(caller));
    if (session) {
        _bySession.erase(*session);
        _gate.endSession(*session);
    }
}

}  // namespace coralhoist::session
