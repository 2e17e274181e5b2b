/** Rules between several keys of a group. */
#pragma once

#include <string>
#include <vector>

#include "settings/EffectiveSettings.h"

namespace coralhoist::settings {

/** A rule between keys that the effective settings of a group break. */
struct CrossCheckFault {
    /** The key to change. */
    std::string key;
    /** What is wrong, with the values that clash. */
    std::string message;

    bool operator==(const CrossCheckFault&) const = default;
};

/** @return the rules that the settings break. */
std::vector<CrossCheckFault> checkGroup(const GroupSettings& settings);

/**
 * Bends settings that break a rule to the nearest ones that keep it.
 *
 * Two edits of different nodes may each be valid and break a rule together. All proxies must then
 * use the same settings, whatever they held before, so the repair depends on the settings only.
 */
void repairGroup(GroupSettings& settings);

}  // namespace coralhoist::settings
