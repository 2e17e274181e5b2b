/**
 * Configuration of one coralhoistd process: what must be known before the settings tree can be
 * read. Comes from a TOML file; flags override it. Everything else is in the settings tree.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Log.h"
#include "base/Status.h"
#include "pooling/PoolerKnobs.h"

namespace coralhoist::program {

/** A peer to contact first. */
struct SeedAddress {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const SeedAddress&) const = default;
};

/** All values of one process, each with its default. */
struct DaemonConfiguration {
    NodeName name;
    RegionName region{"default"};
    ZoneName zone{"default"};
    /** The region of each zone of the estate; empty where there is one region. */
    std::map<ZoneName, RegionName> zones;
    /** Rate of this machine's link in Mbit/s, and its share of a processor; 0: not told. */
    double linkMbps = 0;
    double processorShare = 0;
    /** IP number on which all ports listen and which peers are told. */
    std::string address = "127.0.0.1";

    /** Ports; 0 lets the kernel choose. */
    std::uint16_t callerPort = 5433;
    std::uint16_t peerPort = 7433;
    std::uint16_t operatorPort = 7434;
    std::uint16_t metricsPort = 7435;

    std::uint32_t maximumConnections = 20000;
    std::chrono::milliseconds startupTimeout{10000};
    std::uint32_t maximumMessageBytes = 16U << 20U;
    /** Longest wait for transactions in flight at a planned stop. */
    std::chrono::milliseconds drainTimeout{60000};

    /** Base address of the platform's object API, e.g. http://127.0.0.1:9400. */
    std::string platformUrl;
    std::vector<SeedAddress> seeds;

    /** Where pooled sessions are served; nothing where only PostgreSQL is spoken. */
    std::optional<SeedAddress> poolListen;
    /** Where it is asked over HTTP whether this proxy takes callers. */
    std::optional<SeedAddress> readinessListen;
    /** Base address at which a server's promotion is called. */
    std::optional<SeedAddress> promotionAddress;
    /** How pooled statements are placed; node and zone are those of above. */
    pooling::PoolerKnobs pooler;
    /** While the store answers: after this time a change of the settings is in force, and a server
     * that drains gets nothing more. */
    std::chrono::milliseconds settingsBound{3000};
    std::chrono::milliseconds drainBound{7000};
    /** Nothing is sent to a zone longer than this after its evacuation was acknowledged; 0: the
     * platform keeps no evacuations. */
    std::chrono::milliseconds evacuationBound{0};
    /** After this time a revoked credential of a tenant must not run anything; 0: no bound. */
    std::chrono::milliseconds revocationBound{0};
    /** The bound of a tenant's quota over all nodes: the window, and what may go beyond. */
    std::chrono::milliseconds quotaWindow{5000};
    double quotaOverrun = 0.1;
    std::uint32_t quotaSlack = 20;
    /** How far the rate of a server that is cold after its start may be exceeded in any second. */
    double warmupOverrun = 1;
    std::uint32_t warmupSlack = 0;
    LogLevel logLevel = LogLevel::Info;
};

/** One value given on the command line; goes before the file's. */
struct ConfigurationOverride {
    /** Dotted key as in the file, e.g. "node.zone". */
    std::string key;
    std::string value;
};

/**
 * Reads and checks a configuration.
 * @param file path of the TOML file; empty for defaults and overrides only.
 * @param overrides applied in order after the file.
 * @return the configuration, or InvalidArgument with one line that names file, line and key, or
 *         NotFound when the file can't be read.
 */
StatusWith<DaemonConfiguration> loadDaemonConfiguration(
    const std::string& file, const std::vector<ConfigurationOverride>& overrides);

/** @return a table of all keys with default, range and meaning, for --help and the docs. */
std::string describeDaemonConfiguration();

}  // namespace coralhoist::program
