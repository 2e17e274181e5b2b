/** What is known of one settings key. */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Time.h"
#include "settings/EffectiveSettings.h"
#include "settings/NodePath.h"

namespace coralhoist::settings {

/** What values of a key look like. */
enum class KeyType {
    Duration,    /**< A whole number with a unit: "500ms", "10s", "24h". */
    Integer,     /**< A whole number. */
    Enumeration, /**< One of a few words. */
    Text,        /**< Any text without control characters. */
    NameList,    /**< A list of names. */
    ServerList,  /**< A list of "name=IP:port@zone". */
};

/** The value "none" of a key that permits it. */
using NoValue = std::monostate;

/** A checked value. Enumeration and Text are std::string; Integer is std::int64_t. */
using SettingValue = std::variant<NoValue, Duration, std::int64_t, std::string,
                                  std::vector<std::string>, std::vector<ServerEndpoint>>;

/** The levels on which a key may be set. */
struct LevelSet {
    bool estate = false;
    bool group = false;
    bool service = false;

    bool contains(SettingsLevel level) const;
    /** @return the names of the levels, e.g. "estate, group". */
    std::string text() const;
};

/** Least and greatest value; nanoseconds for durations, bytes for texts, elements for lists. */
struct ValueRange {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

/** One key of the registry. Validation, documentation and the filling of settings use only this. */
struct KeyDefinition {
    /** Dotted lower-case name. */
    std::string name;
    KeyType type = KeyType::Text;
    /** What an integer counts, e.g. "connections"; empty for other types. */
    std::string unit;
    SettingValue defaultValue;
    ValueRange range;
    /** Words of an enumeration. */
    std::vector<std::string> choices;
    /** Whether the word "none" is a value. */
    bool permitsNone = false;
    /** Whether the value is hidden in what operators see unless they ask for it. */
    bool secret = false;
    LevelSet levels;
    std::string description;
    /** Copies a value of this key into the settings of a group, or null for keys of services. */
    void (*applyToGroup)(const SettingValue&, GroupSettings&) = nullptr;
    /** Copies a value of this key into the settings of a service, or null for keys of groups. */
    void (*applyToService)(const SettingValue&, ServiceSettings&) = nullptr;
};

}  // namespace coralhoist::settings
