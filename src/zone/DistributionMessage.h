/** Messages by which proxies pass settings on and repair what they missed. */
#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/Time.h"
#include "zone/Member.h"
#include "zone/SettingsReplica.h"

namespace coralhoist::zone {

/** Parts of a bucket by which two differing buckets are compared. */
constexpr std::size_t kSubBuckets = 32;

/** The sender holds these versions; whoever lacks one may fetch it. */
struct Announcement {
    std::vector<ObjectVersion> versions;
};

/** Asks for the newest records of paths. */
struct FetchRequest {
    std::vector<std::string> paths;
};

/** Asks for all records of some buckets, as many as one answer takes. */
struct FillRequest {
    std::bitset<kSettingsBuckets> buckets;
};

/** Records, asked for or not. */
struct RecordBatch {
    std::vector<settings::SettingsObjectRecord> records;
    /** Answer to FillRequest: buckets whose records are all in this batch. */
    std::optional<std::bitset<kSettingsBuckets>> filledBuckets;
};

/** Summary of a replica. */
struct ReplicaDigest {
    std::uint64_t digest = 0;
    std::uint64_t freshestVersion = 0;
    /** Version up to which the sender has every object that exists. */
    std::uint64_t completeUpTo = 0;
    bool ready = false;
    /** Time since a reader in the sender's zone was in contact with the platform, if it ever was.
     */
    std::optional<Duration> platformAge;
    /** What the sender learnt a moment ago. */
    std::vector<ObjectVersion> recent;
    /** Whether this answers a digest; it is then not answered. */
    bool isAnswer = false;
};

/** Sums of all buckets, cut to 32 bits; asks for the sums of parts that differ. */
struct BucketComparison {
    std::vector<std::uint32_t> sums;
};

/** Sums of the parts of one bucket. */
struct SubBucketSums {
    std::uint16_t bucket = 0;
    std::vector<std::uint32_t> sums;
};

/** Answer to BucketComparison for some of the buckets that differ. */
struct SubBucketComparison {
    std::vector<SubBucketSums> buckets;
};

/** The sender's versions in one part of a bucket. */
struct SubBucketVersions {
    std::uint16_t bucket = 0;
    std::uint16_t subBucket = 0;
    std::vector<ObjectVersion> versions;
};

/** Answer to SubBucketComparison: the receiver sends what is newer and fetches what it lacks. */
struct VersionComparison {
    std::vector<SubBucketVersions> parts;
};

/** Part of the estate about which an InForceQuery asks. */
enum class InForceScope : std::uint8_t {
    Member, /**< The receiver. */
    Slice,  /**< The listed members of the receiver's zone. */
    Zone,   /**< The receiver's zone. */
    Region, /**< The receiver's region. */
};

/** Asks which live members have an object in force at a version or a newer one. */
struct InForceQuery {
    std::uint64_t id = 0;
    InForceScope scope = InForceScope::Member;
    ObjectVersion object;
    /** Slice: the members asked about. */
    std::vector<NodeName> members;
};

/** Counts of members; names only of some that lack the version. */
struct InForceSummary {
    std::uint32_t inForce = 0;
    /** Members that answered with an older version. */
    std::uint32_t lacking = 0;
    /** Members that are held live and did not answer in time. */
    std::uint32_t silent = 0;
    /** Some of the lacking and silent members. */
    std::vector<NodeName> examples;
};

/** Answer to InForceQuery. */
struct InForceReply {
    std::uint64_t id = 0;
    InForceSummary summary;
};

/** A proxy as the receiver of a message. */
struct PeerReference {
    NodeName name;
    PeerAddress address;

    bool operator==(const PeerReference&) const = default;
};

/** One message. Small ones go as datagrams and may get lost, large ones over the peer link. */
struct DistributionMessage {
    PeerReference sender;
    RegionName region;
    ZoneName zone;
    std::variant<Announcement, FetchRequest, FillRequest, RecordBatch, ReplicaDigest,
                 BucketComparison, SubBucketComparison, VersionComparison, InForceQuery,
                 InForceReply>
        body;
};

}  // namespace coralhoist::zone
