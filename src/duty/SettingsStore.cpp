#include "duty/SettingsStore.h"

#include <chrono>
#include <utility>

#include "base/Log.h"

namespace coralhoist::duty {
namespace {

settings::WallClockMilliseconds wallClock() {
    return std::chrono::duration_cast<settings::WallClockMilliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

void logMerge(const settings::SettingsObjectRecord& record, settings::MergeOutcome outcome) {
    if (outcome == settings::MergeOutcome::Applied) {
        LogEvent("settings", LogLevel::Info, "settings.applied")
            .field("path", record.path)
            .field("version", record.version)
            .field("deleted", record.deleted)
            .field("operation", record.operationId);
    } else if (outcome == settings::MergeOutcome::Refused ||
               outcome == settings::MergeOutcome::Malformed) {
        LogEvent("settings", LogLevel::Error, "settings.refused")
            .field("path", record.path)
            .field("version", record.version);
    }
}

}  // namespace

SettingsStore::SettingsStore(SnapshotListener publish) : _publish(std::move(publish)) {}

settings::MergeOutcome SettingsStore::mergeOne(const settings::SettingsObjectRecord& record) {
    std::optional<settings::SettingsObjectRecord> previous = _tree.find(record.path);
    const settings::MergeOutcome outcome = _tree.merge(record);
    logMerge(record, outcome);
    if (outcome != settings::MergeOutcome::Applied) {
        return outcome;
    }
    const settings::SettingsChange change{wallClock(), record, std::move(previous)};
    _history.add(change);
    // A listener may end its own subscription, so the call goes over a copy.
    const std::map<std::uint64_t, Listener> listeners = _listeners;
    for (const auto& [number, listener] : listeners) {
        listener(change);
    }
    return outcome;
}

settings::MergeOutcome SettingsStore::merge(const settings::SettingsObjectRecord& record) {
    const settings::MergeOutcome outcome = mergeOne(record);
    publishIfChanged();
    return outcome;
}

void SettingsStore::mergeAll(const std::vector<settings::SettingsObjectRecord>& records) {
    for (const settings::SettingsObjectRecord& record : records) {
        mergeOne(record);
    }
    publishIfChanged();
}

void SettingsStore::publishIfChanged() {
    const auto snapshot = _tree.snapshot();
    if (snapshot != _published) {
        _published = snapshot;
        _publish(snapshot);
    }
}

std::unique_ptr<SettingsStore::Subscription> SettingsStore::subscribe(Listener listener) {
    const std::uint64_t number = ++_lastListener;
    _listeners.emplace(number, std::move(listener));
    return std::make_unique<Subscription>(*this, number);
}

}  // namespace coralhoist::duty
