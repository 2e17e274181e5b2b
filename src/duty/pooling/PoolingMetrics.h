/** The pooler's figures as text for a metrics collector. */
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "pooling/PoolerStatistics.h"
#include "settings/EffectiveSettings.h"
#include "tenancy/TenantGate.h"

namespace coralhoist::duty {

/** What the page shows. */
struct PoolingFigures {
    pooling::PoolerStatistics pooler;
    tenancy::GateStatistics gate;
    tenancy::QuotaStatistics quotas;
    /** Shards of tenants whose quotas this node grants, and of which it grants a part as deputy. */
    std::size_t quotaShardsLed = 0;
    std::size_t quotaShardsAsDeputy = 0;
    std::size_t sessions = 0;
    /** Statements that wait here for a server, by rank. */
    std::array<std::size_t, settings::kAdmissionRanks> waitingByRank{};
    std::size_t nodes = 0;
    std::uint64_t settingsVersion = 0;
    /** Time since the newest moment up to which the settings are known to be complete. */
    Duration settingsAge{0};
    std::uint64_t promotions = 0;
    /** Those of them that moved a misplaced primary to a server that suits better. */
    std::uint64_t plannedMoves = 0;
    /** Entries of the store that named no server. */
    std::uint64_t unreadableEntries = 0;
    bool ready = false;
    bool storeReachable = false;
    /** Era that the store has shown; 0 where it shows none. */
    std::uint64_t storeEra = 0;
    /** Returns of the store from an older copy that this node has seen. */
    std::uint64_t storeReturns = 0;
};

/** @return the figures in the text format of Prometheus: counters, gauges and a histogram. */
std::string renderMetrics(const PoolingFigures& figures);

}  // namespace coralhoist::duty
