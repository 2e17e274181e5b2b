#include "link/forwarding/LoadReportCodec.h"

#include <chrono>

#include "settings/EffectiveSettings.h"

namespace coralhoist::forwarding {

using std::chrono::microseconds;

namespace {

/** More than any queue needs; sums of what executors tell stay far from an overflow. */
constexpr microseconds kMostDemand = std::chrono::hours(1);

}  // namespace

gen::GroupLoadReport writeLoadReport(const pooling::LoadReport& report) {
    gen::GroupLoadReport record;
    record.sender = report.sender.value();
    record.groupName = report.group.value();
    for (const Duration demand : report.demandByRank) {
        record.demandByRankUs.push_back(std::chrono::duration_cast<microseconds>(demand).count());
    }
    record.crowded = report.crowded;
    return record;
}

std::optional<pooling::LoadReport> readLoadReport(const gen::GroupLoadReport& record) {
    if (record.demandByRankUs.size() > settings::kAdmissionRanks) {
        return std::nullopt;
    }
    pooling::LoadReport report;
    report.sender = NodeName(record.sender);
    report.group = GroupName(record.groupName);
    for (const std::int64_t demand : record.demandByRankUs) {
        if (demand < 0 || demand > kMostDemand.count()) {
            return std::nullopt;
        }
        report.demandByRank.emplace_back(microseconds(demand));
    }
    report.crowded = record.crowded;
    return report;
}

}  // namespace coralhoist::forwarding
