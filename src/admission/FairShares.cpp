#include "admission/FairShares.h"

#include <algorithm>
#include <tuple>

namespace coralhoist::admission {
namespace {

/** The charge for a statement whose slot time is unknown: the slot time of a typical statement. */
constexpr Duration kUnknownCharge = std::chrono::milliseconds(20);

/**
 * Upper bound of the credit of a flow whose statements could not be placed. It is more than a long
 * statement takes, and less than would make other flows' statements late when the credit is used.
 */
constexpr Duration kMaxCredit = std::chrono::milliseconds(100);

/**
 * Virtual starts are compared in steps of this size. Flows whose starts lie in one step count as
 * equally served, and the shortest of their statements goes first, as within a flow. Most tenants
 * have one queued statement at a time; by the exact start they would be served in order of arrival.
 * A flow that floods the queue gains one step over the others at most.
 */
constexpr Duration kStartStep = std::chrono::milliseconds(50);

/** Idle flows are removed once this many flows are known. */
constexpr std::size_t kIdleSweepThreshold = 1024;

}  // namespace

bool FairShares::FlowPosition::operator<(const FlowPosition& other) const {
    const std::int64_t ownStep = start / kStartStep;
    const std::int64_t otherStep = other.start / kStartStep;
    return std::tie(otherStep, *other.next) < std::tie(ownStep, *next);
}

Duration FairShares::chargeOf(Duration slotTime) {
    return slotTime > Duration(0) ? slotTime : kUnknownCharge;
}

void FairShares::add(const std::string& flow, const Waiting& waiting) {
    Flow& state = _flows[flow];
    if (state.waiting.empty()) {
        state.finish = std::max(state.finish, _virtualTime);
    }
    state.waiting.insert(std::ranges::lower_bound(state.waiting, waiting), waiting);
}

void FairShares::remove(const std::string& flow, const Waiting& waiting) {
    const auto found = _flows.find(flow);
    if (found == _flows.end()) {
        return;
    }
    std::vector<Waiting>& all = found->second.waiting;
    const auto place = std::ranges::lower_bound(all, waiting);
    if (place != all.end() && *place == waiting) {
        all.erase(place);
    }
}

void FairShares::charge(const std::string& flow, Duration slotTime) {
    Flow& state = _flows[flow];
    const Duration start =
        state.waiting.empty() ? std::max(state.finish, _virtualTime) : startOf(state);
    _virtualTime = std::max(_virtualTime, start);
    state.finish = start + chargeOf(slotTime);
    if (_flows.size() >= kIdleSweepThreshold) {
        dropIdle();
    }
}

void FairShares::appendOrder(std::vector<SessionId>& order) const {
    std::vector<FlowPosition> heap = flowHeap();
    while (heap.size() > 1) {
        std::pop_heap(heap.begin(), heap.end());
        FlowPosition& position = heap.back();
        order.push_back(position.next->session);
        position.start += chargeOf(position.next->slotTime);
        ++position.next;
        if (position.next == position.end) {
            heap.pop_back();
        } else {
            std::push_heap(heap.begin(), heap.end());
        }
    }
    for (const FlowPosition& position : heap) {
        for (const Waiting* waiting = position.next; waiting != position.end; ++waiting) {
            order.push_back(waiting->session);
        }
    }
}

/** @return a heap of the flows that have queued statements. */
std::vector<FairShares::FlowPosition> FairShares::flowHeap() const {
    std::vector<FlowPosition> heap;
    heap.reserve(_flows.size());
    for (const auto& [name, flow] : _flows) {
        if (!flow.waiting.empty()) {
            const Waiting* first = flow.waiting.data();
            heap.push_back({startOf(flow), first, first + flow.waiting.size()});
        }
    }
    std::make_heap(heap.begin(), heap.end());
    return heap;
}

/** @return the virtual start of the next statement of a flow with queued statements. */
Duration FairShares::startOf(const Flow& flow) const {
    return std::max(flow.finish, _virtualTime - kMaxCredit);
}

/** Removes flows without queued statements whose finish is not after the virtual time: they are
 * equivalent to new flows. */
void FairShares::dropIdle() {
    std::erase_if(_flows, [this](const auto& entry) {
        return entry.second.waiting.empty() && entry.second.finish <= _virtualTime;
    });
}

}  // namespace coralhoist::admission
