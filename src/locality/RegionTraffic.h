/** Counts the traffic between this node's region and others. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/Identifier.h"
#include "locality/RegionMap.h"

namespace coralhoist::locality {

/** The purpose of a transfer. */
enum class TrafficPurpose {
    Units,       /**< Statements that other nodes execute, and their answers. */
    Servers,     /**< Statements to servers, their answers and reports of their state. */
    Feeds,       /**< Contents of the store that nodes relay. */
    Proofs,      /**< Proofs of leadership. */
    Quotas,      /**< Units of tenants' quotas and copies of their ledgers. */
    LoadReports, /**< Load reports between executors. */
    Upkeep,      /**< Heartbeats. */
};
constexpr std::size_t kTrafficPurposes = 7;

/** @return the name for metrics and logs. */
const char* describe(TrafficPurpose purpose);

enum class TrafficDirection { Sent, Received };

/** Counts the bytes of frames, without those of lower layers, on connections that this node opened.
 * Each connection between two nodes is thus counted by one of them, in both directions. */
class RegionTraffic {
public:
    RegionTraffic(const RegionMap& regions, const ZoneName& zone)
        : _regions(regions), _zone(zone) {}

    /**
     * @return whether traffic to the zone leaves this node's region. False for a zone that is not
     * known, and when there is only one region.
     */
    bool leavesRegion(const ZoneName& zone) const;

    void add(TrafficPurpose purpose, TrafficDirection direction, std::size_t bytes);

    std::uint64_t bytes(TrafficPurpose purpose, TrafficDirection direction) const;

    /** @return the sum of all bytes in both directions. */
    std::uint64_t total() const;

private:
    struct Counter {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    RegionMap _regions;
    ZoneName _zone;
    std::array<Counter, kTrafficPurposes> _counters{};
};

}  // namespace coralhoist::locality
