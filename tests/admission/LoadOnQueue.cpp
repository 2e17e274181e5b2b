#include "LoadOnQueue.h"

#include <algorithm>

namespace coralhoist::admission {
namespace {

using std::chrono::milliseconds;

constexpr Duration kObjective = milliseconds(200);
constexpr Duration kHeldFor = milliseconds(700);
constexpr std::uint32_t kSteps = 10000;
constexpr std::uint32_t kStepsPerSecond = 1000;

}  // namespace

std::map<std::string, Outcome> LoadOnQueue::play(const std::vector<Source>& sources) {
    for (std::uint32_t step = 0; step < kSteps; ++step) {
        for (const Source& source : sources) {
            if (arrives(source)) {
                arrive(source);
            }
        }
        refuseLate();
        fillSlots();
        _clock.advance(milliseconds(1));
    }
    return _outcomes;
}

bool LoadOnQueue::arrives(const Source& source) {
    return _random() % kStepsPerSecond < source.perSecond;
}

void LoadOnQueue::arrive(const Source& source) {
    const SessionId session(++_lastSession);
    _waiting[session] = {&source, _clock.now()};
    ++_outcomes[source.name].sent;
    std::string flow = source.flow;
    if (source.flows > 0) {
        flow += std::to_string(_random() % source.flows);
    }
    queue.add({session, source.rank, _clock.now(), kObjective / 2, source.slotTime, flow});
}

void LoadOnQueue::refuseLate() {
    // Sessions are numbered in order of arrival.
    while (!_waiting.empty() && _clock.now() - _waiting.begin()->second.arrivedAt >= kHeldFor) {
        const Caller& caller = _waiting.begin()->second;
        _outcomes[caller.source->name].longestWait = kHeldFor;
        queue.remove(_waiting.begin()->first);
        _waiting.erase(_waiting.begin());
    }
}

void LoadOnQueue::fillSlots() {
    _running.erase(_running.begin(), _running.upper_bound(_clock.now()));
    const std::vector<SessionId> order = queue.order(_clock.now());
    const std::size_t room = std::min<std::size_t>(_slots - _running.size(), order.size());
    for (std::size_t index = 0; index < room; ++index) {
        place(order[index]);
    }
}

void LoadOnQueue::place(SessionId session) {
    const Caller caller = _waiting.at(session);
    const Duration waited = _clock.now() - caller.arrivedAt;
    Outcome& outcome = _outcomes[caller.source->name];
    ++outcome.answered;
    outcome.inObjective += waited + caller.source->slotTime <= kObjective ? 1 : 0;
    outcome.longestWait = std::max(outcome.longestWait, waited);
    outcome.slotTime += caller.source->slotTime;
    _running.emplace(_clock.now() + caller.source->slotTime, session);
    _waiting.erase(session);
    queue.placed(session);
}

double jain(const std::map<std::string, Outcome>& outcomes, const std::vector<std::string>& names) {
    double sum = 0;
    double squares = 0;
    for (const std::string& name : names) {
        const std::chrono::duration<double> got = outcomes.at(name).slotTime;
        sum += got.count();
        squares += got.count() * got.count();
    }
    return sum * sum / (static_cast<double>(names.size()) * squares);
}

}  // namespace coralhoist::admission
