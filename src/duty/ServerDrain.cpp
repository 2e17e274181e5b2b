#include "duty/ServerDrain.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "settings/EditPlanner.h"

namespace coralhoist::duty {
namespace {

constexpr const char* kLeavingServersKey = "group.leaving_servers";

std::string joined(const std::vector<ServerName>& names) {
    std::string text;
    for (const ServerName& name : names) {
        text += (text.empty() ? "" : ",") + name.value();
    }
    return text;
}

StatusWith<std::vector<ServerName>> changedList(const gen::DrainRequest& request,
                                                const settings::GroupSettings& group) {
    const ServerName server(request.server);
    const bool known = std::any_of(group.servers.begin(), group.servers.end(),
                                   [&server](const auto& entry) { return entry.name == server; });
    if (!known) {
        return Status(ErrorCode::NotFound,
                      "group " + request.group + " has no server " + request.server);
    }
    std::vector<ServerName> leaving = group.leavingServers;
    const auto found = std::find(leaving.begin(), leaving.end(), server);
    const bool isLeaving = found != leaving.end();
    if (isLeaving != request.undo) {
        return Status(ErrorCode::AlreadyExists,
                      "server " + request.server + " of group " + request.group +
                          (request.undo ? " is not leaving" : " is leaving already"));
    }
    if (request.undo) {
        leaving.erase(found);
    } else {
        leaving.push_back(server);
    }
    return leaving;
}

StatusWith<settings::NodeDocument> changedDocument(const settings::NodePath& path,
                                                   const settings::NodeDocument& current,
                                                   const std::vector<ServerName>& leaving) {
    if (leaving.empty()) {
        return settings::planUnset(path, current, {kLeavingServersKey});
    }
    return settings::planSet(path, current, {{kLeavingServersKey, joined(leaving)}});
}

}  // namespace

StatusWith<gen::SettingsEditRequest> leavingServerEdit(const gen::DrainRequest& request,
                                                       const settings::SettingsSnapshot& snapshot) {
    const GroupName groupName(request.group);
    const settings::NodePath path = settings::NodePath::ofGroup(groupName);
    const settings::SettingsNodePointer node = snapshot.node(path);
    const auto group = snapshot.group(groupName);
    if (!node || !group) {
        return Status(ErrorCode::NotFound, "there is no group " + request.group);
    }
    const auto leaving = changedList(request, *group);
    if (!leaving.isOk()) {
        return leaving.status();
    }
    const auto document = changedDocument(path, node->document, leaving.value());
    if (!document.isOk()) {
        return document.status();
    }
    gen::SettingsEditRequest edit;
    edit.path = path.text();
    edit.basedOnVersion = static_cast<std::int64_t>(node->record.version);
    edit.document = document.value().text();
    edit.operationId = request.operationId;
    edit.author = request.author;
    return edit;
}

}  // namespace coralhoist::duty
