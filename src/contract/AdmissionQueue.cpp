#include "contract/AdmissionQueue.h"

#include <algorithm>
#include <cassert>

namespace coralhoist::contract {

std::deque<RequestId>& AdmissionQueue::queueOf(AdmissionClass admissionClass) {
    return _queues.at(static_cast<std::size_t>(admissionClass));
}

const std::deque<RequestId>& AdmissionQueue::queueOf(AdmissionClass admissionClass) const {
    return _queues.at(static_cast<std::size_t>(admissionClass));
}

bool AdmissionQueue::push(const AdmissionCandidate& candidate) {
    std::deque<RequestId>& queue = queueOf(candidate.admissionClass);
    const bool bounded = candidate.admissionClass != AdmissionClass::InTransaction;
    if (bounded && queue.size() >= _limits.queueLimit) {
        return false;
    }
    queue.push_back(candidate.id);
    return true;
}

bool AdmissionQueue::remove(RequestId id) {
    for (std::deque<RequestId>& queue : _queues) {
        if (const auto found = std::ranges::find(queue, id); found != queue.end()) {
            queue.erase(found);
            return true;
        }
    }
    return false;
}

bool AdmissionQueue::ordinaryMayRun() const {
    if (queueOf(AdmissionClass::Ordinary).empty()) {
        return false;
    }
    return _ordinaryExecuting < ordinarySlots();
}

std::uint32_t AdmissionQueue::ordinarySlots() const {
    const std::uint32_t spare = _limits.slots > 1 ? _limits.slots - 1 : 0;
    return _limits.slots - std::min(_limits.urgentReserved, spare);
}

bool AdmissionQueue::hasRoomFor(AdmissionClass admissionClass) const {
    const bool ordinary = admissionClass == AdmissionClass::Ordinary;
    return queued() == 0 && _executing < _limits.slots &&
           (!ordinary || _ordinaryExecuting < ordinarySlots());
}

std::optional<AdmissionCandidate> AdmissionQueue::next() const {
    // Starts a statement of an open transaction even when no slot is free: the statements that hold
    // the slots may be waiting for this transaction's locks.
    if (const auto& continuing = queueOf(AdmissionClass::InTransaction); !continuing.empty()) {
        return AdmissionCandidate{continuing.front(), AdmissionClass::InTransaction};
    }
    if (_executing >= _limits.slots) {
        return std::nullopt;
    }
    const auto& urgent = queueOf(AdmissionClass::Urgent);
    const bool ordinaryRuns = ordinaryMayRun();
    const bool ordinaryIsDue = _urgentInRow >= _limits.urgentBurst;
    if (!urgent.empty() && !(ordinaryRuns && ordinaryIsDue)) {
        return AdmissionCandidate{urgent.front(), AdmissionClass::Urgent};
    }
    if (ordinaryRuns) {
        return AdmissionCandidate{queueOf(AdmissionClass::Ordinary).front(),
                                  AdmissionClass::Ordinary};
    }
    return std::nullopt;
}

void AdmissionQueue::start(const AdmissionCandidate& candidate) {
    std::deque<RequestId>& queue = queueOf(candidate.admissionClass);
    assert(!queue.empty() && queue.front() == candidate.id);
    const bool ordinaryWaits = ordinaryMayRun();
    queue.pop_front();
    ++_executing;
    if (candidate.admissionClass == AdmissionClass::Ordinary) {
        ++_ordinaryExecuting;
    }
    if (candidate.admissionClass != AdmissionClass::InTransaction) {
        const bool urgent = candidate.admissionClass == AdmissionClass::Urgent;
        _urgentInRow = urgent && ordinaryWaits ? _urgentInRow + 1 : 0;
    }
}

void AdmissionQueue::finish(AdmissionClass admissionClass) {
    assert(_executing > 0);
    --_executing;
    if (admissionClass == AdmissionClass::Ordinary) {
        --_ordinaryExecuting;
    }
}

std::deque<AdmissionCandidate> AdmissionQueue::takeUnbound() {
    std::deque<AdmissionCandidate> taken;
    for (const AdmissionClass admissionClass : {AdmissionClass::Urgent, AdmissionClass::Ordinary}) {
        for (const RequestId id : queueOf(admissionClass)) {
            taken.push_back({id, admissionClass});
        }
        queueOf(admissionClass).clear();
    }
    return taken;
}

std::size_t AdmissionQueue::queued(AdmissionClass admissionClass) const {
    return queueOf(admissionClass).size();
}

std::size_t AdmissionQueue::queued() const {
    std::size_t total = 0;
    for (const auto& queue : _queues) {
        total += queue.size();
    }
    return total;
}

}  // namespace coralhoist::contract
