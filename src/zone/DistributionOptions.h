/** Tunables of the settings distribution. */
#pragma once

#include <chrono>
#include <cstddef>

#include "base/Time.h"

namespace coralhoist::zone {

/** Defaults keep an estate of 7,900 nodes with 15,000 groups within 4 KB/s a node. */
struct DistributionOptions {
    /** Changes are collected for this long before they are announced. */
    Duration announceDelay = std::chrono::milliseconds(30);
    /** Random members of the own zone that get an announcement, besides the next in the ring. */
    std::size_t announceFanout = 2;
    /** One in so many announcements also goes to another zone of the region. */
    std::size_t otherZoneOdds = 8;
    /** One in so many announcements also goes to another region. */
    std::size_t otherRegionOdds = 16;
    /** Versions named in one datagram. */
    std::size_t versionsPerDatagram = 10;
    /** Changes that wait to be announced; what is more is left to repair. */
    std::size_t announceLimit = 512;
    /** An unanswered fetch is repeated, from another source if there is one, after this long. */
    Duration fetchTimeout = std::chrono::milliseconds(500);
    /** Attempts to fetch one version before it is left to repair. */
    int fetchAttempts = 4;
    /** Time between comparisons with a random peer. */
    Duration digestInterval = std::chrono::seconds(1);
    /** The same while this node is not ready. */
    Duration joiningDigestInterval = std::chrono::milliseconds(200);
    /** Percentage of the comparisons that go to another zone of the region. */
    std::size_t otherZonePercent = 10;
    /** Percentage of the comparisons that go to another region. */
    std::size_t otherRegionPercent = 5;
    /** Changes younger than this are named in digests. */
    Duration recentSpan = std::chrono::seconds(15);
    /** Comparisons in a row that differ without naming news before buckets are compared. */
    int comparisonsBeforeRepair = 2;
    /** Buckets whose parts are compared at once. */
    std::size_t bucketsPerRepair = 6;
    /** Records sent in one batch, in bytes before compression. */
    std::size_t batchBytes = 32768;
    /** Bytes a second at which a starting node fetches the whole tree... */
    double fillBytesPerSecond = 3000;
    /** ...after a first burst of so many bytes. */
    double fillBurstBytes = 64.0 * 1024;
    /** An unanswered FillRequest is repeated with another peer after this long. */
    Duration fillTimeout = std::chrono::seconds(2);
    /** Ready peers asked for their freshest version before a starting node judges its own. */
    std::size_t readinessSample = 5;
    /** A starting node judges with a smaller sample after this long. */
    Duration readinessPatience = std::chrono::seconds(2);
    /** Members of each zone that read the platform. */
    std::size_t readersPerZone = 2;
    /** Without contact with the platform for so long, the next member of the zone reads too. */
    Duration readerTakeover = std::chrono::seconds(20);
    /** Most members of a zone that read the platform in the place of readers without contact. */
    std::size_t substituteReaders = 3;
    /** A member that took the place of a reader goes on for at least this long. */
    Duration substituteHold = std::chrono::minutes(10);
    /** Time for the members of a zone's slice to answer about a version in force. */
    Duration inForceMemberTimeout = std::chrono::milliseconds(400);
    /** Members asked about directly by one node. */
    std::size_t inForceSlice = 20;
    /** Names of lacking or silent members kept in an answer. */
    std::size_t inForceExamples = 10;
};

}  // namespace coralhoist::zone
