/** Proofs that the primaries of all groups lead, and the interfaces for passing them between nodes.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/Identifier.h"
#include "base/StoreVersion.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Versions of the groups' promotion records; groups without a record are absent. */
using RecordVersions = std::map<GroupName, StoreVersion>;

/** @return the highest version in a list of this era, which may contain no record at all. */
inline StoreVersion newestOf(const RecordVersions& versions, std::uint64_t era) {
    StoreVersion newest{era, 0};
    for (const auto& [group, version] : versions) {
        newest = std::max(newest, version);
    }
    return newest;
}

/** All promotion records as returned by one list request to the store. */
struct ListedRecords {
    RecordVersions versions;
    /** Era of the store that returned them. */
    std::uint64_t era = 0;
};

/** The promotion records as the store held them at one moment. */
struct LeadershipProof {
    /** A time of this node's clock that is not later than the moment at which the store held the
     * records. */
    TimePoint provenAt{};
    RecordVersions recordVersions;
    /** Era of the store that returned them. */
    std::uint64_t era = 0;

    /** @return the version of the group's record; for a group without a record, a version which
     * states that there was none in that era. */
    StoreVersion versionOf(const GroupName& group) const {
        const auto found = recordVersions.find(group);
        return found == recordVersions.end() ? StoreVersion{era, 0} : found->second;
    }
};

/** A proof that is sent to another node. */
struct HandedProof {
    /** Time since the moment of the proof, by the clock of the node that sends it. */
    Duration age{0};
    RecordVersions recordVersions;
    /** Era of the store that returned them. */
    std::uint64_t era = 0;

    bool operator==(const HandedProof&) const = default;
};

/** The requirements that a proof must meet to be useful to a node. */
struct ProofNeed {
    /** Newest record version that the node knows: a proof that does not include it is too old. */
    StoreVersion newestVersion;
    /** Maximum age of the proof when it is sent. */
    Duration maximumAge{0};

    bool operator==(const ProofNeed&) const = default;
};

/** A node that waits for a proof. */
struct ProofAsker {
    /** Identifies the request on this node. */
    std::uint64_t id = 0;
    ProofNeed need;
};

/** Sends requests to other nodes. No call delivers a response before it returns. */
class ProofQuestions {
public:
    virtual ~ProofQuestions() = default;

    /** @return whether the node currently seems to respond. */
    virtual bool canReach(const NodeName& node) const = 0;

    /** Requests a proof. One onProofAnswer follows, or nothing when the node or its link is lost.
     */
    virtual void askForProof(const NodeName& node, std::uint64_t question,
                             const ProofNeed& need) = 0;
};

/** Sends responses to other nodes. */
class ProofAnswers {
public:
    virtual ~ProofAnswers() = default;

    /** @param proof nothing when this node has no proof and can't get one now. */
    virtual void answerProof(std::uint64_t asker, const std::optional<HandedProof>& proof) = 0;
};

/** Receives requests and responses of other nodes. */
class ProofEvents {
public:
    virtual ~ProofEvents() = default;

    virtual void onProofAsked(const ProofAsker& asker) = 0;
    virtual void onProofAnswer(std::uint64_t question, const std::optional<HandedProof>& proof) = 0;
};

/** Reads all promotion records with a linearizable call to the store. */
class RecordReader {
public:
    /** Called with nothing when the store did not respond. */
    using Callback = std::function<void(const std::optional<ListedRecords>&)>;

    virtual ~RecordReader() = default;

    /** @param callback called exactly once, and not before this call returns. */
    virtual void readRecords(Callback callback) = 0;
};

}  // namespace coralhoist::pooling
