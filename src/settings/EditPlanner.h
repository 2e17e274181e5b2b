/** Edits of one node: what they would change, and whether they are allowed. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Status.h"
#include "settings/NodeDocument.h"
#include "settings/SettingsSnapshot.h"

namespace coralhoist::settings {

/** One "KEY=VALUE" of an operator. */
struct Assignment {
    std::string key;
    std::string value;
};

/** One key in which two documents differ. */
struct KeyChange {
    const KeyDefinition* key = nullptr;
    std::optional<SettingValue> before;
    std::optional<SettingValue> after;
};

/** @return the assignment, or InvalidArgument for a text without '='. */
StatusWith<Assignment> parseAssignment(std::string_view text);

/**
 * @param path the node to edit.
 * @param current its document.
 * @return the document with the values set, or InvalidArgument or NotFound naming path, key and
 * what is wrong with the first bad assignment.
 */
StatusWith<NodeDocument> planSet(const NodePath& path, const NodeDocument& current,
                                 const std::vector<Assignment>& assignments);

/** @return the document without the keys; NotFound when a key is unknown or not set on the node. */
StatusWith<NodeDocument> planUnset(const NodePath& path, const NodeDocument& current,
                                   const std::vector<std::string>& keys);

/** @return the keys that differ, in name order. */
std::vector<KeyChange> diffDocuments(const NodeDocument& before, const NodeDocument& after);

/**
 * Decides whether an edit may be offered to the platform. An edit of the estate costs a pass over
 * all groups.
 * @param snapshot the tree as this proxy knows it.
 * @param proposed the new record of the node; its version does not matter.
 * @return every fault, each naming path, key and what is wrong; empty when the edit is allowed.
 * Rules between keys that were broken before the edit do not forbid it.
 */
std::vector<std::string> validateEdit(const SettingsSnapshot& snapshot,
                                      const SettingsObjectRecord& proposed);

}  // namespace coralhoist::settings
