/** The values that one node sets itself. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/Status.h"
#include "settings/KeyDefinition.h"
#include "settings/NodePath.h"
#include "settings/SettingsObject.h"

namespace coralhoist::settings {

/** Longest document in bytes that is read. */
constexpr std::size_t kLongestDocument = 65536;

/** A key with a value of its own. */
struct NamedValue {
    const KeyDefinition* key = nullptr;
    SettingValue value;

    bool operator==(const NamedValue&) const = default;
};

/**
 * The checked values of one node. Its text is a JSON object from key to value: a text for
 * durations, enumerations and texts, a number for integers, a list of texts for lists. Invariant:
 * every value is valid for its key, and every key may be set on the node's level.
 */
class NodeDocument {
public:
    /**
     * @param path the node, for its level and for messages.
     * @param text the JSON; an empty text is an empty document.
     * @return the document, or InvalidArgument with one sentence per fault, joined by "; ", each
     * naming path, key and what is wrong.
     */
    static StatusWith<NodeDocument> parse(const NodePath& path, std::string_view text);

    /** @return values in the order of their keys' names. */
    const std::vector<NamedValue>& values() const { return _values; }

    /** @return the node's own value of a key, or null. */
    const SettingValue* find(const KeyDefinition& key) const;

    /**
     * Sets a value that parseValue() or readJsonValue() made for this key.
     * @return InvalidArgument when the key may not be set on the level of path.
     */
    Status set(const NodePath& path, const KeyDefinition& key, SettingValue value);

    /** @return false when the node has no value of its own for the key. */
    bool unset(const KeyDefinition& key);

    /** @return the document's JSON text; equal documents have equal texts. */
    std::string text() const;

    bool operator==(const NodeDocument&) const = default;

private:
    std::vector<NamedValue> _values;
};

/** One node of the tree: its newest valid record with the values read from it. */
struct SettingsNode {
    SettingsObjectRecord record;
    NodePath path;
    NodeDocument document;
};

using SettingsNodePointer = std::shared_ptr<const SettingsNode>;

}  // namespace coralhoist::settings
