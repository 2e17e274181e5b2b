#include "pooling/PrimaryWatch.h"

#include <algorithm>

namespace coralhoist::pooling {
namespace {

/** A write unanswered for so long shows that the primary can't commit. */
constexpr Duration kWritePatience = std::chrono::milliseconds(700);
/** So many connections that break in place of an answer, without any answer for so long, show that
 * the primary serves nobody. Connections that are all reset at one moment break within less. */
constexpr std::uint32_t kLostInRow = 5;
constexpr Duration kLossPatience = std::chrono::milliseconds(500);

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
    if (primary.consecutiveLosses >= kLostInRow && now - primary.firstLossAt > kLossPatience) {
        return SuspicionReason::StatementsLost;
    }
    return std::nullopt;
}

/**
 * Told before silence: where writes hold all connections the server seems silent, yet it answers
 * who asks for its status, and would be left alone.
 */
bool PrimaryWatch::leavesWritesUnanswered(const ServerState& primary, TimePoint now) const {
    return std::any_of(_writes.begin(), _writes.end(), [&](const auto& entry) {
        const Write& write = entry.second;
        return write.server == primary.address.server && now - write.at > kWritePatience;
    });
}

}  // namespace coralhoist::pooling
