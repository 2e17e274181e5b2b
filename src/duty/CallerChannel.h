/** Messages between the caller duty and the node duty besides statements. */
#pragma once

#include <cstddef>
#include <variant>

#include "base/Ring.h"
#include "link/caller/CallerStatistics.h"
#include "settings/SettingsView.h"

namespace coralhoist::duty {

/** New settings are in force. */
struct SettingsUpdate {
    settings::SettingsViewPointer settings;
};

/** The planned stop of this node has begun. */
struct DrainUpdate {};

using CallerUpdate = std::variant<SettingsUpdate, DrainUpdate>;

/** State of the callers' side, reported about once a second and when draining ends. */
struct CallerReport {
    caller::CallerStatistics statistics;
    std::size_t connections = 0;
    bool drained = false;
};

/** Items that one ring holds; old settings are superseded by newer ones, so few are enough. */
constexpr std::size_t kCallerRingCapacity = 256;

/** The pair of rings between the node duty and the caller duty. */
struct CallerChannel {
    Ring<CallerUpdate> updates{kCallerRingCapacity};
    Ring<CallerReport> reports{kCallerRingCapacity};
};

}  // namespace coralhoist::duty
