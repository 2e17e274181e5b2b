/** Names of the metrics of a group executor. */
#pragma once

#include <vector>

#include "base/Identifier.h"
#include "contract/ExecutorStatistics.h"
#include "duty/MetricsBoard.h"

namespace coralhoist::duty {

/**
 * @param statistics of one group's executor.
 * @return its samples, labelled with the group.
 */
std::vector<MetricSample> executorMetrics(const GroupName& group,
                                          const contract::ExecutorStatistics& statistics);

}  // namespace coralhoist::duty
