/** What one node knows of the members of its region. */
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/Time.h"
#include "zone/MembershipMessage.h"

namespace coralhoist::zone {

/** How an update changed the table. */
enum class TableChange { None, Joined, Updated, Suspected, Died };

/**
 * The members of one region, the dead ones included until they are forgotten. Live members are also
 * summed up in bucket hashes, by which two tables find where they differ.
 */
class MemberTable {
public:
    /**
     * Takes an update if it supersedes what is held.
     * @param update news about a member; without an address only its death can be told.
     */
    TableChange apply(const Member& update, TimePoint now);

    /** @return the member, or null when unknown. Valid until the next change. */
    const Member* find(const NodeName& name) const;

    /** Drops dead members that died at or before the given time. */
    void forgetDeadBefore(TimePoint time);

    /** Live members in no particular order; valid until the next change. */
    const std::vector<const Member*>& live() const { return _live; }

    /** @return all members of the given buckets, the dead ones included. */
    std::vector<Member> membersOf(const std::bitset<kMemberBuckets>& buckets) const;

    /** @return the addresses of dead members that are still remembered. */
    std::vector<PeerAddress> deadAddresses() const;

    const std::array<std::uint64_t, kMemberBuckets>& bucketHashes() const { return _bucketHashes; }
    std::uint64_t hash() const { return _hash; }

    /** Grows whenever a member joins, leaves, dies or moves. */
    std::uint64_t version() const { return _version; }

    /** @return the bucket to which a member belongs. */
    static std::size_t bucketOf(const NodeName& name);

private:
    struct Entry {
        Member member;
        TimePoint since;
        std::size_t liveIndex = 0;
    };

    void include(Entry& entry);
    void exclude(Entry& entry);
    void toggleHash(const Member& member);

    std::unordered_map<NodeName, Entry> _entries;
    std::vector<const Member*> _live;
    std::array<std::uint64_t, kMemberBuckets> _bucketHashes{};
    std::uint64_t _hash = 0;
    std::uint64_t _version = 0;
};

}  // namespace coralhoist::zone
