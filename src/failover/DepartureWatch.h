/** Bounds the commits that servers which have left may have held. */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"
#include "failover/MemberLink.h"
#include "failover/PromotionRecord.h"
#include "pooling/ServerLink.h"

namespace coralhoist::failover {

/** A server that is leaving its group or that no list names any more. */
struct DepartingServer {
    ServerName name;
    /** Nothing when no list of this node has named the server. */
    std::optional<pooling::ServerAddress> address;
    /** Since when no list has named the server; nothing while one still does. */
    std::optional<TimePoint> unlistedSince;
};

/** The server that leads its group, and the lowest term in which it does. */
struct GroupLeader {
    pooling::ServerAddress address;
    Term term = 0;
};

/**
 * The watch of one group on one node. A server helps to acknowledge commits until it ends, so the
 * position that the leader reports after that end is at or above all of these commits. The watch
 * waits for the end and then queries the leader.
 *
 * A server has ended when it has refused connections for kDownTime, or when no list has named it
 * for kGoneAfter and it has not responded for kGoneSilence. One that responds again has not ended,
 * and what was found is void.
 */
class DepartureWatch {
public:
    /** References must outlive the watch. */
    DepartureWatch(const Clock& clock, pooling::ServerConnector& connector,
                   const ReportParser& parser);
    ~DepartureWatch();

    /** Sets whom to watch; forgets all others. Another leader or term voids what was found. */
    void watch(const std::vector<DepartingServer>& servers, const GroupLeader& leader);

    /** Closes all connections and forgets what was found. */
    void stop();

    void onTick(TimePoint now);

    /** @return the leader's position by which the server's commits are bounded, once known. */
    std::optional<OpTime> boundOf(const ServerName& server) const;

private:
    struct Departure {
        std::optional<TimePoint> unlistedSince;
        /** Null when the server's address is unknown. */
        std::unique_ptr<MemberLink> link;
        /** Since when the server is known to have ended. */
        std::optional<TimePoint> endedAt;
        std::optional<OpTime> bound;
    };

    static bool hasEnded(const Departure& departure, TimePoint now);
    void queryLeader();
    void takeLeaderReport();

    const Clock& _clock;
    pooling::ServerConnector& _connector;
    const ReportParser& _parser;
    std::map<ServerName, Departure> _departures;
    std::optional<GroupLeader> _leader;
    std::unique_ptr<MemberLink> _leaderLink;
    TimePoint _nextQuery{};
};

}  // namespace coralhoist::failover
