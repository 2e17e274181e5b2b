/** What the executors of one group tell each other while the group is crowded. */
#pragma once

#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** What one executor has to do for a group at the moment of sending. Soft state: it ages. */
struct LoadReport {
    /** The executor that tells it. */
    NodeName sender;
    GroupName group;
    /** Time of servers' slots that its waiting and running statements need, by rank from 0 on. */
    std::vector<Duration> demandByRank;
    /** The sender has a queue, or was refused, for want of room; otherwise it only
     * tells because another one does. */
    bool crowded = false;

    bool operator==(const LoadReport&) const = default;
};

/** Tells other nodes. Nothing is answered, and a report may be lost. */
class LoadReporter {
public:
    virtual ~LoadReporter() = default;

    virtual void tellLoad(const NodeName& node, const LoadReport& report) = 0;
};

/** Receives what other nodes tell. */
class LoadReportEvents {
public:
    virtual ~LoadReportEvents() = default;

    virtual void onLoadReport(const LoadReport& report) = 0;
};

}  // namespace coralhoist::pooling
