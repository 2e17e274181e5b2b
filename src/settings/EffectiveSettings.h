/**
 * The settings in force for one group or one service, after inheritance and override.
 *
 * These structs are what the rest of the proxy reads. They are filled from the settings tree by
 * SettingsSnapshot; the key registry holds name, unit, default and range of every field.
 */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::settings {

/** Where statements that only read may run. */
enum class ReadRouting { Primary, Replica };

/** Admission class of a service's statements. */
enum class Priority { Urgent, Ordinary };

/** Whether every autocommit write of a service must carry a request key. */
enum class RequestKeyPolicy { Optional, Required };

/** One database server of a group. */
struct ServerEndpoint {
    ServerName name;
    /** IP number. */
    std::string host;
    std::uint16_t port = 0;
    ZoneName zone;

    bool operator==(const ServerEndpoint&) const = default;
};

/** Settings in force for a database group. */
struct GroupSettings {
    GroupName name;
    std::vector<ServerEndpoint> servers;
    /** Servers that are leaving: they get no new work. */
    std::vector<ServerName> leavingServers;
    /** Database user and password for back-end connections; the password may be empty. */
    std::string user = "coralhoist";
    std::string password;
    /** Database name on the servers; the group's name when empty. */
    std::string database;
    /** Statements that one server executes at once. */
    std::uint32_t slotsPerServer = 5;
    /** Slots per server that ordinary statements never take. */
    std::uint32_t urgentReservedSlots = 1;
    /** Connections that all proxies together may hold to one server. */
    std::uint32_t connectionsPerServer = 30;
    /** Replicas that have a commit before its primary answers; 0 when it answers alone. */
    std::uint32_t synchronousReplicas = 1;
    /** Requests that a server takes in a second from all proxies while it is cold after its start;
     * 0: as many as at other times. */
    double coldRequestsPerSecond = 0;
    /** Time for which a server is cold after its start; 0: it starts warm. */
    Duration coldStart{0};
    /** Connections opened at the same time to one server by one proxy. */
    std::uint32_t concurrentConnects = 2;
    /** Idle connections kept open to each server, so that a new primary can serve at once. */
    std::uint32_t warmConnections = 2;
    /** Proxies that execute statements for the group at the same time. */
    std::uint32_t activeOwners = 1;
    /** Proxies that keep warm connections to take over from an active owner. */
    std::uint32_t standbyOwners = 1;
    /** Most statements waiting per server and class; more are refused as not run. */
    std::uint32_t queueLimit = 512;
    /** Percent of the slot time kept for ranks of waiting statements other than the first. */
    std::uint32_t minimumShare = 0;
    /** Statements without a tenant take turns by service within a rank. */
    bool fairServices = false;
    /** Query that returns one row: in recovery (boolean), term, received position, replayed
     * position. */
    std::string statusQuery;
    /** Time between status samples when no statement asks for one. */
    Duration statusInterval = std::chrono::milliseconds(500);
    /** A status query unanswered for this long counts as a failure of the server. */
    Duration statusTimeout = std::chrono::milliseconds(500);
    /** Request keys older than this are deleted; a later repeat counts as a new request. */
    Duration requestKeyRetention = std::chrono::hours(24);

    bool operator==(const GroupSettings&) const = default;
};

/** Settings in force for a service in a group. */
struct ServiceSettings {
    ServiceName name;
    ReadRouting readRouting = ReadRouting::Primary;
    Priority priority = Priority::Ordinary;
    /** Rank among statements of pooled sessions; empty: by the priority. */
    std::optional<std::uint32_t> rank;
    /** Reads may be this stale and need no sample of their own. Empty: reads see all acknowledged
     * writes. */
    std::optional<Duration> maxStaleness;
    /** Time from arrival until a statement is refused or its outcome is declared unknown. */
    Duration statementTimeout = std::chrono::seconds(10);
    /** Time within which an answer is worth most to the service. */
    Duration latencyObjective = std::chrono::seconds(1);
    /** Longest time without a statement inside a transaction. */
    Duration idleInTransactionTimeout = std::chrono::seconds(10);
    /** Longest duration of a transaction. */
    Duration transactionTimeout = std::chrono::seconds(60);
    RequestKeyPolicy requestKeyPolicy = RequestKeyPolicy::Optional;
    /** Regions that the service's statements must not leave; empty: any region. */
    std::vector<RegionName> homeRegions;
    /** Most caller connections of the service on one proxy. */
    std::uint32_t connectionLimit = 10000;

    /** @return the rank among waiting statements of pooled sessions; lower ones go first. */
    std::uint32_t admissionRank() const {
        return rank.value_or(priority == Priority::Urgent ? 0 : 1);
    }

    bool operator==(const ServiceSettings&) const = default;
};

/** Number of ranks: each has a queue of its own in every group. */
constexpr std::uint32_t kAdmissionRanks = 8;

}  // namespace coralhoist::settings
