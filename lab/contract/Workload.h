/** Sessions that roam between proxies and record what they see. */
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/contract/SimulatedProxy.h"
#include "lab/history/History.h"

namespace coralhoist::simulation {

using history::AttemptOutcome;
using history::History;
using history::ReadObservation;

/** The proxies of a run; some may be dead. */
using ProxyList = std::vector<std::unique_ptr<SimulatedProxy>>;

/** How one request ended, as its caller sees it. */
struct RequestEnd {
    /** The proxy died before it answered. */
    bool proxyDied = false;
    contract::ExecutionResult result;
    std::string bytes;

    /** @return whether the database refused a statement. */
    bool isDatabaseError() const { return bytes.find("E:") != std::string::npos; }
    bool isSuccess() const { return !proxyDied && !result.error && !isDatabaseError(); }
    AttemptOutcome writeOutcome() const;
};

/** Drives a number of sessions against the proxies until it is stopped. */
class Workload {
public:
    Workload(ProxyList& proxies, History& history, EventQueue& queue, RandomSource& random);

    ~Workload();

    /** Starts the sessions. */
    void start(std::size_t sessions);
    /** No new operations from here on. */
    void stop() { _stopped = true; }
    /** @return whether some request still waits for its answer. */
    bool isBusy() const;
    /** Tells the callers of a proxy that died. */
    void onProxyDied(std::size_t proxy);
    /** Reports requests that were never answered. */
    void checkAllAnswered();

private:
    using Done = std::function<void(const RequestEnd&)>;
    struct Session {
        SessionId id;
        std::optional<OpTime> token;
    };
    class Sink;
    struct Pending {
        std::size_t proxy = 0;
        std::unique_ptr<Sink> sink;
        Done done;
        bool abandoned = false;
    };

    void next(Session& session);
    void afterPause(Session& session);
    void read(Session& session, bool withToken, Duration staleness);
    void onReadEnded(Session& session, const ReadObservation& asked, const RequestEnd& end);
    void write(Session& session);
    void hangUpIfOpen(Session& session, std::size_t proxy, const RequestEnd& end);
    void writeUnfinished(Session& session);
    void writeKeyed(Session& session);
    void attemptKeyed(Session& session, WriteNumber number, int attemptsLeft, bool last);
    void transact(Session& session);
    void continueTransaction(Session& session, std::size_t proxy, TransactionId transaction,
                             std::vector<WriteNumber> writes);
    void endTransaction(Session& session, std::size_t proxy, TransactionId transaction,
                        const std::vector<WriteNumber>& writes);
    void leave(Session& session, RequestId request);

    std::size_t anyProxy();
    contract::ExecutionRequest makeRequest(const Session& session, const std::string& sql,
                                           contract::StatementKind kind);
    RequestId submit(std::size_t proxy, contract::ExecutionRequest request, Done done);
    void onEnded(RequestId id, const RequestEnd& end);
    void maybeDisturb(std::size_t proxy, RequestId id);
    void observe(Session& session, const RequestEnd& end);
    void expectBytes(const RequestEnd& end, const std::string& expected);

    ProxyList& _proxies;
    History& _history;
    EventQueue& _queue;
    RandomSource& _random;
    bool _stopped = false;
    std::uint64_t _lastSession = 0;
    std::uint64_t _lastRequest = 0;
    WriteNumber _lastWrite = 0;
    std::vector<std::unique_ptr<Session>> _sessions;
    std::map<RequestId, Pending> _pending;
};

}  // namespace coralhoist::simulation
