/** Finds the objects in which two replicas differ, at a cost that grows with the difference. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/Time.h"
#include "zone/DistributionMessage.h"

namespace coralhoist::zone {

/** @return the part of its bucket to which a path belongs; the same on every node. */
std::size_t subBucketOf(const std::string& path);

/** @return the message with all bucket sums of a replica. */
BucketComparison compareBuckets(const SettingsReplica& replica);

/**
 * @param maximum most buckets to answer for; a random choice of those that differ.
 * @return the sums of the parts of buckets that differ, or no bucket when none does.
 */
SubBucketComparison compareSubBuckets(const SettingsReplica& replica, const BucketComparison& peer,
                                      std::size_t maximum, RandomSource& random);

/** @return this replica's versions in the parts that differ from the peer's. */
VersionComparison compareVersions(const SettingsReplica& replica, const SubBucketComparison& peer);

/** What follows from comparing versions. */
struct VersionDifference {
    /** The peer has these, newer than here. */
    std::vector<ObjectVersion> toFetch;
    /** This replica has these, newer than the peer. */
    std::vector<ObjectVersion> toOffer;
};

/** @return in what this replica differs from the peer in the compared parts. */
VersionDifference differenceTo(const SettingsReplica& replica, const VersionComparison& peer);

}  // namespace coralhoist::zone
