/** The pooler's figures as text for a metrics collector. */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "locality/RegionTraffic.h"
#include "placement/EvacuationProgress.h"
#include "placement/HomePolicy.h"
#include "placement/RegionUse.h"
#include "placement/WarmupPolicy.h"
#include "pooling/PoolerStatistics.h"
#include "settings/EffectiveSettings.h"
#include "tenancy/TenantGate.h"

namespace coralhoist::duty {

/** What an estate with several regions shows. */
struct RegionFigures {
    locality::RegionTraffic traffic;
    placement::RegionUse use;
    /** Reports that were not sent to other regions, for want of a share of the link. */
    std::uint64_t keptBack = 0;
};

/** Where the platform keeps evacuations. */
struct EvacuationFigures {
    /** Time since the newest moment up to which the evacuations are known to be complete. */
    Duration age{0};
    /** Statements sent outside, of groups with servers in evacuated zones. */
    std::uint64_t sentElsewhere = 0;
    std::map<ZoneName, placement::EvacuationGauge> zones;
};

/** What this node does in the background for groups; it should follow what the node serves. */
struct GroupWork {
    /** Groups and failovers that the rounds look at now, and looks ever. */
    std::size_t activeGroups = 0;
    std::size_t activeFailovers = 0;
    std::uint64_t failoversVisited = 0;
};

/** What the page shows. */
struct PoolingFigures {
    pooling::PoolerStatistics pooler;
    tenancy::GateStatistics gate;
    tenancy::QuotaStatistics quotas;
    /** None before settings have told of servers that start cold. */
    std::optional<placement::WarmupStatistics> warmup;
    /** Servers that are cold now, as far as this node knows. */
    std::size_t coldServers = 0;
    /** Shards of tenants whose quotas this node grants, and of which it grants a part as deputy. */
    std::size_t quotaShardsLed = 0;
    std::size_t quotaShardsAsDeputy = 0;
    /** None before settings have named homes. */
    std::optional<placement::HomeStatistics> homes;
    std::size_t sessions = 0;
    /** Statements that wait here for a server, by rank. */
    std::array<std::size_t, settings::kAdmissionRanks> waitingByRank{};
    std::size_t nodes = 0;
    std::uint64_t settingsVersion = 0;
    /** Time since the newest moment up to which the settings are known to be complete. */
    Duration settingsAge{0};
    std::optional<EvacuationFigures> evacuations;
    GroupWork groupWork;
    std::uint64_t promotions = 0;
    /** Those of them that moved a misplaced primary to a server that suits better. */
    std::uint64_t plannedMoves = 0;
    /** Entries of the store that named no server or no zone. */
    std::uint64_t unreadableEntries = 0;
    /** None where there is one region. */
    std::optional<RegionFigures> regions;
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
