/** Load reports that the executors of a group exchange while the group is overloaded. */
#pragma once

#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/**
 * The demand of one executor for a group at the time of sending. Soft state: a report loses its
 * value with age.
 */
struct LoadReport {
    /** The executor that sends the report. */
    NodeName sender;
    GroupName group;
    /**
     * Slot time on servers that the sender's queued and running statements need, by rank from 0 on.
     */
    std::vector<Duration> demandByRank;
    /**
     * The sender has a queue, or was refused, for lack of capacity; otherwise it reports only
     * because another executor does.
     */
    bool crowded = false;

    bool operator==(const LoadReport&) const = default;
};

/** Sends load reports to other nodes. Reports are not acknowledged and may be lost. */
class LoadReporter {
public:
    virtual ~LoadReporter() = default;

    virtual void sendLoadReport(const NodeName& node, const LoadReport& report) = 0;
};

/** Receives the load reports of other nodes. */
class LoadReportEvents {
public:
    virtual ~LoadReportEvents() = default;

    virtual void onLoadReport(const LoadReport& report) = 0;
};

}  // namespace coralhoist::pooling
