/** One node of the settings tree as the platform keeps it and as peers relay it. */
#pragma once

#include <cstdint>
#include <string>

namespace coralhoist::settings {

/**
 * One version of one settings node. Of two records of the same path the one with the higher version
 * wins, always; a deletion is a record of its own with the version of the deletion.
 */
struct SettingsObjectRecord {
    /** "estate", "estate/GROUP" or "estate/GROUP/SERVICE". */
    std::string path;
    /** The platform's resourceVersion: one growing number for the whole store. */
    std::uint64_t version = 0;
    /** Whether this version is the node's deletion; document is empty then. */
    bool deleted = false;
    /** The node's own values as a JSON object; inherited values are not part of it. */
    std::string document;
    /** Names the edit that made this version; unique for each edit. */
    std::string operationId;
    /** The operator who made the edit. */
    std::string author;

    bool operator==(const SettingsObjectRecord&) const = default;
};

}  // namespace coralhoist::settings
