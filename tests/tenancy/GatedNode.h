/** The admission gate of one simulated node, and callers that retry after a refusal. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "tenancy/TenantGate.h"

namespace coralhoist::tenancy {

/** Services "rank0" to "rank2" with latency objectives of 200, 400 and 1,500 ms. */
std::shared_ptr<const pooling::ServiceCatalog> threeRanks();

/** The same services, all of rank 0. */
std::shared_ptr<const pooling::ServiceCatalog> oneRank();

constexpr std::size_t kSimulatedRanks = 3;

/** Outcome of the callers' requests, by the rank of their service. */
struct CallersServed {
    struct Rank {
        std::size_t asked = 0;
        std::size_t ran = 0;
        /** Requests that ran within the service's latency objective. */
        std::size_t inTime = 0;
        std::size_t refused = 0;
        /** Refused attempts, and those of them with a retry delay of 1 ms or less. */
        std::size_t refusals = 0;
        std::size_t immediateRetries = 0;
    };
    std::array<Rank, kSimulatedRanks> ranks{};
};

/**
 * A gate in front of a pooler whose servers never respond. A session is in a transaction once
 * its first statement has taken a unit.
 */
class GatedNode final : public pooling::PoolerOutput {
public:
    GatedNode(const Clock& clock, QuotaExchange& quotas, CallersServed& served,
              std::vector<TimePoint>& runs, const std::shared_ptr<const TenantDirectory>& tenants,
              const std::shared_ptr<const pooling::ServiceCatalog>& catalog, unsigned seed);

    /** Sends a request to the rank's service; the caller retries twice, after 50 to 180 ms. */
    void ask(std::uint32_t rank);
    /** Disconnects the caller whose session was opened last. */
    void leave();
    void step(TimePoint now);
    void applyTenants(const std::shared_ptr<const TenantDirectory>& tenants);

    TenantGate& gate() { return _gate; }

    void reply(SessionId session, pooling::StatementResult result) override;
    void closeSession(SessionId /*session*/) override {}
    void wantLeadershipProof(const GroupName& /*group*/) override {}
    void suspectPrimary(const GroupName& /*group*/, const ServerName& /*server*/,
                        pooling::SuspicionReason /*reason*/) override {}

private:
    class SilentServers final : public pooling::ServerConnector {
    public:
        ConnectionId open(const pooling::ServerAddress& /*address*/, const TenantName& /*tenant*/,
                          pooling::ServerEvents& /*events*/) override {
            return ConnectionId(++_opened);
        }
        void send(ConnectionId /*connection*/,
                  const std::vector<pooling::ServerCommand>& /*commands*/) override {}
        void close(ConnectionId /*connection*/) override {}

    private:
        std::uint64_t _opened = 0;
    };
    struct Caller {
        std::uint32_t rank = 0;
        TimePoint firstAsked{};
        int tries = 0;
        bool isDone = false;
    };

    void submit(SessionId session);
    void end(SessionId session);

    const Clock& _clock;
    CallersServed& _served;
    std::vector<TimePoint>& _runs;
    SilentServers _servers;
    pooling::StatementPooler _pooler;
    TenantGate _gate;
    std::mt19937 _random;
    std::map<SessionId, Caller> _callers;
    std::multimap<TimePoint, SessionId> _returns;
    std::uint64_t _lastStatement = 0;
};

}  // namespace coralhoist::tenancy
