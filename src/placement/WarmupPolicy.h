/** Keeps what goes to servers that are cold after their start within the rate that they take. */
#pragma once

#include <cstdint>
#include <map>

#include "base/Time.h"
#include "failover/PrimaryPlacement.h"
#include "pooling/PlacementPolicy.h"
#include "warmup/ColdServers.h"
#include "warmup/RequestUnits.h"

namespace coralhoist::placement {

/** Counters, for metrics. */
struct WarmupStatistics {
    /** Callers' statements and beginnings of transactions that went to a cold server. */
    std::uint64_t sent = 0;
    /** Times that one had to wait, or to go elsewhere. */
    std::uint64_t deferred = 0;
    std::uint64_t turnedAway = 0;
    /** Statements that went there without a unit: the process stood still meanwhile. */
    std::uint64_t withoutUnit = 0;
};

/**
 * A cold server gets nothing while another one can do the work: reads go to warm servers of the
 * group, and to cold replicas before a cold primary. What only a cold server can run needs a unit
 * of its rate for each statement; a transaction begins only where its next statement has one, too,
 * and goes before what begins. A cold server leads a group where no warm one can, and hands over
 * where its entry says that it stays cold for longer than that takes.
 *
 * Invariant: while a server is cold, `noteSent` follows an allowed verdict only where a unit was at
 * hand, and takes it.
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
    /** A transaction that rests sends nothing and needs no unit. */
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

    /** @return when verdicts may have changed; `StatementPooler::reviewPlacement` is called then.
     */
    TimePoint nextReview() const;

    /** The verdicts are reviewed. */
    void onReview() { _reviewAt = TimePoint::max(); }

    const WarmupStatistics& statistics() const { return _statistics; }

private:
    pooling::PlacementVerdict verdictOf(const pooling::PlacedUnit& unit,
                                        const pooling::PlacedServer& server,
                                        const warmup::RequestWish& wish, TimePoint now);

    void logWithoutUnit(const pooling::PlacedUnit& unit, const pooling::PlacedServer& server);

    const Clock& _clock;
    warmup::ColdServers& _servers;
    warmup::RequestUnits& _units;
    WarmupStatistics _statistics;
    TimePoint _reviewAt = TimePoint::max();
    TimePoint _nextWithoutUnitLog{};
};

}  // namespace coralhoist::placement
