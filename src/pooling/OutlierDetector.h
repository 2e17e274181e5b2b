/** Which of a group's servers fail, lose or delay what is sent to them. */
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

/** A server's standing has changed. */
struct StandingChange {
    ServerName server;
    ServerStanding standing = ServerStanding::Admitted;
    /** Requests that were taken for evidence, and those of them that failed or were lost. */
    std::uint32_t requests = 0;
    std::uint32_t failures = 0;
    /** Mean time of its reads over that of the same reads in the group. */
    double slowness = 1;
    /** Until it is on probation, when ejected. */
    Duration ejectedFor{0};
};

/**
 * Judges the servers of one group by what became of requests in a sliding window.
 *
 * Answers the load of servers that are slow, grey or hang behind a good answer to a health check:
 * requests alone show them. A third of requests lost is the bound, since a read that is lost comes
 * late by its whole patience, several times what a queue at the other servers costs it; below that
 * the queue costs more. The same holds for times: three times the others' is past the objective of
 * a statement that meets it at the others with a usual margin.
 *
 * What fails at the other servers as well is the callers' own, and ejects none. At most half of the
 * servers are ejected at once: the rest must be able to run what comes. The times of ejection
 * double, since a server that flaps loses reads at each probation.
 */
class OutlierDetector {
public:
    /**
     * A request there succeeded.
     * @param slowness its time over the group's for its kind; none where no other server runs such.
     */
    void onSuccess(const ServerName& server, std::optional<double> slowness, TimePoint now);

    /** A request there failed or was lost. */
    void onFailure(const ServerName& server, TimePoint now);

    /** The server began a new life: nothing is known of it. */
    void forget(const ServerName& server) { _records.erase(server); }

    /** Ejects, puts on probation and admits. @param serving servers that may run reads. */
    std::vector<StandingChange> review(const std::vector<ServerName>& serving, TimePoint now);

    ServerStanding standingOf(const ServerName& server) const;

    /** @return whether no server is ejected or on probation. */
    bool admitsAll() const;

private:
    /** What became of requests in a part of the window. */
    struct Tally {
        std::int64_t part = -1;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        /** Successes with a time, and the sum of their slowness. */
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
    ServerStanding judge(const ServerName& server, const std::vector<ServerName>& serving,
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
