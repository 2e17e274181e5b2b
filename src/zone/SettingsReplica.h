/** What the distribution needs of the settings held by this process. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "settings/SettingsObject.h"

namespace coralhoist::zone {

/** Buckets of paths by which two replicas are compared. */
constexpr std::size_t kSettingsBuckets = 256;

/** Names one version of one settings object. */
struct ObjectVersion {
    std::string path;
    std::uint64_t version = 0;

    auto operator<=>(const ObjectVersion&) const = default;
};

/** The settings objects that this process knows, deletions included. */
class SettingsReplica {
public:
    virtual ~SettingsReplica() = default;

    /**
     * Takes a record if its version is higher than any taken for its path.
     * @return whether it was news and is to be passed on, also if it is not valid here.
     */
    virtual bool merge(const settings::SettingsObjectRecord& record) = 0;

    /** @return the highest version taken for a path, valid or not; 0 for an unknown path. */
    virtual std::uint64_t newestVersion(const std::string& path) const = 0;

    /** @return the version in force for a path, a deletion's included; 0 for an unknown path. */
    virtual std::uint64_t versionInForce(const std::string& path) const = 0;

    /** @return all records held for a path: the one in force and a newer, invalid one. */
    virtual std::vector<settings::SettingsObjectRecord> records(const std::string& path) const = 0;

    /** @return all records of a bucket, the invalid ones included. */
    virtual std::vector<settings::SettingsObjectRecord> recordsOfBucket(
        std::size_t bucket) const = 0;

    /** @return the newest versions in a bucket, one for each path. */
    virtual std::vector<ObjectVersion> versionsOfBucket(std::size_t bucket) const = 0;

    /** @return one sum for each bucket; equal replicas have equal sums. */
    virtual const std::array<std::uint64_t, kSettingsBuckets>& bucketSums() const = 0;

    /** @return one number for the whole replica. */
    virtual std::uint64_t digest() const = 0;

    /** @return the highest version taken. */
    virtual std::uint64_t freshestVersion() const = 0;
};

}  // namespace coralhoist::zone
