/**
 * Proves from the servers' own responses that a primary still leads, for times when the store
 * cannot prove it.
 */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "failover/MemberLink.h"
#include "pooling/LeadershipTracker.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::failover {

/**
 * The probe of one group. The proof: the primary responds that it leads, and every other listed
 * server responds that it receives in the same term and is under no order to stop, or does not run;
 * all requests were sent after the same moment. Before a promoting node announces a successor, it
 * makes the primary step down or makes every replica stop, and the successor stays stopped until it
 * leads, so no promotion was under way at that moment. One replica that receives would prove less:
 * a replica that restarts has forgotten the order.
 */
class LeadershipProbe {
public:
    /** References must outlive the probe. */
    LeadershipProbe(const Clock& clock, pooling::ServerConnector& connector,
                    const ReportParser& parser);
    ~LeadershipProbe();

    /** Queries all listed servers of the group, unless they were queried less than 120 ms ago. */
    void ask(const pooling::ServerDirectory::Servers& servers, TimePoint now);

    /**
     * Opens connections and closes those that time out; closes all when no query was made for 2 s.
     */
    void onTick(TimePoint now);

    /** @return when onTick must be called next; nothing while no connection is held. */
    std::optional<TimePoint> nextTick() const;

    /** @return the latest moment at which the primary's leadership is proven, if any. */
    std::optional<TimePoint> provenAt(const pooling::Primary& primary) const;

    /**
     * @return the latest moment at which some replica was under the order not to receive from the
     * primary while the primary led, or at which the primary did not lead: a promotion that has
     * begun and not ended. Nothing if no such response is known.
     */
    std::optional<TimePoint> pausedAt(const pooling::Primary& primary) const;

private:
    std::optional<TimePoint> deniedAt(const pooling::Primary& primary) const;
    const MemberResponse* leaderResponse(const pooling::Primary& primary) const;

    const Clock& _clock;
    pooling::ServerConnector& _connector;
    const ReportParser& _parser;
    std::map<ServerName, std::unique_ptr<MemberLink>> _links;
    TimePoint _queriedAt{};
    TimePoint _nextTick{};
};

}  // namespace coralhoist::failover
