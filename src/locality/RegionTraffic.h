/** What passes between this node's region and others. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/Identifier.h"
#include "locality/RegionMap.h"

namespace coralhoist::locality {

/** What bytes are sent for. */
enum class TrafficPurpose {
    Units,       /**< Statements that other nodes execute, and their answers. */
    Servers,     /**< Statements to servers, their answers and reports of their state. */
    Feeds,       /**< What the store holds, handed on by nodes. */
    Proofs,      /**< Proofs of leadership. */
    Quotas,      /**< Units of tenants' quotas and copies of their ledgers. */
    LoadReports, /**< What executors tell each other of their load. */
    Upkeep,      /**< Signs of life. */
};
constexpr std::size_t kTrafficPurposes = 7;

/** @return a word for metrics and logs. */
const char* describe(TrafficPurpose purpose);

enum class TrafficDirection { Sent, Received };

/**
 * Counts the bytes of frames, without those of lower layers, on connections that this node opened:
 * each connection between two nodes is counted by one of them, in both directions.
 */
class RegionTraffic {
public:
    RegionTraffic(const RegionMap& regions, const ZoneName& zone)
        : _regions(regions), _zone(zone) {}

    /** @return whether what is sent to the zone leaves this node's region. False for a zone that is
     * not known, and with one region. */
    bool leavesRegion(const ZoneName& zone) const;

    void add(TrafficPurpose purpose, TrafficDirection direction, std::size_t bytes);

    std::uint64_t bytes(TrafficPurpose purpose, TrafficDirection direction) const;

    /** @return all bytes of both directions. */
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
