/** What a stand-in database group is made of. */
#pragma once

#include <QHostAddress>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::lab::database {

/** One-way delays between zones, the same in both directions; zero where none was set. */
class ZoneDelays {
public:
    void set(const ZoneName& first, const ZoneName& second, Duration oneWay) {
        _delays[{first, second}] = oneWay;
        _delays[{second, first}] = oneWay;
    }

    Duration between(const ZoneName& first, const ZoneName& second) const {
        const auto found = _delays.find({first, second});
        return found == _delays.end() ? Duration::zero() : found->second;
    }

private:
    std::map<std::pair<ZoneName, ZoneName>, Duration> _delays;
};

/** One server of a group. */
struct ServerOptions {
    ServerName name;
    ZoneName zone;
    /** 0 lets the kernel choose. */
    std::uint16_t port = 0;
};

/** When a commit is answered. */
enum class CommitMode {
    Local,    /**< At once. */
    Majority, /**< When a majority of the group has received it. */
};

/** What is scarce on one server. */
struct ServerLimits {
    /** Connections held at once; more are refused with 53300. */
    int maxConnections = 100;
    /** Time to set up one connection; one is set up at a time. */
    Duration connectionCost{0};
    /** Statements executing at once. */
    int executionSlots = 8;
    Duration readServiceTime{0};
    Duration writeServiceTime{0};
};

/** A group. The first server starts as the primary of term 1. */
struct GroupOptions {
    std::vector<ServerOptions> servers;
    QHostAddress address{QHostAddress::LocalHost};
    CommitMode commitMode = CommitMode::Local;
    ServerLimits limits;
    ZoneDelays zoneDelays;
    /** Added to the zone delay of each message of replication. */
    Duration replicationDelay{0};
    /** From receipt of a log entry on a replica until reads see it. */
    Duration replayLag{0};
    Duration heartbeatInterval = std::chrono::milliseconds(50);
    /** Least silence of the primary after which a replica stands for election; at most twice. */
    Duration electionTimeout = std::chrono::milliseconds(500);
    /** Statements executed on all servers before they listen. */
    std::string initialSql;
    std::uint64_t randomSeed = 1;
};

}  // namespace coralhoist::lab::database
