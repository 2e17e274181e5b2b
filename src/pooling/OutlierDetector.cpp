#include "pooling/OutlierDetector.h"

#include <algorithm>

#include "base/Backoff.h"

namespace coralhoist::pooling {
namespace {

/** Length of one part of the window. All parts together are one second: long enough for a few reads
 * of a little-used server, and no longer than the time that callers of a failing server wait until
 * their timeout. */
constexpr Duration kPartLength = std::chrono::milliseconds(250);
/** Minimum numbers of requests and of failures for which a server is evaluated. Smaller numbers may
 * be chance: under overload some reads time out at every server. */
constexpr std::uint32_t kLeastRequests = 8;
constexpr std::uint32_t kLeastFailures = 5;
/** One failure in this many requests makes a server an outlier. */
constexpr std::uint32_t kFailuresOneIn = 3;
/** Ratio of its requests' times to those of the other servers that makes a server an outlier. */
constexpr double kOutlierSlowness = 3;
/** Duration of the first ejection; it doubles with each ejection in a row up to the upper bound. A
 * failed probation costs two reads their timeout, whereas leaving a third of the servers unused
 * costs a burst of statements their capacity. */
constexpr Duration kShortestEjection = std::chrono::milliseconds(500);
constexpr Duration kLongestEjection = std::chrono::seconds(2);
/** Number of successes in a row after which a server on probation is admitted, and number of
 * failures after which it is ejected again: a single failure may be chance. */
constexpr std::uint32_t kSuccessesToAdmit = 5;
constexpr std::uint32_t kFailuresToEject = 2;
/** After this time without an ejection, the next ejection counts as the first again. */
constexpr Duration kEjectionsForgottenAfter = std::chrono::seconds(10);

std::int64_t partAt(TimePoint now) {
    return now.time_since_epoch() / kPartLength;
}

}  // namespace

void OutlierDetector::onSuccess(const ServerName& server, std::optional<double> slowness,
                                TimePoint now) {
    Record& record = _records[server];
    Tally& tally = tallyAt(record, now);
    ++tally.successes;
    if (slowness) {
        ++tally.timed;
        tally.slowness += *slowness;
    }
    record.successesInRow = slowness.value_or(0) < kOutlierSlowness ? record.successesInRow + 1 : 0;
}

void OutlierDetector::onFailure(const ServerName& server, TimePoint now) {
    Record& record = _records[server];
    ++tallyAt(record, now).failures;
    record.successesInRow = 0;
    ++record.probationFailures;
}

std::vector<StandingChange> OutlierDetector::review(const std::vector<ServerName>& serving,
                                                    TimePoint now) {
    std::vector<StandingChange> changes;
    auto outside = static_cast<std::size_t>(
        std::count_if(serving.begin(), serving.end(), [this](const ServerName& server) {
            return standingOf(server) != ServerStanding::Admitted;
        }));
    for (const ServerName& server : serving) {
        const auto found = _records.find(server);
        if (found == _records.end()) {
            continue;
        }
        Record& record = found->second;
        const ServerStanding before = record.standing;
        if (before != ServerStanding::Admitted) {
            step(record, now);
        } else if ((outside + 1) * 2 <= serving.size()) {
            const ServerStanding evaluated = evaluate(server, serving, now);
            if (evaluated != ServerStanding::Admitted) {
                ++outside;
                eject(record, evaluated, now);
            }
        }
        if (record.standing != before) {
            changes.push_back(changeOf(server, record, now));
            record.tallies = {};
        }
    }
    return changes;
}

/** Advances a server that is not admitted: from ejection to probation, and from probation to
 * admission or to another ejection. */
void OutlierDetector::step(Record& record, TimePoint now) {
    if (record.standing != ServerStanding::OnProbation) {
        if (now >= record.probationAt) {
            record.standing = ServerStanding::OnProbation;
            record.successesInRow = 0;
            record.probationFailures = 0;
        }
        return;
    }
    if (record.probationFailures >= kFailuresToEject) {
        eject(record, ServerStanding::Ejected, now);
    } else if (record.successesInRow >= kSuccessesToAdmit) {
        record.standing = ServerStanding::Admitted;
        record.admittedAt = now;
    }
}

ServerStanding OutlierDetector::standingOf(const ServerName& server) const {
    const auto found = _records.find(server);
    return found == _records.end() ? ServerStanding::Admitted : found->second.standing;
}

bool OutlierDetector::admitsAll() const {
    return std::all_of(_records.begin(), _records.end(), [](const auto& entry) {
        return entry.second.standing == ServerStanding::Admitted;
    });
}

OutlierDetector::Tally& OutlierDetector::tallyAt(Record& record, TimePoint now) {
    const std::int64_t part = partAt(now);
    Tally& tally = record.tallies[static_cast<std::size_t>(part) % kParts];
    if (tally.part != part) {
        tally = Tally{};
        tally.part = part;
    }
    return tally;
}

OutlierDetector::Evidence OutlierDetector::evidenceOf(const Record& record, TimePoint now) {
    Evidence evidence;
    double slowness = 0;
    const std::int64_t oldest = partAt(now) - static_cast<std::int64_t>(kParts);
    for (const Tally& tally : record.tallies) {
        if (tally.part > oldest) {
            evidence.successes += tally.successes;
            evidence.failures += tally.failures;
            evidence.timed += tally.timed;
            slowness += tally.slowness;
        }
    }
    if (evidence.timed > 0) {
        evidence.slowness = slowness / evidence.timed;
    }
    return evidence;
}

ServerStanding OutlierDetector::evaluate(const ServerName& server,
                                         const std::vector<ServerName>& serving,
                                         TimePoint now) const {
    const Evidence evidence = evidenceOf(_records.at(server), now);
    if (evidence.requests() < kLeastRequests) {
        return ServerStanding::Admitted;
    }
    const std::vector<Evidence> others = othersEvidence(server, serving, now);
    if (failsMore(evidence, others)) {
        return ServerStanding::Ejected;
    }
    return isSlower(evidence, others) ? ServerStanding::Slow : ServerStanding::Admitted;
}

std::vector<OutlierDetector::Evidence> OutlierDetector::othersEvidence(
    const ServerName& server, const std::vector<ServerName>& serving, TimePoint now) const {
    std::vector<Evidence> others;
    for (const ServerName& other : serving) {
        const auto found = _records.find(other);
        if (other == server || found == _records.end()) {
            continue;
        }
        const Evidence evidence = evidenceOf(found->second, now);
        if (evidence.requests() >= kLeastRequests) {
            others.push_back(evidence);
        }
    }
    return others;
}

bool OutlierDetector::failsMore(const Evidence& evidence, const std::vector<Evidence>& others) {
    if (evidence.failures < kLeastFailures ||
        evidence.failures * kFailuresOneIn < evidence.requests()) {
        return false;
    }
    return std::none_of(others.begin(), others.end(), [](const Evidence& other) {
        return other.failures * kFailuresOneIn >= other.requests();
    });
}

/** Compares with the median of the other servers. */
bool OutlierDetector::isSlower(const Evidence& evidence, const std::vector<Evidence>& others) {
    std::vector<double> times;
    for (const Evidence& other : others) {
        if (other.timed >= kLeastRequests) {
            times.push_back(other.slowness);
        }
    }
    if (times.empty() || evidence.timed < kLeastRequests) {
        return false;
    }
    std::sort(times.begin(), times.end());
    return evidence.slowness >= times[times.size() / 2] * kOutlierSlowness;
}

void OutlierDetector::eject(Record& record, ServerStanding standing, TimePoint now) {
    const bool forgiven = record.standing == ServerStanding::Admitted &&
                          now - record.admittedAt > kEjectionsForgottenAfter;
    record.ejectedFor = forgiven
                            ? kShortestEjection
                            : nextBackoff(record.ejectedFor, kShortestEjection, kLongestEjection);
    record.standing = standing;
    record.probationAt = now + record.ejectedFor;
}

StandingChange OutlierDetector::changeOf(const ServerName& server, const Record& record,
                                         TimePoint now) {
    const Evidence evidence = evidenceOf(record, now);
    StandingChange change;
    change.server = server;
    change.standing = record.standing;
    change.requests = evidence.requests();
    change.failures = evidence.failures;
    change.slowness = evidence.slowness;
    change.ejectedFor = record.ejectedFor;
    return change;
}

}  // namespace coralhoist::pooling
