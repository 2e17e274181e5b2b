#include "zone/ReplicaComparison.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace coralhoist::zone {
namespace {

/** Keeps the choice of the part independent of the choice of the bucket. */
constexpr std::uint64_t kSubBucketSeed = 0x706172747321ULL;

std::uint64_t versionHash(const ObjectVersion& object) {
    return XXH3_64bits_withSeed(object.path.data(), object.path.size(), object.version);
}

std::vector<std::uint32_t> subBucketSums(const SettingsReplica& replica, std::size_t bucket) {
    std::vector<std::uint32_t> sums(kSubBuckets, 0);
    for (const ObjectVersion& object : replica.versionsOfBucket(bucket)) {
        sums[subBucketOf(object.path)] += static_cast<std::uint32_t>(versionHash(object));
    }
    return sums;
}

}  // namespace

std::size_t subBucketOf(const std::string& path) {
    return XXH3_64bits_withSeed(path.data(), path.size(), kSubBucketSeed) % kSubBuckets;
}

BucketComparison compareBuckets(const SettingsReplica& replica) {
    BucketComparison comparison;
    comparison.sums.reserve(kSettingsBuckets);
    for (const std::uint64_t sum : replica.bucketSums()) {
        comparison.sums.push_back(static_cast<std::uint32_t>(sum));
    }
    return comparison;
}

SubBucketComparison compareSubBuckets(const SettingsReplica& replica, const BucketComparison& peer,
                                      std::size_t maximum, RandomSource& random) {
    SubBucketComparison comparison;
    if (peer.sums.size() != kSettingsBuckets) {
        return comparison;
    }
    std::vector<std::size_t> differing;
    for (std::size_t bucket = 0; bucket < kSettingsBuckets; ++bucket) {
        if (static_cast<std::uint32_t>(replica.bucketSums()[bucket]) != peer.sums[bucket]) {
            differing.push_back(bucket);
        }
    }
    const std::size_t count = std::min(maximum, differing.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(differing[index], differing[index + random.below(differing.size() - index)]);
        const std::size_t bucket = differing[index];
        comparison.buckets.push_back(
            {static_cast<std::uint16_t>(bucket), subBucketSums(replica, bucket)});
    }
    return comparison;
}

VersionComparison compareVersions(const SettingsReplica& replica, const SubBucketComparison& peer) {
    VersionComparison comparison;
    for (const SubBucketSums& theirs : peer.buckets) {
        if (theirs.bucket >= kSettingsBuckets || theirs.sums.size() != kSubBuckets) {
            continue;
        }
        const std::vector<std::uint32_t> own = subBucketSums(replica, theirs.bucket);
        const std::vector<ObjectVersion> versions = replica.versionsOfBucket(theirs.bucket);
        for (std::size_t part = 0; part < kSubBuckets; ++part) {
            if (own[part] == theirs.sums[part]) {
                continue;
            }
            SubBucketVersions differing{theirs.bucket, static_cast<std::uint16_t>(part), {}};
            std::copy_if(
                versions.begin(), versions.end(), std::back_inserter(differing.versions),
                [part](const ObjectVersion& object) { return subBucketOf(object.path) == part; });
            comparison.parts.push_back(std::move(differing));
        }
    }
    return comparison;
}

VersionDifference differenceTo(const SettingsReplica& replica, const VersionComparison& peer) {
    VersionDifference difference;
    for (const SubBucketVersions& part : peer.parts) {
        if (part.bucket >= kSettingsBuckets) {
            continue;
        }
        std::map<std::string, std::uint64_t> theirs;
        for (const ObjectVersion& object : part.versions) {
            theirs[object.path] = object.version;
            if (object.version > replica.newestVersion(object.path)) {
                difference.toFetch.push_back(object);
            }
        }
        for (const ObjectVersion& own : replica.versionsOfBucket(part.bucket)) {
            const auto held = theirs.find(own.path);
            const bool newer = held == theirs.end() || held->second < own.version;
            if (subBucketOf(own.path) == part.subBucket && newer) {
                difference.toOffer.push_back(own);
            }
        }
    }
    return difference;
}

}  // namespace coralhoist::zone
