/** Tuning constants of the pooler. */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** The defaults fit groups of servers with a few slots each and are supported by benchmarks. */
struct PoolerKnobs {
    /** Name and zone of this process. */
    NodeName node;
    ZoneName zone;
    /**
     * Number of nodes in each zone that execute a group's statements; the other nodes forward to
     * them.
     */
    std::uint32_t executorsPerZone = 2;
    /**
     * Executors per zone where connections belong to tenants. With one executor instead of two, a
     * day with 84 tenants opened 15,800 connections instead of 21,000, each of which occupies a
     * slot for 12 ms.
     */
    std::uint32_t tenantExecutorsPerZone = 1;
    /**
     * Executors per zone where there are several regions: the load reports between executors cross
     * regions and grow with the square of the number of executors, and other executors of the
     * region replace a lost one.
     */
    std::uint32_t regionalExecutorsPerZone = 1;
    /**
     * The executing node times out this much earlier than the node that forwarded the statement.
     */
    Duration forwardingMargin = std::chrono::milliseconds(20);
    /** Idle connections of a node that is no longer an executor are closed after this time. */
    Duration unusedFor = std::chrono::seconds(2);
    /** Maximum number of connections from this process to one server. */
    std::uint32_t connectionsPerServer = 5;
    /**
     * The same limit where each connection belongs to one tenant: up to one connection for each
     * tenant is useful, so the limit is high and the share of the server's own connection limit
     * takes effect.
     */
    std::uint32_t tenantConnectionsPerServer = 64;
    /**
     * The same limit where there are several regions: fewer executors hold a server's connections,
     * and some of the statements in flight are in transit.
     */
    std::uint32_t regionalConnectionsPerServer = 12;
    /**
     * After its start a process opens one connection to each server, and more only after this time:
     * after a power loss of all processes, servers keep the former connections for seconds, and the
     * remaining ones must suffice for a first connection of each process.
     */
    Duration singleConnectionFor = std::chrono::milliseconds(500);
    /**
     * If not 0, a statement that needs a primary that this process can't use is forwarded to
     * another executor, once.
     */
    std::uint32_t moveToOthers = 1;
    /** Maximum number of connections that are being opened to one server at a time. */
    std::uint32_t concurrentConnects = 2;
    /**
     * Maximum number of statements outside transactions in flight to a server, per slot: from this
     * executor, or from all executors together while they share the server's capacity.
     */
    double inflightPerSlot = 1.5;
    /**
     * Factor applied to the limit of statements in flight when the server had no capacity, and the
     * increase of the limit with each success.
     */
    double inflightDecrease = 0.7;
    double inflightIncrease = 0.1;
    /**
     * Fraction of the smallest latency objective of a group's services above which a server's
     * latency lowers the limit too, and the factor applied then.
     */
    double latencyTargetShare = 0.4;
    double latencyDecrease = 0.9;
    /** Number of urgent statements that may be in flight above the limit. */
    std::uint32_t urgentHeadroom = 1;
    /** Minimum time between two decreases of the limit. */
    Duration inflightDecreasePause = std::chrono::milliseconds(60);
    /** Fraction of the latency objective after which a queued statement yields to younger ones. */
    double onTimeShare = 0.5;
    /** If not 0, statements that are on time are ordered by expected slot time, shortest first. */
    std::uint32_t orderBySlotTime = 1;
    /** Added to the cost of a server in another zone. */
    Duration otherZonePenalty = std::chrono::milliseconds(30);
    /** Added to the cost of the primary for reads that a replica may serve. */
    Duration primaryPenalty = std::chrono::milliseconds(10);
    /**
     * Added to the cost of a server to which a connection would have to be opened first: the time
     * that takes on the server (12 ms) and in transit.
     */
    Duration connectPenalty = std::chrono::milliseconds(15);
    /** Cost of each statement in flight from this process. */
    Duration inflightPenalty = std::chrono::milliseconds(8);
    /**
     * A server becomes suspect if a statement is unanswered for this long and no other response
     * arrives either.
     */
    Duration suspectAfter = std::chrono::milliseconds(400);
    /** Minimum time without a response after which a read is also sent to another server. */
    Duration hedgeAfter = std::chrono::milliseconds(150);
    /**
     * A read is also hedged when it takes this many times the latency of other statements on a
     * server that responds.
     */
    std::uint32_t hedgeAfterLatencies = 4;
    /** Maximum number of times that one read is resent for lack of a response. */
    std::uint32_t hedgesPerRead = 2;
    /** Timeout for opening a connection. */
    Duration connectTimeout = std::chrono::milliseconds(600);
    /** Pause before a connection to a server that refused one is attempted again. */
    Duration reconnectPause = std::chrono::milliseconds(200);
    /** Pause before a statement is retried that a server had no capacity for. */
    Duration busyPause = std::chrono::milliseconds(15);
    /** Longest pause for which nothing is sent to a server that refuses for lack of capacity. */
    Duration longestBusyPause = std::chrono::milliseconds(120);
    /**
     * Initial and maximum pause before a server that lacked a position is asked for it again: the
     * pause grows while the server lacks the requested positions.
     */
    Duration laggingPause = std::chrono::milliseconds(60);
    Duration longestLaggingPause = std::chrono::milliseconds(480);
    /**
     * Percentage of the statement timeout for which an unsent statement is held at most: less than
     * 100 leaves callers time for other actions.
     */
    std::uint32_t holdPercent = 100;
    /**
     * Responses to abandoned statements are awaited for this long before their connection is
     * closed.
     */
    Duration abandonedFor = std::chrono::milliseconds(600);
    /** Maximum number of prepared names on one server connection before it is reset. */
    std::size_t preparedPerConnection = 400;
};

}  // namespace coralhoist::pooling
