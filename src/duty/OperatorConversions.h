/** Conversions from the node's types to those of the operator protocol. */
#pragma once

#include "contract/ExecutorStatistics.h"
#include "gen/operator_types.h"
#include "link/platform/PlatformClient.h"
#include "zone/Member.h"

namespace coralhoist::duty {

gen::MemberStatus toMemberStatus(const zone::Member& member);
gen::ServerStatusEntry toServerStatus(const contract::ServerReport& report, const ZoneName& zone);

/** @return what the operator is told about an edit that the platform was asked for. */
gen::SettingsEditResponse toEditResponse(const platform::EditOutcome& outcome);

}  // namespace coralhoist::duty
