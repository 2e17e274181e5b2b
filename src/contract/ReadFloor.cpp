#include "contract/ReadFloor.h"

#include <algorithm>
#include <functional>

namespace coralhoist::contract {
namespace {

/** Position of the primary of the newest term, if that primary is among the answers. */
std::optional<LogPosition> newestPrimaryPosition(
    const std::vector<machine::ServerStatus>& answers) {
    const auto newest = std::ranges::max_element(answers, {}, &machine::ServerStatus::term);
    for (const machine::ServerStatus& status : answers) {
        if (status.term == newest->term && !status.inRecovery) {
            return status.receivedPosition;
        }
    }
    return std::nullopt;
}

}  // namespace

std::optional<OpTime> computeReadFloor(const std::vector<machine::ServerStatus>& answers,
                                       std::size_t serverCount) {
    const std::size_t majority = serverCount / 2 + 1;
    if (answers.size() < majority) {
        return std::nullopt;
    }
    std::vector<Term> terms;
    std::vector<LogPosition> positions;
    for (const machine::ServerStatus& status : answers) {
        terms.push_back(status.term);
        positions.push_back(status.receivedPosition);
    }
    std::ranges::sort(terms, std::greater<>());
    std::ranges::sort(positions, std::greater<>());
    const std::size_t rank = majority - (serverCount - answers.size());
    OpTime floor{terms[rank - 1], positions[rank - 1]};
    if (const auto cap = newestPrimaryPosition(answers)) {
        floor.position = std::min(floor.position, *cap);
    }
    return floor;
}

bool covers(const machine::ServerStatus& status, const OpTime& floor) {
    return status.term >= floor.term && status.replayedPosition >= floor.position;
}

OpTime combineFloors(const OpTime& first, const OpTime& second) {
    return {std::max(first.term, second.term), std::max(first.position, second.position)};
}

}  // namespace coralhoist::contract
