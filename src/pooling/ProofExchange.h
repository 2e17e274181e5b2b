/** Gets proofs of leadership from other nodes or from the store, and passes them to other nodes. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "pooling/LeadershipProof.h"
#include "pooling/ReaderTree.h"
#include "pooling/SourceChoice.h"

namespace coralhoist::pooling {

/** The collaborators of an exchange. All of them outlive it. */
struct ProofDependencies {
    const Clock& clock;
    RandomSource& random;
    RecordReader& reader;
    ProofQuestions& questions;
    ProofAnswers& answers;
    /** Called with each proof that this node gets. */
    std::function<void(const LeadershipProof&)> onProof;
};

/**
 * The proofs of one node. A proof is the list of all promotion records as the store held them at a
 * moment. Reads at primaries need a proof that is younger than the lease, so each node needs two
 * per second. Each proof is read once and passed on, so the load of the store does not depend on
 * the number of nodes.
 *
 * Invariant: the time of a proof is never later than its moment. A node that sends a request at T
 * and receives a proof of age A dates the proof T - A: the response was written after T, and the
 * proof is A older than the response. So delays, lost responses and stalled nodes make proofs
 * appear older, never younger.
 *
 * A proof that is older than a record which the requesting node knows would not help it; it is
 * therefore read from the store again.
 */
class ProofExchange final : public ProofEvents {
public:
    /** @param readers the nodes to ask; outlives the exchange. */
    ProofExchange(ProofDependencies dependencies, const ReaderTree& readers);
    ~ProofExchange() override;

    /** This node learned of a promotion record of this version, or can no longer learn of one of an
     * earlier era. */
    void noteRecord(const StoreVersion& version);

    /** Reads of this node are queued until there is a proof. */
    void want() { _wanted = true; }

    void onProofAsked(const ProofAsker& asker) override;
    void onProofAnswer(std::uint64_t question, const std::optional<HandedProof>& proof) override;

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** @return whether the last attempt brought no proof: neither another node nor the store gave
     * one. */
    bool hasFailed() const { return _failed; }

private:
    /** A request to another node that has not been answered. */
    struct Question {
        std::uint64_t number = 0;
        NodeName node;
        TimePoint askedAt{};
    };

    struct WaitingAsker {
        ProofAsker asker;
        TimePoint askedAt{};
    };

    bool isNeeded() const { return _wanted || !_askers.empty(); }
    Duration responseTimeout() const;
    bool isGoodFor(const ProofAsker& asker, TimePoint now) const;
    ProofNeed ownNeed() const;
    void answer(const ProofAsker& asker, TimePoint now);
    void handOut(TimePoint now);
    void handOutToEarlier(TimePoint now);
    std::optional<NodeName> chooseSource(TimePoint now) const;
    void ask(const NodeName& node, TimePoint now);
    void readStore(TimePoint now);
    void onRead(const std::optional<ListedRecords>& records, TimePoint askedAt);
    void accept(const LeadershipProof& proof, TimePoint now);
    void fail(TimePoint now);

    ProofDependencies _dependencies;
    const ReaderTree& _readers;
    SourceChoice _choice;
    std::shared_ptr<bool> _alive;
    std::optional<LeadershipProof> _newest;
    StoreVersion _newestKnown;
    bool _wanted = false;
    bool _failed = false;
    std::vector<WaitingAsker> _askers;
    std::optional<Question> _question;
    std::uint64_t _lastQuestion = 0;
    /** How long the last proof took, whoever gave it: other nodes need as long for theirs. */
    Duration _lastTook{0};
    bool _reading = false;
    TimePoint _nextAttempt{};
    TimePoint _nextRead{};
    Duration _readPause{0};
};

}  // namespace coralhoist::pooling
