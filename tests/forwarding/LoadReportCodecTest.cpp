#include <CppUTest/TestHarness.h>

#include "link/forwarding/LoadReportCodec.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::forwarding {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(LoadReportCodec) {
    pooling::LoadReport report{NodeName("n1"),
                               GroupName("ledger"),
                               {milliseconds(30), Duration(0), milliseconds(900)},
                               true};
};

TEST(LoadReportCodec, AReportArrivesAsItWasSent) {
    CHECK_TRUE(readLoadReport(writeLoadReport(report)) == report);
}

TEST(LoadReportCodec, ADemandBelowZeroIsRefused) {
    report.demandByRank = {-milliseconds(1)};
    CHECK_FALSE(readLoadReport(writeLoadReport(report)).has_value());
}

TEST(LoadReportCodec, MoreRanksThanExistAreRefused) {
    report.demandByRank.assign(settings::kAdmissionRanks + 1, Duration(0));
    CHECK_FALSE(readLoadReport(writeLoadReport(report)).has_value());
}

}  // namespace
}  // namespace coralhoist::forwarding
