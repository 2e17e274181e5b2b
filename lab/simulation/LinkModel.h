/** Delays, losses and cuts between places. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::simulation {

/** Where a simulated process runs. */
struct Place {
    RegionName region;
    ZoneName zone;
    /** Number of the process's host, unique in the simulation. */
    std::uint32_t host = 0;
};

/** One-way delays; each is lengthened by up to the share of jitter at random. */
struct LinkDelays {
    Duration sameZone = std::chrono::microseconds(250);
    Duration sameRegion = std::chrono::microseconds(1500);
    Duration otherRegion = std::chrono::milliseconds(60);
    double jitter = 0.2;
};

/** Whether a datagram gets through, and how long it takes. */
class LinkModel {
public:
    /** Decides whether a cut concerns a pair of places, in one direction. */
    using Matcher = std::function<bool(const Place& from, const Place& to)>;

    explicit LinkModel(const LinkDelays& delays) : _delays(delays) {}

    /** @param share of the datagrams that get lost, 0 to 1. */
    void setLoss(double share) { _loss = share; }

    /** Cuts the links that match, in the direction that matches. @return a number to heal it. */
    std::uint64_t cut(Matcher matcher);

    /** Ends a cut. */
    void heal(std::uint64_t cutNumber) { _cuts.erase(cutNumber); }

    /** @return whether no cut lies between the places in this direction. */
    bool connects(const Place& from, const Place& to) const;

    /** @return the one-way delay of a datagram, or nothing when it is lost or cut. */
    std::optional<Duration> transit(const Place& from, const Place& to, RandomSource& random) const;

    /** @return the one-way delay of bytes on a reliable stream, which wait out losses. */
    std::optional<Duration> streamTransit(const Place& from, const Place& to,
                                          RandomSource& random) const;

private:
    Duration delay(const Place& from, const Place& to, RandomSource& random) const;

    LinkDelays _delays;
    double _loss = 0;
    std::uint64_t _nextCut = 1;
    std::map<std::uint64_t, Matcher> _cuts;
};

}  // namespace coralhoist::simulation
