#include "lab/contract/Workload.h"

#include <algorithm>
#include <utility>

namespace coralhoist::simulation {
namespace {

using contract::ExecutionRequest;
using contract::ExecutionResult;
using contract::RunState;
using contract::StatementKind;

constexpr Duration kRequestTimeout = std::chrono::milliseconds(1500);
constexpr Duration kStaleness = std::chrono::milliseconds(200);
constexpr int kKeyedAttempts = 4;

std::vector<WriteNumber> parseRead(const std::string& bytes) {
    std::vector<WriteNumber> writes;
    std::size_t start = 2;
    for (std::size_t comma = bytes.find(',', start); comma != std::string::npos;
         comma = bytes.find(',', start)) {
        writes.push_back(std::stoull(bytes.substr(start, comma - start)));
        start = comma + 1;
    }
    return writes;
}

std::string writeSql(WriteNumber number) {
    return "write " + std::to_string(number);
}

std::string writeAnswer(WriteNumber number) {
    return "ok:" + writeSql(number) + ";";
}

}  // namespace

AttemptOutcome RequestEnd::writeOutcome() const {
    if (proxyDied) {
        return AttemptOutcome::Unknown;
    }
    if (result.error) {
        const bool without = result.error->runState == RunState::NotRun ||
                             result.error->runState == RunState::RolledBack;
        return without ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
    }
    return isDatabaseError() ? AttemptOutcome::NotRun : AttemptOutcome::Acknowledged;
}

/** Gathers one answer and hands it over once. */
class Workload::Sink final : public contract::ResponseSink {
public:
    explicit Sink(Workload& workload) : _workload(workload) {}

    bool onResponseBytes(RequestId /*id*/, std::size_t /*stepIndex*/, std::string bytes,
                         bool /*stepComplete*/) override {
        if (_completed) {
            _workload._history.onWrongAnswer("bytes after the end of an answer");
        }
        _bytes += bytes;
        return true;
    }
    void onCompleted(RequestId id, ExecutionResult result) override {
        if (std::exchange(_completed, true)) {
            _workload._history.onWrongAnswer("an answer ended twice");
            return;
        }
        const RequestEnd end{false, std::move(result), _bytes};
        // Callers act after the proxy's call has returned.
        _workload._queue.after(Duration(1), [this, id, end] { _workload.onEnded(id, end); });
    }

private:
    Workload& _workload;
    std::string _bytes;
    bool _completed = false;
};

Workload::Workload(ProxyList& proxies, History& history, EventQueue& queue, RandomSource& random)
    : _proxies(proxies), _history(history), _queue(queue), _random(random) {}

Workload::~Workload() = default;

void Workload::start(std::size_t sessions) {
    for (std::size_t index = 0; index < sessions; ++index) {
        _sessions.push_back(std::make_unique<Session>(Session{SessionId(++_lastSession), {}}));
        afterPause(*_sessions.back());
    }
}

std::size_t Workload::anyProxy() {
    for (int attempt = 0; attempt < 8; ++attempt) {
        const std::size_t proxy = _random.below(_proxies.size());
        if (_proxies[proxy]->isAlive()) {
            return proxy;
        }
    }
    return 0;
}

ExecutionRequest Workload::makeRequest(const Session& session, const std::string& sql,
                                       StatementKind kind) {
    ExecutionRequest request;
    request.id = RequestId(++_lastRequest);
    request.session = session.id;
    request.service = ServiceName("terminal");
    contract::StatementStep step;
    step.sql = sql;
    step.kind = kind;
    request.batch.steps.push_back(step);
    request.serviceSettings.readRouting = settings::ReadRouting::Replica;
    request.serviceSettings.priority =
        _random.below(3) == 0 ? settings::Priority::Urgent : settings::Priority::Ordinary;
    request.deadline = _queue.now() + kRequestTimeout;
    return request;
}

RequestId Workload::submit(std::size_t proxy, ExecutionRequest request, Done done) {
    const RequestId id = request.id;
    Pending& pending = _pending[id];
    pending.proxy = proxy;
    pending.sink = std::make_unique<Sink>(*this);
    pending.done = std::move(done);
    if (!_proxies[proxy]->isAlive()) {
        _queue.after(Duration(1), [this, id] {
            RequestEnd end;
            end.proxyDied = true;
            onEnded(id, end);
        });
        return id;
    }
    Sink& sink = *pending.sink;
    _proxies[proxy]->call([this, proxy, held = std::move(request), &sink] {
        _proxies[proxy]->executor().submit(held, sink);
    });
    maybeDisturb(proxy, id);
    return id;
}

/** Now and then a caller cancels what it has asked. */
void Workload::maybeDisturb(std::size_t proxy, RequestId id) {
    if (_random.below(40) != 0) {
        return;
    }
    _queue.after(std::chrono::microseconds(_random.below(12000)), [this, proxy, id] {
        _proxies[proxy]->call([this, proxy, id] { _proxies[proxy]->executor().cancel(id); });
    });
}

void Workload::onEnded(RequestId id, const RequestEnd& end) {
    const auto found = _pending.find(id);
    if (found == _pending.end() || !found->second.done) {
        return;
    }
    const Done done = std::exchange(found->second.done, nullptr);
    done(end);
}

void Workload::onProxyDied(std::size_t proxy) {
    std::vector<RequestId> lost;
    for (const auto& [id, pending] : _pending) {
        if (pending.proxy == proxy && pending.done) {
            lost.push_back(id);
        }
    }
    RequestEnd end;
    end.proxyDied = true;
    for (const RequestId id : lost) {
        onEnded(id, end);
    }
}

bool Workload::isBusy() const {
    return std::ranges::any_of(
        _pending, [](const auto& entry) { return entry.second.done && !entry.second.abandoned; });
}

void Workload::checkAllAnswered() {
    for (const auto& [id, pending] : _pending) {
        if (pending.done && !pending.abandoned) {
            _history.onWrongAnswer("request " + std::to_string(id.value()) + " was never answered");
        }
    }
}

void Workload::expectBytes(const RequestEnd& end, const std::string& expected) {
    if (end.isSuccess() && end.bytes != expected) {
        _history.onWrongAnswer("answer \"" + end.bytes + "\" instead of \"" + expected + "\"");
    }
}

void Workload::observe(Session& session, const RequestEnd& end) {
    if (end.result.observed && (!session.token || *session.token < *end.result.observed)) {
        session.token = end.result.observed;
    }
}

void Workload::afterPause(Session& session) {
    _queue.after(std::chrono::microseconds(_random.below(30000)),
                 [this, &session] { next(session); });
}

void Workload::next(Session& session) {
    if (_stopped) {
        return;
    }
    const std::uint64_t choice = _random.below(100);
    if (choice < 30) {
        read(session, false, Duration(0));
    } else if (choice < 40) {
        read(session, true, Duration(0));
    } else if (choice < 50) {
        read(session, false, kStaleness);
    } else if (choice < 65) {
        write(session);
    } else if (choice < 70) {
        writeUnfinished(session);
    } else if (choice < 85) {
        writeKeyed(session);
    } else {
        transact(session);
    }
}

void Workload::read(Session& session, bool withToken, Duration staleness) {
    ExecutionRequest request = makeRequest(session, "read", StatementKind::Read);
    ReadObservation asked;
    asked.session = session.id;
    asked.submittedAt = _queue.now();
    asked.staleness = staleness;
    if (withToken && session.token) {
        request.floor = session.token;
        asked.onlyOwnWrites = true;
    }
    if (staleness > Duration(0)) {
        request.serviceSettings.maxStaleness = staleness;
    }
    submit(anyProxy(), std::move(request),
           [this, &session, asked](const RequestEnd& end) { onReadEnded(session, asked, end); });
}

void Workload::onReadEnded(Session& session, const ReadObservation& asked, const RequestEnd& end) {
    if (end.isSuccess()) {
        if (!end.bytes.starts_with("r:")) {
            _history.onWrongAnswer("a read was answered by \"" + end.bytes + "\"");
        } else {
            ReadObservation seen = asked;
            seen.result = parseRead(end.bytes);
            _history.onRead(seen);
        }
    }
    afterPause(session);
}

void Workload::write(Session& session) {
    const WriteNumber number = ++_lastWrite;
    _history.onSubmitted(number, session.id);
    const std::size_t proxy = anyProxy();
    const RequestId id =
        submit(proxy, makeRequest(session, writeSql(number), StatementKind::Write),
               [this, &session, number](const RequestEnd& end) {
                   expectBytes(end, writeAnswer(number));
                   observe(session, end);
                   _history.onAttemptEnded(number, end.writeOutcome(), _queue.now());
                   afterPause(session);
               });
    if (_random.below(30) == 0) {
        leave(session, id);
    }
}

/** The caller hangs up while its request runs; it goes on as a new session. */
void Workload::leave(Session& session, RequestId request) {
    _queue.after(std::chrono::microseconds(_random.below(8000)), [this, &session, request] {
        Pending& pending = _pending.at(request);
        if (!pending.done) {
            return;
        }
        pending.abandoned = true;
        const std::size_t proxy = pending.proxy;
        const SessionId old = std::exchange(session.id, SessionId(++_lastSession));
        _proxies[proxy]->call([this, proxy, old] { _proxies[proxy]->executor().endSession(old); });
        RequestEnd end;
        end.proxyDied = true;
        onEnded(request, end);
    });
}

/** A caller whose transaction won't end closes its connection. */
void Workload::hangUpIfOpen(Session& session, std::size_t proxy, const RequestEnd& end) {
    if (end.result.transaction) {
        const SessionId old = std::exchange(session.id, SessionId(++_lastSession));
        _proxies[proxy]->call([this, proxy, old] { _proxies[proxy]->executor().endSession(old); });
    }
    afterPause(session);
}

/** Two batches of one implicit transaction: Flush, then Sync. */
void Workload::writeUnfinished(Session& session) {
    const WriteNumber number = ++_lastWrite;
    _history.onSubmitted(number, session.id);
    ExecutionRequest first = makeRequest(session, writeSql(number), StatementKind::Write);
    first.batch.end = contract::BatchEnd::Flush;
    const std::size_t proxy = anyProxy();
    submit(proxy, std::move(first), [this, &session, number, proxy](const RequestEnd& end) {
        expectBytes(end, writeAnswer(number));
        if (!end.result.transaction) {
            _history.onAttemptEnded(number, AttemptOutcome::NotRun, _queue.now());
            afterPause(session);
            return;
        }
        ExecutionRequest second = makeRequest(session, "", StatementKind::Read);
        second.batch.steps.clear();
        second.transaction = end.result.transaction;
        const bool failed = !end.isSuccess();
        submit(proxy, std::move(second), [this, &session, number, failed](const RequestEnd& last) {
            observe(session, last);
            const AttemptOutcome outcome = failed ? AttemptOutcome::NotRun : last.writeOutcome();
            _history.onAttemptEnded(number, outcome, _queue.now());
            afterPause(session);
        });
    });
}

void Workload::writeKeyed(Session& session) {
    const WriteNumber number = ++_lastWrite;
    _history.onSubmitted(number, session.id);
    const bool doubled = _random.below(4) == 0;
    if (doubled) {
        // The same request on two proxies at once, as after a caller's own timeout.
        attemptKeyed(session, number, 1, false);
    }
    attemptKeyed(session, number, kKeyedAttempts, true);
}

void Workload::attemptKeyed(Session& session, WriteNumber number, int attemptsLeft, bool last) {
    ExecutionRequest request = makeRequest(session, writeSql(number), StatementKind::Write);
    request.requestKey = "key-" + std::to_string(number);
    // Each attempt comes over a connection of its own.
    request.session = SessionId(++_lastSession);
    submit(anyProxy(), std::move(request),
           [this, &session, number, attemptsLeft, last](const RequestEnd& end) {
               expectBytes(end, writeAnswer(number));
               observe(session, end);
               const AttemptOutcome outcome = end.writeOutcome();
               _history.onAttemptEnded(number, outcome, _queue.now());
               const bool repeats = outcome == AttemptOutcome::Unknown || _random.below(4) == 0;
               if (repeats && attemptsLeft > 1) {
                   attemptKeyed(session, number, attemptsLeft - 1, last);
               } else if (last) {
                   afterPause(session);
               }
           });
}

void Workload::transact(Session& session) {
    const std::size_t proxy = anyProxy();
    ExecutionRequest request = makeRequest(session, "BEGIN", StatementKind::Begin);
    if (_random.below(3) == 0) {
        request.requestKey = "transaction-" + std::to_string(_lastRequest);
    }
    submit(proxy, std::move(request), [this, &session, proxy](const RequestEnd& end) {
        if (end.isSuccess() && end.result.transaction) {
            expectBytes(end, "ok:BEGIN;");
            continueTransaction(session, proxy, *end.result.transaction, {});
        } else {
            hangUpIfOpen(session, proxy, end);
        }
    });
}

void Workload::continueTransaction(Session& session, std::size_t proxy, TransactionId transaction,
                                   std::vector<WriteNumber> writes) {
    if (writes.size() == 2) {
        endTransaction(session, proxy, transaction, writes);
        return;
    }
    const WriteNumber number = ++_lastWrite;
    _history.onSubmitted(number, session.id);
    writes.push_back(number);
    ExecutionRequest request = makeRequest(session, writeSql(number), StatementKind::Write);
    request.transaction = transaction;
    submit(proxy, std::move(request),
           [this, &session, proxy, transaction, writes, number](const RequestEnd& end) {
               expectBytes(end, writeAnswer(number));
               if (end.isSuccess()) {
                   continueTransaction(session, proxy, transaction, writes);
                   return;
               }
               // COMMIT was never sent, so nothing of it may take effect.
               for (const WriteNumber write : writes) {
                   _history.onAttemptEnded(write, AttemptOutcome::NotRun, _queue.now());
               }
               if (!end.result.transaction) {
                   afterPause(session);
                   return;
               }
               ExecutionRequest rollback =
                   makeRequest(session, "ROLLBACK", StatementKind::Rollback);
               rollback.transaction = end.result.transaction;
               submit(proxy, std::move(rollback), [this, &session, proxy](const RequestEnd& last) {
                   hangUpIfOpen(session, proxy, last);
               });
           });
}

void Workload::endTransaction(Session& session, std::size_t proxy, TransactionId transaction,
                              const std::vector<WriteNumber>& writes) {
    const bool commits = _random.below(8) != 0;
    ExecutionRequest request = commits ? makeRequest(session, "COMMIT", StatementKind::Commit)
                                       : makeRequest(session, "ROLLBACK", StatementKind::Rollback);
    request.transaction = transaction;
    submit(
        proxy, std::move(request), [this, &session, proxy, writes, commits](const RequestEnd& end) {
            observe(session, end);
            expectBytes(end, commits ? "ok:COMMIT;" : "ok:ROLLBACK;");
            const AttemptOutcome outcome = commits ? end.writeOutcome() : AttemptOutcome::NotRun;
            for (const WriteNumber write : writes) {
                _history.onAttemptEnded(write, outcome, _queue.now());
            }
            if (!end.result.transaction) {
                afterPause(session);
                return;
            }
            ExecutionRequest rollback = makeRequest(session, "ROLLBACK", StatementKind::Rollback);
            rollback.transaction = end.result.transaction;
            submit(proxy, std::move(rollback), [this, &session, proxy](const RequestEnd& last) {
                hangUpIfOpen(session, proxy, last);
            });
        });
}

}  // namespace coralhoist::simulation
