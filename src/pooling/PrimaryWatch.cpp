#include "pooling/PrimaryWatch.h"

#include <algorithm>

namespace coralhoist::pooling {
namespace {

/** A write that is unanswered for this time indicates that the primary can't commit. */
constexpr Duration kWriteTimeout = std::chrono::milliseconds(700);
/** This many connections that break instead of responding, with no response for this time, indicate
 * that the primary serves nobody. Connections that are all reset at one moment break within a
 * shorter time. */
constexpr std::uint32_t kLostInRow = 5;
constexpr Duration kLossTimeout = std::chrono::milliseconds(500);

}  // namespace

const char* describe(SuspicionReason reason) {
    switch (reason) {
        case SuspicionReason::Silent:
            return "silent";
        case SuspicionReason::Unreachable:
            return "unreachable";
        case SuspicionReason::WritesUnanswered:
            return "writes_unanswered";
        case SuspicionReason::StatementsLost:
            return "statements_lost";
    }
    return "unknown";
}

std::optional<SuspicionReason> PrimaryWatch::review(const ServerState& primary,
                                                    Duration suspectAfter, TimePoint now) const {
    if (primary.unreachable && primary.idle.empty()) {
        return SuspicionReason::Unreachable;
    }
    if (leavesWritesUnanswered(primary, now)) {
        return SuspicionReason::WritesUnanswered;
    }
    if (primary.silentSince && now - *primary.silentSince > suspectAfter) {
        return SuspicionReason::Silent;
    }
    if (primary.consecutiveLosses >= kLostInRow && now - primary.firstLossAt > kLossTimeout) {
        return SuspicionReason::StatementsLost;
    }
    return std::nullopt;
}

/**
 * This check precedes the check for silence: where unanswered writes hold all connections, the
 * server seems silent although it responds to a status request, so a suspicion of silence would be
 * dismissed.
 */
bool PrimaryWatch::leavesWritesUnanswered(const ServerState& primary, TimePoint now) const {
    return std::any_of(_writes.begin(), _writes.end(), [&](const auto& entry) {
        const Write& write = entry.second;
        return write.server == primary.address.server && now - write.at > kWriteTimeout;
    });
}

}  // namespace coralhoist::pooling
