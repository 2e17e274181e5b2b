/** Names of the nodes of the settings tree. */
#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "base/Identifier.h"
#include "base/Status.h"

namespace coralhoist::settings {

/** Depth of a node. Each level inherits from the one above. */
enum class SettingsLevel { Estate, Group, Service };

/** @return "estate", "group" or "service". */
std::string_view levelName(SettingsLevel level);

/** Longest name of a group, service, server or zone in bytes; PostgreSQL's own limit of names. */
constexpr std::size_t kLongestName = 63;

/**
 * @param name name of a group, service, server or zone.
 * @param what what is named, for the message, e.g. "group name".
 * @return Ok, or InvalidArgument with a sentence that quotes the name and states the rule: 1 to 63
 * letters, digits, '_', '-' or '.', the first one a letter, digit or '_'.
 */
Status checkName(std::string_view name, std::string_view what);

/** Path of one node: "estate", "estate/GROUP" or "estate/GROUP/SERVICE". */
class NodePath {
public:
    /** The estate's path. */
    NodePath() = default;

    /** @return the path, or InvalidArgument with a sentence that quotes the text. */
    static StatusWith<NodePath> parse(std::string_view text);

    /** @param group a valid name. */
    static NodePath ofGroup(const GroupName& group);
    /** @param group, service valid names. */
    static NodePath ofService(const GroupName& group, const ServiceName& service);

    SettingsLevel level() const;
    /** @return the group's name; empty for the estate. */
    const GroupName& group() const { return _group; }
    /** @return the service's name; empty above the level of services. */
    const ServiceName& service() const { return _service; }
    std::string text() const;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the generated comparison for a null.
    auto operator<=>(const NodePath&) const = default;

private:
    GroupName _group;
    ServiceName _service;
};

}  // namespace coralhoist::settings
