/** Proves that a primary still leads by asking the servers themselves, when the store can't tell.
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
 * The probe of one group. The proof: the primary says that it leads, and a replica says that it
 * receives in the same term and has not been told to stop; both were asked after the same moment. A
 * promoter makes the primary step down or makes every replica stop before it announces a successor,
 * so it had not done so at that moment.
 */
class LeadershipProbe {
public:
    /** References outlive the probe. */
    LeadershipProbe(const Clock& clock, pooling::ServerConnector& connector,
                    const ReportParser& parser);
    ~LeadershipProbe();

    /** Asks all listed servers of the group, unless they were asked a moment ago. */
    void ask(const pooling::ServerDirectory::Servers& servers, TimePoint now);

    /** Opens and gives up connections; closes them when nobody has asked for a while. */
    void onTick(TimePoint now);

    /** @return when onTick must be called next; nothing while no connection is held. */
    std::optional<TimePoint> nextTick() const;

    /** @return the moment at which the primary's leadership is proven to have held, if any. */
    std::optional<TimePoint> provenAt(const pooling::Primary& primary) const;

    /**
     * @return the moment at which some replica was still told not to receive from the primary,
     * which led: a promotion that has begun and not ended. Nothing when no such answer is known.
     */
    std::optional<TimePoint> pausedAt(const pooling::Primary& primary) const;

private:
    const MemberAnswer* leadershipClaim(const pooling::Primary& primary) const;

    const Clock& _clock;
    pooling::ServerConnector& _connector;
    const ReportParser& _parser;
    std::map<ServerName, std::unique_ptr<MemberLink>> _links;
    TimePoint _askedAt{};
    TimePoint _nextTick{};
};

}  // namespace coralhoist::failover
