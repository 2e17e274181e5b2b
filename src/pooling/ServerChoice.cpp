#include "pooling/ServerChoice.h"

#include <algorithm>

namespace coralhoist::pooling {
namespace {

/** Cost added for a server that seems to have failed or is slow. The cost exceeds the time that
 * callers wait, so the server is chosen only when no other server has room. */
constexpr Duration kLastResortCost = std::chrono::seconds(1);

}  // namespace

const char* describe(ServerStanding standing) {
    switch (standing) {
        case ServerStanding::Admitted:
            return "admitted";
        case ServerStanding::Slow:
            return "slow";
        case ServerStanding::OnProbation:
            return "on_probation";
        case ServerStanding::Ejected:
            return "ejected";
    }
    return "unknown";
}

ServerChosen ServerChoice::choose(const std::vector<ServerCandidate>& candidates,
                                  Duration maximumWait) {
    ServerChosen chosen;
    const bool anyTrusted =
        std::any_of(candidates.begin(), candidates.end(), [=](const ServerCandidate& candidate) {
            return candidate.standing != ServerStanding::Ejected &&
                   mayServe(candidate, maximumWait);
        });
    Duration best{0};
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const ServerCandidate& candidate = candidates[index];
        const bool isLeftOut = anyTrusted && candidate.standing == ServerStanding::Ejected;
        if (isLeftOut || !mayServe(candidate, maximumWait)) {
            continue;
        }
        chosen.anyCandidate = true;
        const Duration completion = completionAt(candidate);
        if (candidate.hasRoom && (!chosen.index || completion < best)) {
            chosen.index = index;
            best = completion;
        }
    }
    if (chosen.index && candidates[*chosen.index].readyIn > Duration(0)) {
        chosen.replicaIn = candidates[*chosen.index].readyIn;
        chosen.index.reset();
    }
    return chosen;
}

bool ServerChoice::mayServe(const ServerCandidate& candidate, Duration maximumWait) {
    return candidate.readyIn <= maximumWait;
}

/** The observed time of the unit includes the wait in the server's queue when the time was
 * observed; the present utilization by units of this process is added to it. */
Duration ServerChoice::completionAt(const ServerCandidate& candidate) {
    const double utilization = candidate.inflight / std::max(1.0, candidate.concurrency);
    const auto unitTime = static_cast<double>(candidate.unitTime.count());
    const Duration running(
        static_cast<Duration::rep>(unitTime * (candidate.slowness + utilization)));
    const bool isLastResort = candidate.suspect || candidate.standing == ServerStanding::Slow;
    const Duration suspicion = isLastResort ? kLastResortCost : Duration(0);
    return candidate.readyIn + candidate.connecting + running + candidate.penalty + suspicion;
}

}  // namespace coralhoist::pooling
