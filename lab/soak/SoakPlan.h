/** The faults of a soak, drawn from its seed before it begins. */
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/Time.h"

namespace coralhoist::soak {

/** Kinds of faults; one is drawn at a time and healed later. */
enum class SoakFault : std::uint8_t {
    ProxyKilled,
    ProxyPaused,
    ProxyStopped,
    ProxySignals,    /**< A series of signals to one proxy, restarts among them. */
    SettingsChanged, /**< The settings file of a proxy changes, with or without SIGHUP. */
    ServerLinkDelayed,
    ServerLinkReset,
    ServerLinkSilent,
    ServerLinkOneWay,
    ServerCutFromSome, /**< Some proxies don't reach a server. */
    StoreLinkSilent,
    StoreLinkReset,
    PeerLinkSilent,
    PeerLinkReset,
    PeerLinkDelayed,
    StoreRefuses,
    StoreSilent,
    StoreAnswersLost,
    StoreWritesLate,
    StoreForgets,
    EntryLapses,          /**< A server that lives is no longer listed. */
    EntryLapsesStoreDown, /**< As EntryLapses, while the store is down. */
    PromotionSlow,
    PromotionAnswerLost,
    PromotionLate, /**< Carried out late and never answered. */
    PrimaryCrashes,
    ReplicaCrashes,
    PrimaryIsolated,
    PrimaryCutFromSome, /**< Cut off from the other servers and some proxies, it goes on. */
    ServersCut,         /**< Two servers don't reach each other. */
    ReplicaDeaf,
    ReplicaLags,
    ServerCrowded, /**< Few slots, slow answers, a short queue. */
    AllServersCrowded,
    OrdersSlow, /**< Status questions and orders are answered late. */
    ConnectionsLimited,
    ConfigurationChanges,
    SlowReplicaAhead, /**< The primary fails while the replica with the longest log is slow. */
    /** A primary that all had lost is reached again, still cut off from the servers, while some
     * proxies lose the one that has replaced it. */
    OldPrimaryReturns,
    Count
};

/** @return the kind's name in reports. */
const char* describe(SoakFault fault);

/** One fault; which process, server or link it strikes follows from its choices. */
struct PlannedFault {
    /** From the first fault on. */
    Duration at{0};
    SoakFault fault = SoakFault::Count;
    /** Time until it is healed. */
    std::chrono::milliseconds lasts{0};
    /** Numbers to choose targets and sizes by. */
    std::uint64_t target = 0;
    std::uint64_t variant = 0;
    std::uint64_t size = 0;
};

/**
 * Draws faults, single ones and series in quick succession; several may stand at a time.
 * @return the same plan for the same seed, in order of time.
 */
std::vector<PlannedFault> drawPlan(std::uint64_t seed, Duration length);

}  // namespace coralhoist::soak
