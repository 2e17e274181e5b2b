/** Thrift structs of what executors tell each other of their load. */
#pragma once

#include <optional>

#include "gen/unit_types.h"
#include "pooling/LoadReport.h"

namespace coralhoist::forwarding {

gen::GroupLoadReport writeLoadReport(const pooling::LoadReport& report);

/** @return nothing when a time is below 0 or above an hour, or there are more ranks than exist. */
std::optional<pooling::LoadReport> readLoadReport(const gen::GroupLoadReport& record);

}  // namespace coralhoist::forwarding
