/** This process's settings tree and whoever wants to know of its changes. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "settings/ChangeHistory.h"
#include "settings/SettingsTree.h"

namespace coralhoist::duty {

/** Changes that are kept for `coralhoistctl settings history`. */
constexpr std::size_t kHistoryCapacity = 1000;

/**
 * Merges records from the platform and from peers into the tree, keeps the history of what took
 * effect, and tells listeners. The only writer of the tree.
 */
class SettingsStore {
public:
    using Listener = std::function<void(const settings::SettingsChange&)>;
    using SnapshotListener =
        std::function<void(const std::shared_ptr<const settings::SettingsSnapshot>&)>;

    /** Ends a subscription when destroyed. The store must outlive it. */
    class Subscription {
    public:
        Subscription(SettingsStore& store, std::uint64_t number) : _store(store), _number(number) {}
        ~Subscription() { _store._listeners.erase(_number); }
        Subscription(const Subscription&) = delete;
        Subscription& operator=(const Subscription&) = delete;

    private:
        SettingsStore& _store;
        std::uint64_t _number;
    };

    /** @param publish called with each new state of the tree. */
    explicit SettingsStore(SnapshotListener publish);

    /** Merges one record and publishes the tree if it changed. */
    settings::MergeOutcome merge(const settings::SettingsObjectRecord& record);

    /** Merges many records and publishes once. */
    void mergeAll(const std::vector<settings::SettingsObjectRecord>& records);

    /** @return a subscription to all changes that take effect from now on. */
    std::unique_ptr<Subscription> subscribe(Listener listener);

    settings::SettingsTree& tree() { return _tree; }
    const settings::ChangeHistory& history() const { return _history; }

private:
    settings::MergeOutcome mergeOne(const settings::SettingsObjectRecord& record);
    void publishIfChanged();

    settings::SettingsTree _tree;
    settings::ChangeHistory _history{kHistoryCapacity};
    SnapshotListener _publish;
    std::shared_ptr<const settings::SettingsSnapshot> _published;
    std::uint64_t _lastListener = 0;
    std::map<std::uint64_t, Listener> _listeners;
};

}  // namespace coralhoist::duty
