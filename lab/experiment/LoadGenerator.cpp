#include "lab/experiment/LoadGenerator.h"

#include <cmath>
#include <utility>
#include <vector>

namespace coralhoist::experiment {
namespace {

using contract::ExecutionRequest;
using contract::ExecutionResult;
using contract::StatementKind;

const std::string kConnectionFailure = "08006";
const std::string kNotSeen = "holds:0";
constexpr std::uint64_t kChoicesSeedOffset = 7919;
/** Length of a SQLSTATE in an encoded error. */
constexpr std::size_t kSqlStateLength = 5;

/** Error responses of the simulated servers that proxies relay. */
std::optional<std::string> relayedError(const std::string& bytes) {
    const std::size_t found = bytes.find("E:");
    if (found == std::string::npos) {
        return std::nullopt;
    }
    return bytes.substr(found + 2, kSqlStateLength);
}

}  // namespace

/** One attempt of a call on one proxy. */
class LoadGenerator::Attempt final : public contract::ResponseSink {
public:
    Attempt(LoadGenerator& generator, const Call& wanted, std::size_t chosenProxy)
        : call(wanted), proxy(chosenProxy), _generator(generator) {}

    bool onResponseBytes(RequestId /*id*/, std::size_t /*stepIndex*/, std::string received,
                         bool /*stepComplete*/) override {
        bytes += received;
        return true;
    }
    void onCompleted(RequestId id, ExecutionResult ended) override {
        result = std::move(ended);
        answered = true;
        const Duration delay = _generator._deployment.scenario().places.toClients;
        _generator._deployment.queue().after(
            delay, [&generator = _generator, id] { generator.onEnded(id); });
    }
    std::optional<std::string> error() const {
        if (proxyDied) {
            return kConnectionFailure;
        }
        return result.error ? std::optional(result.error->sqlState) : relayedError(bytes);
    }

    Call call;
    std::size_t proxy = 0;
    std::string bytes;
    ExecutionResult result;
    bool answered = false;
    bool proxyDied = false;

private:
    LoadGenerator& _generator;
};

LoadGenerator::LoadGenerator(Deployment& deployment, ProxySystem& system, Measurement& measurement,
                             std::uint64_t seed)
    : _deployment(deployment),
      _system(system),
      _measurement(measurement),
      _arrivals(seed),
      _choices(seed + kChoicesSeedOffset),
      _end(deployment.queue().now() + deployment.scenario().duration) {}

LoadGenerator::~LoadGenerator() = default;

const LoadClass& LoadGenerator::classOf(const Call& call) const {
    return _deployment.scenario().load[call.loadClass];
}

void LoadGenerator::start() {
    for (std::size_t index = 0; index < _deployment.scenario().load.size(); ++index) {
        if (_deployment.scenario().load[index].ratePerSecond > 0) {
            scheduleArrival(index);
        }
    }
}

void LoadGenerator::scheduleArrival(std::size_t loadClass) {
    const double rate = _deployment.scenario().load[loadClass].ratePerSecond;
    const std::chrono::duration<double> pause(-std::log1p(-_arrivals.fraction()) / rate);
    const TimePoint due = _deployment.queue().now() + std::chrono::duration_cast<Duration>(pause);
    if (due >= _end) {
        return;
    }
    _deployment.queue().at(due, [this, loadClass] {
        Call call;
        call.loadClass = loadClass;
        call.group = _arrivals.below(_deployment.scenario().groups.count);
        if (classOf(call).kind == LoadKind::KeyedWrite) {
            call.write = ++_lastWrite;
        }
        startCall(call);
        scheduleArrival(loadClass);
    });
}

void LoadGenerator::startCall(Call call) {
    call.intendedAt = _deployment.queue().now();
    ++_unfinished;
    attempt(call);
}

std::size_t LoadGenerator::anyProxy() {
    const std::size_t count = _deployment.scenario().proxyCount();
    std::size_t proxy = _choices.below(count);
    while (!_system.isAlive(proxy)) {
        proxy = (proxy + 1) % count;
    }
    return proxy;
}

ExecutionRequest LoadGenerator::makeRequest(const Call& call, RequestId id) {
    const LoadClass& load = classOf(call);
    contract::StatementStep step;
    step.kind = StatementKind::Read;
    ExecutionRequest request;
    request.id = id;
    request.session = SessionId(id.value());
    request.group = _deployment.groupSettings(call.group).name;
    request.service = ServiceName(load.name);
    request.serviceSettings.readRouting = settings::ReadRouting::Replica;
    request.serviceSettings.priority = load.priority;
    request.serviceSettings.maxStaleness = load.maxStaleness;
    request.deadline = call.intendedAt + _deployment.scenario().failures.callerPatience;
    request.floor = call.token;
    switch (load.kind) {
        case LoadKind::KeyedWrite:
            step.kind = StatementKind::Write;
            step.sql = writeStatement(call.write);
            request.requestKey = "write-" + std::to_string(call.write);
            break;
        case LoadKind::OwnRead:
            step.sql = holdsStatement(call.write);
            break;
        case LoadKind::Read:
            step.sql = searchStatement(call.loadClass);
            break;
    }
    request.batch.steps.push_back(std::move(step));
    return request;
}

void LoadGenerator::attempt(const Call& call) {
    const RequestId id(++_lastId);
    const std::size_t proxy = anyProxy();
    auto started = std::make_unique<Attempt>(*this, call, proxy);
    Attempt& sink = *started;
    _attempts.emplace(id, std::move(started));
    const Duration delay = _deployment.scenario().places.toClients;
    _deployment.queue().after(delay, [this, id, proxy, &sink, request = makeRequest(call, id)] {
        if (_system.isAlive(proxy)) {
            _system.submit(proxy, request, sink);
        } else if (_attempts.contains(id)) {
            sink.proxyDied = true;
            onEnded(id);
        }
    });
}

void LoadGenerator::onProxyDied(std::size_t proxy) {
    const Duration delay = _deployment.scenario().places.toClients;
    for (const auto& [id, attempt] : _attempts) {
        if (attempt->proxy == proxy && !attempt->answered) {
            attempt->proxyDied = true;
            _deployment.queue().after(delay, [this, ended = id] { onEnded(ended); });
        }
    }
}

void LoadGenerator::onEnded(RequestId id) {
    const auto found = _attempts.find(id);
    if (found == _attempts.end()) {
        return;
    }
    const std::unique_ptr<Attempt> attempt = std::move(found->second);
    _attempts.erase(found);
    if (!attempt->proxyDied) {
        _system.endSession(attempt->proxy, SessionId(id.value()));
    }
    if (const auto sqlState = attempt->error()) {
        onFailed(attempt->call, *sqlState);
    } else {
        onSucceeded(attempt->call, *attempt);
    }
}

void LoadGenerator::onSucceeded(const Call& call, const Attempt& attempt) {
    switch (classOf(call).kind) {
        case LoadKind::KeyedWrite:
            _measurement.onAcknowledged(call.group, call.write);
            readBack(call, attempt.result.observed);
            break;
        case LoadKind::OwnRead:
            _measurement.onOwnRead(attempt.bytes != kNotSeen);
            break;
        case LoadKind::Read:
            break;
    }
    endCall(call, true, attempt.result.servedByReplica);
}

void LoadGenerator::onFailed(const Call& call, const std::string& sqlState) {
    _measurement.onAttemptFailed(sqlState);
    const FailuresModel& failures = _deployment.scenario().failures;
    const TimePoint again = _deployment.queue().now() + failures.callerRetryPause;
    if (again >= call.intendedAt + failures.callerPatience) {
        endCall(call, false, false);
        return;
    }
    _deployment.queue().at(again, [this, call] { attempt(call); });
}

void LoadGenerator::readBack(const Call& write, const std::optional<OpTime>& observed) {
    const LoadClass& load = classOf(write);
    const auto ownRead = _deployment.scenario().ownReadClass();
    const bool wanted = _choices.fraction() < load.readBackShare;
    const bool presentsToken = _choices.fraction() < load.readBackTokenShare;
    if (!ownRead || !wanted) {
        return;
    }
    Call call;
    call.loadClass = *ownRead;
    call.group = write.group;
    call.write = write.write;
    call.token = presentsToken ? observed : std::nullopt;
    _deployment.queue().after(load.readBackDelay, [this, call] { startCall(call); });
}

void LoadGenerator::endCall(const Call& call, bool succeeded, bool servedByReplica) {
    --_unfinished;
    _measurement.onEnded({call.loadClass, call.intendedAt, succeeded, servedByReplica});
}

}  // namespace coralhoist::experiment
