#include "settings/NodePath.h"

#include <algorithm>

#include "base/Error.h"

namespace coralhoist::settings {
namespace {

constexpr std::string_view kEstate = "estate";

bool isLetterOrDigit(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool isNameCharacter(char character) {
    return isLetterOrDigit(character) || character == '_' || character == '-' || character == '.';
}

Status malformedPath(std::string_view text) {
    return {ErrorCode::InvalidArgument, "path '" + std::string(text) +
                                            "' is not of the form estate, estate/GROUP or "
                                            "estate/GROUP/SERVICE"};
}

}  // namespace

std::string_view levelName(SettingsLevel level) {
    switch (level) {
        case SettingsLevel::Estate:
            return "estate";
        case SettingsLevel::Group:
            return "group";
        case SettingsLevel::Service:
            return "service";
    }
    return "unknown";
}

Status checkName(std::string_view name, std::string_view what) {
    const bool lengthFits = !name.empty() && name.size() <= kLongestName;
    const bool startFits = lengthFits && (isLetterOrDigit(name.front()) || name.front() == '_');
    if (startFits && std::all_of(name.begin(), name.end(), isNameCharacter)) {
        return Status::ok();
    }
    return {ErrorCode::InvalidArgument,
            std::string(what) + " '" + std::string(name) +
                "' must have 1 to 63 letters, digits, '_', '-' or '.', and start with a letter, "
                "digit or '_'"};
}

StatusWith<NodePath> NodePath::parse(std::string_view text) {
    const std::size_t groupSlash = text.find('/');
    if (text.substr(0, groupSlash) != kEstate) {
        return malformedPath(text);
    }
    NodePath path;
    if (groupSlash == std::string_view::npos) {
        return path;
    }
    const std::string_view below = text.substr(groupSlash + 1);
    const std::size_t serviceSlash = below.find('/');
    const std::string_view group = below.substr(0, serviceSlash);
    if (Status status = checkName(group, "group name"); !status.isOk()) {
        return Status(status.code(), "path '" + std::string(text) + "': " + status.message());
    }
    path._group = GroupName(std::string(group));
    if (serviceSlash == std::string_view::npos) {
        return path;
    }
    const std::string_view service = below.substr(serviceSlash + 1);
    if (service.find('/') != std::string_view::npos) {
        return malformedPath(text);
    }
    if (Status status = checkName(service, "service name"); !status.isOk()) {
        return Status(status.code(), "path '" + std::string(text) + "': " + status.message());
    }
    path._service = ServiceName(std::string(service));
    return path;
}

NodePath NodePath::ofGroup(const GroupName& group) {
    NodePath path;
    path._group = group;
    return path;
}

NodePath NodePath::ofService(const GroupName& group, const ServiceName& service) {
    NodePath path;
    path._group = group;
    path._service = service;
    return path;
}

SettingsLevel NodePath::level() const {
    if (!_service.value().empty()) {
        return SettingsLevel::Service;
    }
    return _group.value().empty() ? SettingsLevel::Estate : SettingsLevel::Group;
}

std::string NodePath::text() const {
    std::string text(kEstate);
    if (!_group.value().empty()) {
        text += "/" + _group.value();
    }
    if (!_service.value().empty()) {
        text += "/" + _service.value();
    }
    return text;
}

}  // namespace coralhoist::settings
