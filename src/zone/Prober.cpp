#include "zone/Prober.h"

#include <algorithm>
#include <utility>

namespace coralhoist::zone {

std::optional<NodeName> ProbeOrder::next(const MemberTable& table, const NodeName& self,
                                         RandomSource& random) {
    for (int round = 0; round < 2; ++round) {
        while (!_round.empty()) {
            NodeName name = std::move(_round.back());
            _round.pop_back();
            const Member* member = table.find(name);
            if (member != nullptr && isLive(*member)) {
                return name;
            }
        }
        for (const Member* member : table.live()) {
            if (member->name != self) {
                _round.push_back(member->name);
            }
        }
        for (std::size_t index = _round.size(); index > 1; --index) {
            std::swap(_round[index - 1], _round[random.below(index)]);
        }
    }
    return std::nullopt;
}

void Prober::begin(std::uint64_t sequence, const NodeName& target, TimePoint now) {
    const TimePoint indirectAt = now + _options.probeTimeout;
    _waiting.push_back(
        Waiting{sequence, target, indirectAt, indirectAt + _options.indirectTimeout, false});
}

bool Prober::acknowledge(std::uint64_t sequence) {
    const auto acknowledged = std::erase_if(
        _waiting, [sequence](const Waiting& probe) { return probe.sequence == sequence; });
    if (acknowledged == 0) {
        return false;
    }
    _failuresInRow = 0;
    return true;
}

std::vector<Prober::IndirectRequest> Prober::takeOverdue(TimePoint now) {
    std::vector<IndirectRequest> overdue;
    for (Waiting& probe : _waiting) {
        if (!probe.indirectSent && probe.indirectAt <= now) {
            probe.indirectSent = true;
            overdue.push_back({probe.sequence, probe.target});
        }
    }
    return overdue;
}

std::vector<NodeName> Prober::takeFailed(TimePoint now) {
    std::vector<NodeName> failed;
    for (const Waiting& probe : _waiting) {
        if (probe.failAt <= now) {
            failed.push_back(probe.target);
        }
    }
    std::erase_if(_waiting, [now](const Waiting& probe) { return probe.failAt <= now; });
    _failuresInRow += failed.size();
    return failed;
}

std::optional<TimePoint> Prober::nextDeadline() const {
    std::optional<TimePoint> earliest;
    for (const Waiting& probe : _waiting) {
        const TimePoint deadline = probe.indirectSent ? probe.failAt : probe.indirectAt;
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

void RelayedProbes::begin(std::uint64_t sequence, Requester requester, TimePoint now) {
    std::erase_if(_requesters, [now](const auto& item) { return item.second.expiry <= now; });
    _requesters.emplace(sequence, std::move(requester));
}

std::optional<RelayedProbes::Requester> RelayedProbes::take(std::uint64_t sequence) {
    const auto found = _requesters.find(sequence);
    if (found == _requesters.end()) {
        return std::nullopt;
    }
    Requester requester = std::move(found->second);
    _requesters.erase(found);
    return requester;
}

}  // namespace coralhoist::zone
