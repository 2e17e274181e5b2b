#include "lab/soak/SoakPlan.h"

#include <array>

#include "base/SystemTime.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kShortestGapMs = 200;
constexpr std::uint64_t kGapSpreadMs = 900;
constexpr std::uint64_t kShortestSeriesGapMs = 5;
constexpr std::uint64_t kSeriesGapSpreadMs = 120;
/** One of so many faults follows the one before it in quick succession. */
constexpr std::uint64_t kSeriesEvery = 3;
constexpr std::uint64_t kShortestFaultMs = 200;
constexpr std::uint64_t kFaultSpreadMs = 3500;
constexpr auto kKinds = static_cast<std::uint64_t>(SoakFault::Count);

milliseconds drawGap(RandomSource& random) {
    const bool series = random.below(kSeriesEvery) == 0;
    const std::uint64_t seriesGap = kShortestSeriesGapMs + random.below(kSeriesGapSpreadMs);
    const std::uint64_t gap = kShortestGapMs + random.below(kGapSpreadMs);
    return milliseconds(series ? seriesGap : gap);
}

}  // namespace

const char* describe(SoakFault fault) {
    constexpr std::array<const char*, kKinds> kNames = {"proxy killed",
                                                        "proxy paused",
                                                        "proxy stopped",
                                                        "proxy signals",
                                                        "settings changed",
                                                        "server link delayed",
                                                        "server link reset",
                                                        "server link silent",
                                                        "server link one way",
                                                        "server cut from some proxies",
                                                        "store link silent",
                                                        "store link reset",
                                                        "peer link silent",
                                                        "peer link reset",
                                                        "peer link delayed",
                                                        "store refuses",
                                                        "store silent",
                                                        "store answers lost",
                                                        "store writes late",
                                                        "store forgets",
                                                        "entry lapses",
                                                        "entry lapses, store down",
                                                        "promotion slow",
                                                        "promotion answer lost",
                                                        "promotion late",
                                                        "primary crashes",
                                                        "replica crashes",
                                                        "primary isolated",
                                                        "primary cut from servers and some proxies",
                                                        "servers cut",
                                                        "replica deaf",
                                                        "replica lags",
                                                        "server crowded",
                                                        "all servers crowded",
                                                        "orders slow",
                                                        "connections limited",
                                                        "configuration changes",
                                                        "primary fails, the replica ahead is slow",
                                                        "old primary returns"};
    return kNames.at(static_cast<std::size_t>(fault));
}

std::vector<PlannedFault> drawPlan(std::uint64_t seed, Duration length) {
    SeededRandom random(seed);
    std::vector<PlannedFault> plan;
    for (Duration at{0}; at < length; at += drawGap(random)) {
        PlannedFault planned;
        planned.at = at;
        planned.fault = static_cast<SoakFault>(random.below(kKinds));
        planned.lasts = milliseconds(kShortestFaultMs + random.below(kFaultSpreadMs));
        planned.target = random.next();
        planned.variant = random.next();
        planned.size = random.next();
        plan.push_back(planned);
    }
    return plan;
}

}  // namespace coralhoist::soak
