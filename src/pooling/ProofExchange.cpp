#include "pooling/ProofExchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/Backoff.h"

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

/** Maximum age of a proof that this node can use: the rest of the lease (500 ms) remains for the
 * reads that rely on the proof. */
constexpr Duration kUsableAge = milliseconds(300);
/** A node that requests a proof for others requires one that is younger by this factor. */
constexpr int kAgePerLevel = 2;
/**
 * Bounds of the timeout for a response of another node, after which the node is passed over. The
 * shortest timeout is twenty times a usual response time, and less than a third of the shortest
 * latency objective in use (120 ms). The timeout grows to twice the time that the last proof took,
 * because a slow store makes all nodes slow.
 */
constexpr Duration kShortestTimeout = milliseconds(40);
constexpr Duration kLongestTimeout = milliseconds(500);
constexpr int kTimesTheLast = 2;
/** Pause after a proof or a failure; without it, reads that a proof did not help would cause
 * requests without end. */
constexpr Duration kAttemptPause = milliseconds(50);
/** Pause after a call that the store did not answer; it doubles each time, with jitter. */
constexpr Duration kFirstReadPause = milliseconds(60);
constexpr Duration kLongestReadPause = milliseconds(1000);

}  // namespace

ProofExchange::ProofExchange(ProofDependencies dependencies, const ReaderTree& readers)
    : _dependencies(std::move(dependencies)),
      _readers(readers),
      _choice(_dependencies.random),
      _alive(std::make_shared<bool>(true)) {}

ProofExchange::~ProofExchange() = default;

void ProofExchange::noteRecord(const StoreVersion& version) {
    if (version > _newestKnown) {
        _newestKnown = version;
        // A proof that includes the new version is requested without the remaining pause, because
        // it may show that the promotion has ended.
        _nextAttempt = std::min(_nextAttempt, _dependencies.clock.now());
    }
}

void ProofExchange::onProofAsked(const ProofAsker& asker) {
    _askers.push_back({asker, _dependencies.clock.now()});
    const bool outdated =
        !_newest || newestOf(_newest->recordVersions, _newest->era) < asker.need.newestVersion;
    if (outdated && !_failed) {
        _nextAttempt = std::min(_nextAttempt, _dependencies.clock.now());
    }
}

Duration ProofExchange::responseTimeout() const {
    return std::clamp(_lastTook * kTimesTheLast, kShortestTimeout, kLongestTimeout);
}

bool ProofExchange::isGoodFor(const ProofAsker& asker, TimePoint now) const {
    return _newest && now - _newest->provenAt <= asker.need.maximumAge &&
           newestOf(_newest->recordVersions, _newest->era) >= asker.need.newestVersion;
}

/** @return the requirements of a proof that helps this node and all nodes that wait for a proof
 * from it. */
ProofNeed ProofExchange::ownNeed() const {
    ProofNeed need{_newestKnown, kUsableAge};
    for (const WaitingAsker& waiting : _askers) {
        const ProofNeed& other = waiting.asker.need;
        need.newestVersion = std::max(need.newestVersion, other.newestVersion);
        need.maximumAge = std::min(need.maximumAge, other.maximumAge / kAgePerLevel);
    }
    return need;
}

void ProofExchange::answer(const ProofAsker& asker, TimePoint now) {
    _dependencies.answers.answerProof(
        asker.id, HandedProof{now - _newest->provenAt, _newest->recordVersions, _newest->era});
}

void ProofExchange::handOut(TimePoint now) {
    std::erase_if(_askers, [this, now](const WaitingAsker& waiting) {
        const bool good = isGoodFor(waiting.asker, now);
        if (good) {
            answer(waiting.asker, now);
        }
        return good;
    });
}

/** Sends the proof to nodes that asked before the moment of the proof, whatever maximum age they
 * require: no other proof could serve them better. Nodes that know a newer record continue to wait.
 */
void ProofExchange::handOutToEarlier(TimePoint now) {
    std::erase_if(_askers, [this, now](const WaitingAsker& waiting) {
        const bool helps =
            waiting.askedAt <= _newest->provenAt &&
            newestOf(_newest->recordVersions, _newest->era) >= waiting.asker.need.newestVersion;
        if (helps) {
            answer(waiting.asker, now);
        }
        return helps;
    });
}

void ProofExchange::onTick(TimePoint now) {
    handOut(now);
    if (!isNeeded() || _reading) {
        return;
    }
    if (_question) {
        if (now < _question->askedAt + responseTimeout()) {
            return;
        }
        _choice.passOver(_question->node, now);
        _question.reset();
    } else if (now < _nextAttempt) {
        return;
    } else if (const std::optional<NodeName> source = chooseSource(now)) {
        ask(*source, now);
        return;
    }
    readStore(now);
}

std::optional<TimePoint> ProofExchange::nextTick() const {
    if (!isNeeded() || _reading) {
        return std::nullopt;
    }
    const TimePoint now = _dependencies.clock.now();
    const bool handsOut = std::any_of(
        _askers.begin(), _askers.end(),
        [this, now](const WaitingAsker& waiting) { return isGoodFor(waiting.asker, now); });
    if (handsOut) {
        return TimePoint::min();
    }
    return _question ? _question->askedAt + responseTimeout() : _nextAttempt;
}

std::optional<NodeName> ProofExchange::chooseSource(TimePoint now) const {
    return _choice.choose(
        _readers.candidates(),
        [this](const NodeName& node) { return _dependencies.questions.canReach(node); }, now);
}

void ProofExchange::ask(const NodeName& node, TimePoint now) {
    _question = Question{++_lastQuestion, node, now};
    _dependencies.questions.askForProof(node, _question->number, ownNeed());
}

void ProofExchange::onProofAnswer(std::uint64_t question, const std::optional<HandedProof>& proof) {
    if (!_question || _question->number != question) {
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    const Question answered = *_question;
    _question.reset();
    if (!proof) {
        _choice.passOver(answered.node, now);
        readStore(now);
        return;
    }
    _choice.noteSuccess(answered.node);
    _lastTook = now - answered.askedAt;
    accept({answered.askedAt - proof->age, proof->recordVersions, proof->era}, now);
}

void ProofExchange::readStore(TimePoint now) {
    if (now < _nextRead) {
        fail(now);
        return;
    }
    _reading = true;
    _dependencies.reader.readRecords([this, alive = std::weak_ptr<bool>(_alive),
                                      now](const std::optional<ListedRecords>& records) {
        if (!alive.expired()) {
            onRead(records, now);
        }
    });
}

void ProofExchange::onRead(const std::optional<ListedRecords>& records, TimePoint askedAt) {
    const TimePoint now = _dependencies.clock.now();
    _reading = false;
    if (!records) {
        _readPause = nextBackoff(_readPause, kFirstReadPause, kLongestReadPause);
        _nextRead = now + withJitter(_readPause, _dependencies.random);
        fail(now);
        return;
    }
    _readPause = Duration(0);
    _lastTook = now - askedAt;
    accept({askedAt, records->versions, records->era}, now);
}

void ProofExchange::accept(const LeadershipProof& proof, TimePoint now) {
    _failed = false;
    _wanted = false;
    _nextAttempt = now + kAttemptPause;
    if (!_newest || proof.provenAt > _newest->provenAt) {
        _newest = proof;
    }
    handOut(now);
    handOutToEarlier(now);
    // Reads that the proof does not help may call want() from within this callback.
    _dependencies.onProof(proof);
}

/** Waiting nodes receive the failure at once, so that they can turn to other nodes or to the
 * servers. */
void ProofExchange::fail(TimePoint now) {
    _failed = true;
    _nextAttempt = std::max(_nextAttempt, now + kAttemptPause);
    for (const WaitingAsker& waiting : std::exchange(_askers, {})) {
        _dependencies.answers.answerProof(waiting.asker.id, std::nullopt);
    }
}

}  // namespace coralhoist::pooling
