/** Tuning constants of the pooler. */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Defaults fit groups of servers with a few slots each; benchmarks argue for them. */
struct PoolerKnobs {
    /** Name and zone of this process. */
    NodeName node;
    ZoneName zone;
    /** Nodes of each zone that execute a group's statements; the others forward to them. */
    std::uint32_t executorsPerZone = 2;
    /** The same where connections belong to tenants. With one executor in place of two, a day of 84
     * tenants opened 15,800 connections in place of 21,000, each of which takes a slot for 12 ms.
     */
    std::uint32_t tenantExecutorsPerZone = 1;
    /** The same where there are several regions: what executors tell each other crosses between
     * regions and grows with the square of their number, and a lost one has others in its region.
     */
    std::uint32_t regionalExecutorsPerZone = 1;
    /** The executing node gives up so long before the node that forwarded. */
    Duration forwardingMargin = std::chrono::milliseconds(20);
    /** Idle connections of a node that is no longer an executor are closed after this time. */
    Duration unusedFor = std::chrono::seconds(2);
    /** Connections that this process holds to one server at most. */
    std::uint32_t connectionsPerServer = 5;
    /** The same where each connection belongs to one tenant: as many as there are tenants are of
     * use, so that the share of what a server takes binds. */
    std::uint32_t tenantConnectionsPerServer = 64;
    /** The same where there are several regions: fewer executors hold a server's connections, and
     * some of what is in flight is on the way. */
    std::uint32_t regionalConnectionsPerServer = 12;
    /** After its start a process opens one connection to each server, and more only after this
     * time: when all processes have lost power, servers keep their former connections for seconds,
     * and what is left must do for a first one of each. */
    Duration singleConnectionFor = std::chrono::milliseconds(500);
    /** Not 0: what needs a primary that this process can't use goes to another executor, once. */
    std::uint32_t moveToOthers = 1;
    /** Connections being opened to one server at a time. */
    std::uint32_t concurrentConnects = 2;
    /** Most statements outside transactions in flight to a server for each of its slots: from this
     * executor, and from all together while they share what servers take. */
    double inflightPerSlot = 1.5;
    /** Factor of that limit when the server had no capacity, and its growth with each success. */
    double inflightDecrease = 0.7;
    double inflightIncrease = 0.1;
    /** Part of the least latency objective of a group's services above which a server's latency
     * lowers the limit too, and the factor by which it does. */
    double latencyTargetShare = 0.4;
    double latencyDecrease = 0.9;
    /** Statements that may be in flight above the limit when they are urgent. */
    std::uint32_t urgentHeadroom = 1;
    /** Time between two decreases. */
    Duration inflightDecreasePause = std::chrono::milliseconds(60);
    /** Part of the latency objective after which a waiting statement gives way to younger ones. */
    double onTimeShare = 0.5;
    /** Not 0: of those that are on time, statements that occupy a slot for less time go first. */
    std::uint32_t orderBySlotTime = 1;
    /** Added to the cost of a server in another zone. */
    Duration otherZonePenalty = std::chrono::milliseconds(30);
    /** Added to the cost of the primary for reads that a replica may serve. */
    Duration primaryPenalty = std::chrono::milliseconds(10);
    /** Added to the cost of a server to which a connection would have to be opened first: what that
     * takes at a server (12 ms) and on the way. */
    Duration connectPenalty = std::chrono::milliseconds(15);
    /** Cost of each statement in flight from this process. */
    Duration inflightPenalty = std::chrono::milliseconds(8);
    /** A statement unanswered for so long, with no other answer either, makes a server suspect. */
    Duration suspectAfter = std::chrono::milliseconds(400);
    /** A read unanswered for so long is also sent to another server, at the least. */
    Duration hedgeAfter = std::chrono::milliseconds(150);
    /** The same for a read that takes so many times as long as others at a server that answers. */
    std::uint32_t hedgeAfterLatencies = 4;
    /** Times that one read is sent again for want of an answer. */
    std::uint32_t hedgesPerRead = 2;
    /** Time a connection may take to open. */
    Duration connectTimeout = std::chrono::milliseconds(600);
    /** Pause before a server that refused a connection is tried again. */
    Duration reconnectPause = std::chrono::milliseconds(200);
    /** Pause before a statement that a server had no capacity for is tried again. */
    Duration busyPause = std::chrono::milliseconds(15);
    /** Longest time for which nothing is sent to a server that refuses for want of capacity. */
    Duration longestBusyPause = std::chrono::milliseconds(120);
    /** Pause before a server that lacked a position is asked for it again, and its bound: it grows
     * while the server lacks what it is asked for. */
    Duration laggingPause = std::chrono::milliseconds(60);
    Duration longestLaggingPause = std::chrono::milliseconds(480);
    /** Share of the statement timeout for which an unsent statement is held at most, in percent:
     * less than 100 leaves callers time for something else. */
    std::uint32_t holdPercent = 100;
    /** Abandoned statements are waited for this long before their connection is closed. */
    Duration abandonedFor = std::chrono::milliseconds(600);
    /** Most prepared names on one server connection before it is reset. */
    std::size_t preparedPerConnection = 400;
};

}  // namespace coralhoist::pooling
