/** Callers' connections: accepts them, turns their messages into statements, writes the answers. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Status.h"
#include "link/session/SessionCodec.h"
#include "link/socket/StreamConnection.h"
#include "link/socket/StreamListener.h"
#include "pooling/StatementPooler.h"
#include "tenancy/TenantGate.h"

namespace coralhoist::session {

/** Serves the callers of one address. Lives on the thread of its poller. */
class CallerListener final : public socket::StreamHandler {
public:
    /**
     * References outlive the listener.
     * @param connectionLimit connections above it are closed at once.
     */
    CallerListener(socket::SocketPoller& poller, const CallerCodec& codec,
                   pooling::StatementPooler& pooler, tenancy::TenantGate& gate, const Clock& clock,
                   std::size_t connectionLimit);
    ~CallerListener() override;

    Status listen(const std::string& host, std::uint16_t port);

    /**
     * Begins to serve. Until then connections are accepted and wait: without the settings it is not
     * known which services there are, and "no such database" would be wrong.
     */
    void startServing();

    /** Refuses those that have waited too long for startServing. */
    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** Accepts no further connection. */
    void stopListening() { _listener.close(); }

    /** Writes the answer to a session's statement and goes on with its next message. */
    void reply(SessionId session, const pooling::StatementResult& result);

    void closeSession(SessionId session);

    std::size_t connectionCount() const { return _callers.size(); }
    std::uint16_t port() const { return _listener.port(); }

    /** Frees what has been closed; call from the event loop, outside any event. */
    void collect() { _closed.clear(); }
    bool hasClosed() const { return !_closed.empty(); }

private:
    struct Caller {
        std::unique_ptr<socket::StreamConnection> stream;
        std::optional<SessionId> session;
        std::string pending;
        /** A statement is being executed; further messages wait. */
        bool waiting = false;
        TimePoint acceptedAt{};
    };

    void accept(int descriptor);
    void onConnected(socket::StreamConnection& connection) override;
    void onBytes(socket::StreamConnection& connection, std::string& buffer) override;
    void onClosed(socket::StreamConnection& connection) override;
    void consume(const socket::StreamConnection& key);
    void onMessage(Caller& caller, CallerMessage message);
    void connect(Caller& caller, const CallerMessage& message);
    void refuse(Caller& caller, pooling::StatementFault fault, const std::string& problem);
    void answerLocally(Caller& caller, pooling::StatementFault fault, const std::string& problem);
    void end(const socket::StreamConnection& key, socket::CloseMode mode);
    Caller* find(const socket::StreamConnection* key);

    socket::SocketPoller& _poller;
    const CallerCodec& _codec;
    pooling::StatementPooler& _pooler;
    tenancy::TenantGate& _gate;
    const Clock& _clock;
    std::size_t _connectionLimit;
    bool _serving = false;
    socket::StreamListener _listener;
    std::unordered_map<const socket::StreamConnection*, std::unique_ptr<Caller>> _callers;
    std::unordered_map<SessionId, const socket::StreamConnection*> _bySession;
    std::vector<std::unique_ptr<Caller>> _closed;
    /** A loop over a caller's messages is running; replies within it do not start another. */
    const socket::StreamConnection* _consuming = nullptr;
};

}  // namespace coralhoist::session
