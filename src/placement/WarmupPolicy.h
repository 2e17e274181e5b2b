/** Limits the requests to servers that are cold after their start to the rate that they accept. */
#pragma once

#include <cstdint>
#include <map>

#include "base/Time.h"
#include "failover/PrimaryPlacement.h"
#include "pooling/PlacementPolicy.h"
#include "warmup/ColdServers.h"
#include "warmup/RequestUnits.h"

namespace coralhoist::placement {

/** Counters for metrics. */
struct WarmupStatistics {
    /** Callers' statements and beginnings of transactions that were sent to a cold server. */
    std::uint64_t sent = 0;
    /** How often a statement had to wait, and how often it had to go elsewhere. */
    std::uint64_t deferred = 0;
    std::uint64_t turnedAway = 0;
    /** Statements that were sent without a unit, because the process was suspended between the
     * verdict and the sending. */
    std::uint64_t withoutUnit = 0;
};

/**
 * A cold server gets no work while another server can do it: reads go to warm servers of the group,
 * and to cold replicas before a cold primary. A statement that only a cold server can run needs a
 * unit of that server's rate. A transaction begins only when there is a unit for its next statement
 * as well; its statements go before transactions and statements that have yet to begin. A cold
 * server becomes primary only where no warm one can, and hands over if its entry says that it stays
 * cold for longer than a handover takes.
 *
 * Invariant: while a server is cold, `noteSent` follows an allowed verdict only if a unit was
 * available, and consumes that unit.
 */
class WarmupPolicy final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    /** References outlive the policy. */
    WarmupPolicy(const Clock& clock, warmup::ColdServers& servers, warmup::RequestUnits& units)
        : _clock(clock), _servers(servers), _units(units) {}

    pooling::PlacementVerdict mayBegin(const pooling::PlacedUnit& unit,
                                       const pooling::PlacedServer& server) override;
    pooling::PlacementVerdict mayContinue(const pooling::PlacedUnit& unit,
                                          const pooling::PlacedServer& server) override;
    /** A transaction that is idle sends nothing and needs no unit. */
    pooling::PlacementVerdict mayStayIdle(const pooling::PlacedUnit& /*unit*/,
                                          const pooling::PlacedServer& /*server*/) override {
        return pooling::PlacementVerdict::allowed();
    }
    bool mayForwardTo(const pooling::PlacedUnit& /*unit*/, const ZoneName& /*zone*/) override {
        return true;
    }
    void noteSent(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server) override;

    void noteServerLost(const GroupName& group, const ServerName& server) override;
    void noteServerOpened(const GroupName& group, const ServerName& server) override;

    failover::LeadSuitability suitabilityOf(
        const GroupName& group, const pooling::ServerAnnouncement& server) const override;
    bool mustHandOver(const GroupName& group,
                      const pooling::ServerAnnouncement& server) const override;
    bool mayMovePrimaries() const override { return !_servers.groups().empty(); }

    /**
     * @return when verdicts may change; `StatementPooler::reviewPlacement` is to be called then.
     */
    TimePoint nextReview() const;

    /** Records that the verdicts are being reviewed. */
    void onReview() { _reviewAt = TimePoint::max(); }

    const WarmupStatistics& statistics() const { return _statistics; }

private:
    pooling::PlacementVerdict verdictOf(const pooling::PlacedUnit& unit,
                                        const pooling::PlacedServer& server,
                                        const warmup::UnitDemand& demand, TimePoint now);

    void logWithoutUnit(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server);

    const Clock& _clock;
    warmup::ColdServers& _servers;
    warmup::RequestUnits& _units;
    WarmupStatistics _statistics;
    TimePoint _reviewAt = TimePoint::max();
    TimePoint _nextWithoutUnitLog{};
};

}  // namespace coralhoist::placement
