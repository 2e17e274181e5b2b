/** What callers saw, and whether it keeps the promises. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::history {

/** Number of one write of the workload; a write appends its number to the data. */
using WriteNumber = std::uint64_t;

/** How one attempt of a write ended for its caller. */
enum class AttemptOutcome {
    Acknowledged,
    NotRun, /**< Refused as not run, or rolled back. */
    Unknown,
};

/** A read as its caller saw it. */
struct ReadObservation {
    SessionId session;
    TimePoint submittedAt;
    /** Staleness that the caller accepts. */
    Duration staleness{0};
    /** Only the session's own writes are promised: a token took the place of the sample. */
    bool onlyOwnWrites = false;
    std::vector<WriteNumber> result;
    /** The read asks for the writes of this session only; absent: for all. */
    std::optional<SessionId> writtenBy = std::nullopt;
};

/** What a request carries and its answer must repeat. */
struct RequestTag {
    SessionId session;
    std::uint64_t request = 0;
    bool operator==(const RequestTag&) const = default;
};

/**
 * Collects the outcomes of a run and judges them.
 *
 * A read is judged by the acknowledgements known so far. Where sessions run in threads, the reads
 * are therefore given after all writes.
 */
class History {
public:
    /** A write is about to be submitted for the first time. */
    void onSubmitted(WriteNumber write, SessionId session);
    /** The writes belong to one transaction of one session: all of them show, or none. */
    void onTransaction(const std::vector<WriteNumber>& writes) { _transactions.push_back(writes); }
    void onAttemptEnded(WriteNumber write, AttemptOutcome outcome, TimePoint now);
    /** Checks that the read shows what it must, nothing twice and no part of a transaction. */
    void onRead(const ReadObservation& read);
    /** Checks that an answer belongs to the request that its caller waits for. */
    void onAnswer(const RequestTag& asked, const RequestTag& answered);
    /** An answer had the wrong content, came twice or never. */
    void onWrongAnswer(const std::string& what) { _violations.push_back(what); }

    /** @param final all writes of the newest primary after everything has settled. */
    void checkFinal(const std::vector<WriteNumber>& final);

    const std::vector<std::string>& violations() const { return _violations; }
    std::size_t acknowledgedWrites() const;
    std::size_t unknownWrites() const;
    /** @return writes of which every attempt ended as not run. */
    std::size_t refusedWrites() const;
    std::size_t reads() const { return _reads; }

private:
    struct Write {
        SessionId session;
        std::optional<TimePoint> acknowledgedAt;
        bool unknown = false;
        bool ended = false;
        bool isRefused() const { return ended && !unknown && !acknowledgedAt; }
    };
    bool isDue(const Write& write, const ReadObservation& read) const;
    void checkWrite(WriteNumber number, const Write& write, std::size_t count);
    void checkTransactions(const std::set<WriteNumber>& shown);

    std::map<WriteNumber, Write> _writes;
    std::vector<std::vector<WriteNumber>> _transactions;
    std::set<WriteNumber> _seen;
    std::vector<std::string> _violations;
    std::size_t _reads = 0;
};

}  // namespace coralhoist::history
