/** Members of a region as the failure detector sees them. */
#pragma once

#include <cstdint>
#include <string>

#include "base/Identifier.h"

namespace coralhoist::zone {

/** Where a proxy listens for its peers, TCP and UDP. */
struct PeerAddress {
    /** IP number. */
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const PeerAddress&) const = default;
};

/** What is believed of a member's process. */
enum class Liveness : std::uint8_t {
    Alive,
    Suspect, /**< Probes failed; still counts as live until the suspicion expires. */
    Dead,
};

/** One proxy. */
struct Member {
    NodeName name;
    RegionName region;
    ZoneName zone;
    PeerAddress address;
    /** Grows with each start and each refutation; only the member itself raises it. */
    std::uint64_t incarnation = 0;
    Liveness liveness = Liveness::Alive;
    /** The member takes no new work and will stop. */
    bool leaving = false;
    /** Suspect: who failed to reach the member. */
    NodeName suspectedBy;

    bool operator==(const Member&) const = default;
};

/** @return whether news about a member replaces what is held about it. */
inline bool supersedes(const Member& update, const Member& held) {
    if (update.incarnation != held.incarnation) {
        return update.incarnation > held.incarnation;
    }
    return update.liveness > held.liveness;
}

/** @return whether the member counts as live. */
inline bool isLive(const Member& member) {
    return member.liveness != Liveness::Dead;
}

/** @return whether the member takes new work. */
inline bool takesWork(const Member& member) {
    return isLive(member) && !member.leaving;
}

}  // namespace coralhoist::zone
