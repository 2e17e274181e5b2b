#include "duty/GroupRuntimes.h"

#include <algorithm>
#include <utility>

#include "contract/Refusals.h"

namespace coralhoist::duty {

GroupRuntimes::GroupRuntimes(ZoneName ownZone, const Clock& clock, RandomSource& random)
    : _ownZone(std::move(ownZone)), _clock(clock), _random(random) {}

GroupRuntimes::Entry& GroupRuntimes::entryOf(const settings::GroupSettings& settings) {
    Entry& entry = _entries[settings.name];
    if (!entry.runtime) {
        entry.runtime = std::make_unique<GroupRuntime>(settings, _ownZone, _clock, _random);
        entry.allowance =
            std::make_unique<zone::ShareAllowance>(zone::allowanceOptions(settings), _random);
    }
    return entry;
}

void GroupRuntimes::assign(const settings::GroupSettings& settings,
                           const GroupAssignment& assignment) {
    const bool known = _entries.contains(settings.name);
    if (!known && assignment.role == contract::OwnerRole::None) {
        return;
    }
    Entry& entry = entryOf(settings);
    entry.runtime->applySettings(settings);
    entry.assignment = assignment;
    const TimePoint now = _clock.now();
    entry.allowance->setShare(assignment.connections, now);
    applyShare(entry, now);
}

void GroupRuntimes::applyShare(Entry& entry, TimePoint now) {
    contract::ConnectionShare share;
    share.role = entry.assignment.role;
    share.connectionsPerServer = entry.allowance->allowance(now);
    share.slotsPerServer = entry.assignment.slots;
    if (share != entry.share) {
        entry.share = share;
        entry.runtime->setConnectionShare(share);
    }
}

void GroupRuntimes::onTick(TimePoint now) {
    for (auto& [name, entry] : _entries) {
        applyShare(entry, now);
    }
}

GroupRuntime* GroupRuntimes::owned(const GroupName& group) {
    return executesFor(group) ? _entries.at(group).runtime.get() : nullptr;
}

bool GroupRuntimes::executesFor(const GroupName& group) const {
    if (_draining) {
        return false;
    }
    const auto found = _entries.find(group);
    return found != _entries.end() && found->second.assignment.role != contract::OwnerRole::None;
}

void GroupRuntimes::drain() {
    _draining = true;
    for (auto& [name, entry] : _entries) {
        entry.runtime->drain();
    }
}

bool GroupRuntimes::isDrained() const {
    return std::all_of(_entries.begin(), _entries.end(),
                       [](const auto& entry) { return entry.second.runtime->isDrained(); });
}

void GroupRuntimes::submit(contract::ExecutionRequest request, contract::ResponseSink& sink) {
    const auto found = _entries.find(request.group);
    if (found == _entries.end()) {
        sink.onCompleted(request.id, contract::makeFailure(contract::makeError(
                                         contract::Refusal::NotOwner, request.group.value())));
        return;
    }
    found->second.runtime->submit(std::move(request), sink);
}

void GroupRuntimes::resume(RequestId id) {
    for (auto& [name, entry] : _entries) {
        entry.runtime->resume(id);
    }
}

void GroupRuntimes::cancel(RequestId id) {
    for (auto& [name, entry] : _entries) {
        entry.runtime->cancel(id);
    }
}

void GroupRuntimes::endSession(SessionId session) {
    for (auto& [name, entry] : _entries) {
        entry.runtime->endSession(session);
    }
}

}  // namespace coralhoist::duty
