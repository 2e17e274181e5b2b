/** A fault in the settings that operators must mend. */
#pragma once

#include <cstdint>
#include <string>

namespace coralhoist::settings {

/** Something in the tree that is not in force as written. */
struct SettingsFault {
    std::string path;
    /** Version of the refused record, or 0 when several nodes clash. */
    std::uint64_t version = 0;
    /** Names path, key and what is wrong. */
    std::string message;

    bool operator==(const SettingsFault&) const = default;
};

}  // namespace coralhoist::settings
