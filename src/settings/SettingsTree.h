/** The settings objects that one proxy knows, merged from all sources. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Status.h"
#include "settings/SettingsFault.h"
#include "settings/SettingsObject.h"
#include "settings/SettingsSnapshot.h"
#include "settings/TreeDigest.h"

namespace coralhoist::settings {

/** What became of a merged record. */
enum class MergeOutcome {
    Applied,   /**< It is in force now. */
    Unchanged, /**< The same or a newer version was known. */
    Refused,   /**< It is newer and invalid: the last good version stays in force, and the fault is
                  listed. Relay it all the same; peers must know it too. */
    Forgotten, /**< Its path was deleted, or never existed, up to a version that this tree vouches
                  for. */
    Malformed, /**< Its path or version is not possible; nothing is kept. */
};

/** Names one record without its content. */
struct RecordKey {
    std::string path;
    std::uint64_t version = 0;
    bool deleted = false;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the generated comparison for a null.
    auto operator<=>(const RecordKey&) const = default;
};

/**
 * Merges records of the platform and of peers, in any order and any number of times.
 *
 * Invariants:
 * - Per path the record in force is the valid one with the highest version ever merged. Nothing,
 *   also no replay or late answer, brings back a lower version or a deleted node.
 * - A newer record that is invalid is kept beside it, so that trees with the same records are equal
 *   and have equal digests.
 * - A deletion is kept as a record with its version until forgetDeletions().
 *
 * One thread owns the tree; the snapshots may go to other threads.
 */
class SettingsTree {
public:
    SettingsTree();

    MergeOutcome merge(const SettingsObjectRecord& record);

    /**
     * @return the state after all merges so far. The same pointer until the next change in force;
     * costs little after one change.
     */
    std::shared_ptr<const SettingsSnapshot> snapshot();

    /** @return the record in force, deletions included, or nothing for an unknown path. */
    std::optional<SettingsObjectRecord> find(std::string_view path) const;

    /** @return the highest version of all records merged, whether valid or not. */
    std::uint64_t freshestVersion() const { return _freshestVersion; }

    /** @return refused records and broken rules between keys. Costs a pass over all groups. */
    std::vector<SettingsFault> faults();

    const TreeDigest& digest() const { return _digest; }

    /** @return the records of one bucket of the digest, refused ones included, in path order. */
    std::vector<SettingsObjectRecord> recordsOfBucket(std::size_t bucket) const;

    /** @return the names of recordsOfBucket(). */
    std::vector<RecordKey> keysOfBucket(std::size_t bucket) const;

    /** @return every record held, refused ones and deletions included, in path order. */
    std::vector<SettingsObjectRecord> records() const;

    /** @return the number of paths held, deletions included. */
    std::size_t size() const { return _entries.size(); }
    std::size_t deletionCount() const { return _deletionCount; }

    /**
     * Drops the deletions with a version of at most completeUpTo and refuses from then on every
     * record of an unknown path with such a version, so that no deleted node comes back.
     * @param completeUpTo a version up to which this tree has every node that exists: the version
     * of a list of the platform that was merged whole, or forgottenUpTo() of a peer after all its
     * records were merged.
     */
    void forgetDeletions(std::uint64_t completeUpTo);

    /** @return the greatest completeUpTo given to forgetDeletions(), or 0. */
    std::uint64_t forgottenUpTo() const { return _forgottenUpTo; }

    /**
     * Learns of deletions that a peer has dropped already: a node of ours in the bucket that the
     * peer lacks and vouches for is deleted.
     * @param bucket bucket of the digest.
     * @param peerKeys keysOfBucket() of the peer.
     * @param peerForgottenUpTo forgottenUpTo() of the peer at that time.
     * @return the number of nodes deleted.
     */
    std::size_t mergeAbsences(std::size_t bucket, const std::vector<RecordKey>& peerKeys,
                              std::uint64_t peerForgottenUpTo);

private:
    /** What is known of one path. At least one of the two records is there. */
    struct Entry {
        /** Highest valid version. */
        SettingsNodePointer inForce;
        /** Highest invalid version, when above the one in force. */
        std::optional<SettingsObjectRecord> refused;
        std::string refusal;
    };
    using Entries = std::map<std::string, Entry, std::less<>>;

    MergeOutcome putInForce(Entry& entry, SettingsNode node);
    MergeOutcome refuse(Entry& entry, const SettingsObjectRecord& record, const Status& reason);
    void dropRefused(Entry& entry);

    Entries _entries;
    /** Paths of each bucket; views into the keys of _entries. */
    std::vector<std::set<std::string_view>> _pathsOfBucket;
    TreeDigest _digest;
    std::uint64_t _freshestVersion = 0;
    std::uint64_t _forgottenUpTo = 0;
    std::size_t _deletionCount = 0;
    std::vector<NodeChange> _unpublished;
    std::shared_ptr<const SettingsSnapshot> _snapshot;
};

}  // namespace coralhoist::settings
