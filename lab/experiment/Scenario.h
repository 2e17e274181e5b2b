/** What an experiment runs: places, database groups, load and faults. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::experiment {

/** Zones, proxies and the delays between them, one way. */
struct PlacesModel {
    std::size_t zones = 3;
    std::size_t proxiesPerZone = 2;
    Duration betweenZones = std::chrono::microseconds(1500);
    Duration withinZone = std::chrono::microseconds(250);
    Duration toClients = std::chrono::milliseconds(1);
};

/** Sizes of every database group. */
struct GroupsModel {
    std::size_t count = 3;
    std::size_t servers = 3;
    std::size_t slots = 5;
    std::size_t connections = 35;
    Duration connectCost = std::chrono::milliseconds(10);
    /** A replica that hears nothing of its primary for so long calls an election. */
    Duration electionTimeout = std::chrono::seconds(1);
};

/** How failures are noticed, and what callers do about them. */
struct FailuresModel {
    /** Time until the proxies take a dead owner out of the placement. */
    Duration ownerDetection = std::chrono::milliseconds(1500);
    Duration callerRetryPause = std::chrono::milliseconds(250);
    /** After this time since its intended start a caller gives a request up. */
    Duration callerPatience = std::chrono::seconds(8);
    /** The baselines look for the primary this often. */
    Duration baselineCheckInterval = std::chrono::milliseconds(500);
};

/** What a class of requests does. */
enum class LoadKind {
    KeyedWrite, /**< One write with a request key; may be followed by an own reading. */
    OwnRead, /**< A session reads what it wrote; started by writes, not by arrivals of its own. */
    Read,
};

/** One class of requests; arrivals are a Poisson process over all groups. */
struct LoadClass {
    std::string name;
    LoadKind kind = LoadKind::Read;
    settings::Priority priority = settings::Priority::Ordinary;
    double ratePerSecond = 0;
    /** Mean time in a slot; exponentially distributed. */
    Duration service = std::chrono::milliseconds(1);
    /** Reads only: they accept this staleness. */
    std::optional<Duration> maxStaleness;
    /** Writes only: how many are read back, when, and how many of these present a token. */
    double readBackShare = 0;
    Duration readBackDelay{0};
    double readBackTokenShare = 0;
};

/** What goes wrong. */
enum class FaultKind {
    PrimaryCutOff,    /**< From its group; proxies and callers still reach it, and it answers. */
    PrimaryCrash,     /**< It starts again at the end of the fault. */
    ReplicaFarBehind, /**< Receives and replays late. */
    OwnerKilled,      /**< The proxy that executes for the group; it never comes back. */
    ConnectionStorm,  /**< All connections of the group's servers are reset at once. */
};

/** A fault on the time line; the start of the run, warm-up included, is zero. */
struct FaultEvent {
    FaultKind kind = FaultKind::PrimaryCutOff;
    std::size_t group = 0;
    Duration at{0};
    Duration duration{0};
    /** Lag of a replica far behind. */
    Duration lag{0};

    bool failsPrimary() const {
        return kind == FaultKind::PrimaryCutOff || kind == FaultKind::PrimaryCrash;
    }
};

/** A whole scenario. */
struct Scenario {
    std::string name;
    /** Arrivals stop after this time. */
    Duration duration = std::chrono::seconds(30);
    /** Requests that start before this time are not measured. */
    Duration warmUp = std::chrono::seconds(2);
    PlacesModel places;
    GroupsModel groups;
    FailuresModel failures;
    std::vector<LoadClass> load;
    std::vector<FaultEvent> faults;

    std::size_t proxyCount() const { return places.zones * places.proxiesPerZone; }
    std::size_t zoneOfProxy(std::size_t proxy) const { return proxy % places.zones; }
    std::size_t zoneOfServer(std::size_t group, std::size_t server) const {
        return (group + server) % places.zones;
    }
    Duration delayBetweenZones(std::size_t one, std::size_t other) const {
        return one == other ? places.withinZone : places.betweenZones;
    }
    /** @return the class of own readings; nothing when the scenario has none. */
    std::optional<std::size_t> ownReadClass() const;
    /** @return the share of a primary's slots that all load together would take. */
    double primaryLoadIfAlone() const;
};

/** @return the name of a fault in scenario files and reports. */
const char* faultName(FaultKind kind);

}  // namespace coralhoist::experiment
