/** The changes of settings that one proxy has seen take effect. */
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings/SettingsObject.h"

namespace coralhoist::settings {

/** Wall-clock time in milliseconds since 1970, for people; nothing is decided by it. */
using WallClockMilliseconds = std::chrono::milliseconds;

/** One change that took effect on this proxy. */
struct SettingsChange {
    WallClockMilliseconds seenAt{};
    SettingsObjectRecord record;
    /** What this proxy had in force for the path before; it may have missed versions between. */
    std::optional<SettingsObjectRecord> previous;
};

/** The latest changes, at most as many as the capacity. */
class ChangeHistory {
public:
    explicit ChangeHistory(std::size_t capacity) : _capacity(capacity) {}

    void add(SettingsChange change);

    /**
     * @param pathPrefix a node; changes of it and of the nodes below it are returned. "estate" or
     * an empty text: all.
     * @param limit most changes to return.
     * @return changes, the latest first.
     */
    std::vector<SettingsChange> latest(std::string_view pathPrefix, std::size_t limit) const;

    /** @return the change that an edit made, if it is still held. */
    std::optional<SettingsChange> findOperation(std::string_view operationId) const;

private:
    std::size_t _capacity;
    std::deque<SettingsChange> _changes;
};

/** @return whether path is ancestor or lies below it. */
bool isAtOrBelow(std::string_view path, std::string_view ancestor);

}  // namespace coralhoist::settings
