#include "settings/EditPlanner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/Error.h"
#include "settings/KeyRegistry.h"
#include "settings/SettingValue.h"

namespace coralhoist::settings {
namespace {

Status atPath(const NodePath& path, const Status& status) {
    return {status.code(), path.text() + ": " + status.message()};
}

/** @return why the node can't be made or removed where the tree stands. */
std::optional<std::string> checkPlace(const SettingsSnapshot& snapshot, const NodePath& path,
                                      bool deleted) {
    if (deleted && snapshot.node(path) == nullptr) {
        return path.text() + ": there is no such node";
    }
    const NodePath group = NodePath::ofGroup(path.group());
    if (!deleted && path.level() == SettingsLevel::Service && snapshot.node(group) == nullptr) {
        return path.text() + ": there is no group '" + path.group().value() + "'; create it first";
    }
    const std::size_t services = snapshot.services(path.group()).size();
    if (deleted && path.level() == SettingsLevel::Group && services > 0) {
        return path.text() + ": " + std::to_string(services) +
               " services below the group have nodes; delete those first";
    }
    return std::nullopt;
}

std::set<std::string> brokenRules(const SettingsSnapshot& snapshot, const GroupName& group) {
    std::set<std::string> keys;
    for (const CrossCheckFault& fault : snapshot.crossCheck(group)) {
        keys.insert(fault.key);
    }
    return keys;
}

/** @return rules between keys of the group that hold before and not after. */
std::vector<std::string> newlyBrokenRules(const SettingsSnapshot& before,
                                          const SettingsSnapshot& after, const GroupName& group) {
    const std::vector<CrossCheckFault> faultsAfter = after.crossCheck(group);
    if (faultsAfter.empty()) {
        return {};
    }
    const std::set<std::string> brokenBefore = brokenRules(before, group);
    std::vector<std::string> messages;
    for (const CrossCheckFault& fault : faultsAfter) {
        if (!brokenBefore.contains(fault.key)) {
            messages.push_back(NodePath::ofGroup(group).text() + ": " + fault.key + ": " +
                               fault.message);
        }
    }
    return messages;
}

}  // namespace

StatusWith<Assignment> parseAssignment(std::string_view text) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return Status(ErrorCode::InvalidArgument,
                      "'" + std::string(text) + "' is not of the form KEY=VALUE");
    }
    return Assignment{std::string(text.substr(0, equals)), std::string(text.substr(equals + 1))};
}

StatusWith<NodeDocument> planSet(const NodePath& path, const NodeDocument& current,
                                 const std::vector<Assignment>& assignments) {
    NodeDocument document = current;
    for (const Assignment& assignment : assignments) {
        const auto key = KeyRegistry::instance().lookUp(assignment.key);
        if (!key.isOk()) {
            return atPath(path, key.status());
        }
        auto value = parseValue(*key.value(), assignment.value);
        if (!value.isOk()) {
            return Status(value.status().code(),
                          path.text() + ": " + assignment.key + ": " + value.status().message());
        }
        if (Status status = document.set(path, *key.value(), std::move(value).value());
            !status.isOk()) {
            return status;
        }
    }
    return document;
}

StatusWith<NodeDocument> planUnset(const NodePath& path, const NodeDocument& current,
                                   const std::vector<std::string>& keys) {
    NodeDocument document = current;
    for (const std::string& name : keys) {
        const auto key = KeyRegistry::instance().lookUp(name);
        if (!key.isOk()) {
            return atPath(path, key.status());
        }
        if (!document.unset(*key.value())) {
            return Status(ErrorCode::NotFound, path.text() + ": " + name + " is not set here");
        }
    }
    return document;
}

std::vector<KeyChange> diffDocuments(const NodeDocument& before, const NodeDocument& after) {
    std::vector<KeyChange> changes;
    for (const NamedValue& named : before.values()) {
        const SettingValue* value = after.find(*named.key);
        if (value == nullptr) {
            changes.push_back({named.key, named.value, std::nullopt});
        } else if (*value != named.value) {
            changes.push_back({named.key, named.value, *value});
        }
    }
    for (const NamedValue& named : after.values()) {
        if (before.find(*named.key) == nullptr) {
            changes.push_back({named.key, std::nullopt, named.value});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const KeyChange& left, const KeyChange& right) {
        return left.key->name < right.key->name;
    });
    return changes;
}

std::vector<std::string> validateEdit(const SettingsSnapshot& snapshot,
                                      const SettingsObjectRecord& proposed) {
    const auto path = NodePath::parse(proposed.path);
    if (!path.isOk()) {
        return {path.status().message()};
    }
    auto document = NodeDocument::parse(path.value(), proposed.deleted ? "" : proposed.document);
    if (!document.isOk()) {
        return {document.status().message()};
    }
    if (auto fault = checkPlace(snapshot, path.value(), proposed.deleted)) {
        return {*fault};
    }
    SettingsNodePointer node;
    if (!proposed.deleted) {
        node = std::make_shared<const SettingsNode>(
            SettingsNode{proposed, path.value(), std::move(document).value()});
    }
    const auto after = snapshot.withChanges({{path.value(), node}}, snapshot.version());
    const bool wholeEstate = path.value().level() == SettingsLevel::Estate;
    const std::vector<GroupName> affected =
        wholeEstate ? snapshot.groups() : std::vector<GroupName>{path.value().group()};
    std::vector<std::string> faults;
    for (const GroupName& group : affected) {
        for (std::string& message : newlyBrokenRules(snapshot, *after, group)) {
            faults.push_back(std::move(message));
        }
    }
    return faults;
}

}  // namespace coralhoist::settings
