/** Detects which of a group's servers fail, lose or delay requests. */
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "pooling/ServerChoice.h"

namespace coralhoist::pooling {

struct StandingChange {
    ServerName server;
    ServerStanding standing = ServerStanding::Admitted;
    /** Requests that were evaluated, and how many of them failed or were lost. */
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    /** Mean ratio of the time of its reads to the time of the same reads in the group. */
    double slowness = 1;
    /** Duration of the ejection, which ends with probation, when the server is ejected. */
    Duration ejectedFor{0};
};

/**
 * Evaluates the servers of one group by the outcomes of requests in a sliding window.
 *
 * Covers servers that are slow, fail partially or hang although their health check passes: only
 * requests reveal them. A server is ejected when a third of its requests fail or are lost: a lost
 * read is late by its whole timeout, which is several times the delay that longer queues at the
 * other servers would cause. When a smaller share is lost, these longer queues cost more than the
 * lost reads. The same holds for times: a statement that meets its objective at the other servers
 * with a usual margin misses it at a server that takes three times as long.
 *
 * Requests that fail at the other servers as well are attributed to the callers, and eject no
 * server. At most half of the servers are ejected at once: the rest must be able to run the load.
 * The ejection times double, because a flapping server loses reads at each probation.
 */
class OutlierDetector {
public:
    /**
     * A request at the server succeeded.
     * @param slowness ratio of its time to the group's time for its kind; nothing where no other
     * server runs this kind.
     */
    void onSuccess(const ServerName& server, std::optional<double> slowness, TimePoint now);

    /** A request at the server failed or was lost. */
    void onFailure(const ServerName& server, TimePoint now);

    /** A new incarnation of the server started: nothing is known about it. */
    void forget(const ServerName& server) { _records.erase(server); }

    /** Ejects servers, puts them on probation and admits them again. @param serving servers that
     * may run reads. */
    std::vector<StandingChange> review(const std::vector<ServerName>& serving, TimePoint now);

    ServerStanding standingOf(const ServerName& server) const;

    /** @return whether no server is slow, ejected or on probation. */
    bool admitsAll() const;

private:
    /** Outcomes of requests in a part of the window. */
    struct Tally {
        std::int64_t part = -1;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        /** Successes with a known time, and the sum of their slowness. */
        std::uint32_t timed = 0;
        double slowness = 0;
    };
    static constexpr std::size_t kParts = 4;
    struct Record {
        std::array<Tally, kParts> tallies;
        ServerStanding standing = ServerStanding::Admitted;
        TimePoint probationAt{};
        TimePoint admittedAt{};
        Duration ejectedFor{0};
        /** Successes in a row, and failures on probation. */
        std::uint32_t successesInRow = 0;
        std::uint32_t probationFailures = 0;
    };
    struct Evidence {
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        std::uint32_t timed = 0;
        double slowness = 1;
        std::uint32_t requests() const { return successes + failures; }
    };

    static Tally& tallyAt(Record& record, TimePoint now);
    static Evidence evidenceOf(const Record& record, TimePoint now);
    ServerStanding evaluate(const ServerName& server, const std::vector<ServerName>& serving,
                            TimePoint now) const;
    std::vector<Evidence> othersEvidence(const ServerName& server,
                                         const std::vector<ServerName>& serving,
                                         TimePoint now) const;
    static bool failsMore(const Evidence& evidence, const std::vector<Evidence>& others);
    static bool isSlower(const Evidence& evidence, const std::vector<Evidence>& others);
    static void step(Record& record, TimePoint now);
    static void eject(Record& record, ServerStanding standing, TimePoint now);
    static StandingChange changeOf(const ServerName& server, const Record& record, TimePoint now);

    std::map<ServerName, Record> _records;
};

}  // namespace coralhoist::pooling
