/** Open-loop load: requests start when they are due, whatever became of the earlier ones. */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "lab/experiment/Deployment.h"
#include "lab/experiment/Measurement.h"
#include "lab/experiment/ProxySystem.h"

namespace coralhoist::experiment {

/**
 * Starts requests as a Poisson process for each class. Every attempt goes over a new session on a
 * random live proxy, as callers roam. A failed attempt is repeated after the scenario's pause, with
 * the same request key, until the caller's patience ends.
 */
class LoadGenerator {
public:
    /** All arguments outlive the generator. @param seed of the arrivals: same seed, same work. */
    LoadGenerator(Deployment& deployment, ProxySystem& system, Measurement& measurement,
                  std::uint64_t seed);
    ~LoadGenerator();

    /** Starts the arrivals of all classes. */
    void start();
    /** Tells the callers of a proxy that died. */
    void onProxyDied(std::size_t proxy);
    /** @return requests that have not ended. */
    std::size_t unfinished() const { return _unfinished; }

private:
    /** What a caller wants. */
    struct Call {
        std::size_t loadClass = 0;
        std::size_t group = 0;
        TimePoint intendedAt{};
        /** To be written, or to be seen. */
        simulation::WriteNumber write = 0;
        std::optional<OpTime> token;
    };
    class Attempt;

    const LoadClass& classOf(const Call& call) const;
    void scheduleArrival(std::size_t loadClass);
    void startCall(Call call);
    void attempt(const Call& call);
    std::size_t anyProxy();
    contract::ExecutionRequest makeRequest(const Call& call, RequestId id);
    /** An attempt has ended and its caller knows. */
    void onEnded(RequestId id);
    void onSucceeded(const Call& call, const Attempt& attempt);
    void onFailed(const Call& call, const std::string& sqlState);
    void readBack(const Call& write, const std::optional<OpTime>& observed);
    void endCall(const Call& call, bool succeeded, bool servedByReplica);

    Deployment& _deployment;
    ProxySystem& _system;
    Measurement& _measurement;
    SeededRandom _arrivals;
    /** For what depends on answers; kept apart so that arrivals are the same for all systems. */
    SeededRandom _choices;
    TimePoint _end;
    std::uint64_t _lastId = 0;
    simulation::WriteNumber _lastWrite = 0;
    std::size_t _unfinished = 0;
    std::unordered_map<RequestId, std::unique_ptr<Attempt>> _attempts;
};

}  // namespace coralhoist::experiment
