/** Messages between failure detectors; one message is one datagram. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "zone/Member.h"

namespace coralhoist::zone {

/** What a membership message asks or tells. */
enum class MembershipKind : std::uint8_t {
    Ping,           /**< Direct probe. */
    Ack,            /**< Answer to a probe, also when passed on by a helper. */
    IndirectPing,   /**< Asks the receiver to probe the target and to pass the answer on. */
    Gossip,         /**< Updates only. */
    Join,           /**< Asks for members of the sender's region. */
    BucketHashes,   /**< Asks for the members of the buckets in which the receiver differs. */
    ContactRequest, /**< Asks for contacts in all regions. */
    ContactReply,   /**< Members of the sender's region and contacts in other regions. */
    Members,        /**< Answer to Join and BucketHashes; not passed on. */
};

/** Number of buckets into which a region's members are hashed for comparison. */
constexpr std::size_t kMemberBuckets = 128;

/** One datagram of the failure detector. */
struct MembershipMessage {
    MembershipKind kind = MembershipKind::Gossip;
    Member sender;
    /** Matches an Ack with its probe. */
    std::uint64_t sequence = 0;
    /** Hash over the live members of the sender's region. */
    std::uint64_t viewHash = 0;
    /** Live members of the sender's region, the sender included. */
    std::uint32_t memberCount = 0;
    /** IndirectPing: the member to probe. */
    std::optional<Member> target;
    std::vector<Member> updates;
    /** BucketHashes: kMemberBuckets hashes. */
    std::vector<std::uint32_t> bucketHashes;
};

}  // namespace coralhoist::zone
