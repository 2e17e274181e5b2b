/** Updates that wait to be piggy-backed on datagrams. */
#pragma once

#include <cstddef>
#include <vector>

#include "zone/Member.h"

namespace coralhoist::zone {

/**
 * Holds the newest update per member until it was sent often enough. The updates sent least often
 * go first, so a storm of updates delays none of them for long.
 */
class GossipQueue {
public:
    /** Adds an update, or replaces the one about the same member. */
    void add(const Member& update);

    /**
     * Takes updates for one datagram and counts them as sent.
     * @param maximum most updates to take.
     * @param transmissionLimit an update sent this often is dropped.
     */
    std::vector<Member> take(std::size_t maximum, std::size_t transmissionLimit);

    bool empty() const { return _pending.empty(); }
    std::size_t size() const { return _pending.size(); }

private:
    struct Pending {
        Member update;
        std::size_t transmissions = 0;
    };

    std::vector<Pending> _pending;
};

/**
 * @param factor transmissions per doubling of the number of members.
 * @param members number of members.
 * @return how often each update is sent.
 */
std::size_t transmissionLimit(std::size_t factor, std::size_t members);

}  // namespace coralhoist::zone
