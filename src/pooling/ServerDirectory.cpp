#include "pooling/ServerDirectory.h"

#include <set>

namespace coralhoist::pooling {

bool ServerDirectory::put(const ServerAnnouncement& announcement) {
    ListedServer& listed = _groups[announcement.address.group][announcement.address.server];
    if (announcement.version < listed.announcement.version) {
        return false;
    }
    const bool changed = listed.removed || !(listed.announcement == announcement);
    listed.announcement = announcement;
    listed.removed = false;
    return changed;
}

bool ServerDirectory::remove(const ServerName& server, std::uint64_t version, TimePoint now) {
    for (auto& [group, servers] : _groups) {
        const auto found = servers.find(server);
        if (found == servers.end() || found->second.removed ||
            found->second.announcement.version > version) {
            continue;
        }
        found->second.removed = true;
        found->second.removedAt = now;
        return true;
    }
    return false;
}

void ServerDirectory::replaceAll(const std::vector<ServerAnnouncement>& announcements,
                                 std::uint64_t version, TimePoint now) {
    std::set<ServerName> present;
    for (const ServerAnnouncement& announcement : announcements) {
        present.insert(announcement.address.server);
        put(announcement);
    }
    for (auto& [group, servers] : _groups) {
        for (auto& [name, listed] : servers) {
            const bool older = listed.announcement.version <= version;
            if (older && !listed.removed && !present.contains(name)) {
                listed.removed = true;
                listed.removedAt = now;
            }
        }
    }
}

void ServerDirectory::expire(TimePoint now, Duration retention) {
    for (auto& [group, servers] : _groups) {
        std::erase_if(servers, [&](const auto& entry) {
            return entry.second.removed && now - entry.second.removedAt > retention;
        });
    }
}

GroupName ServerDirectory::groupOf(const ServerName& server) const {
    for (const auto& [group, servers] : _groups) {
        if (servers.contains(server)) {
            return group;
        }
    }
    return {};
}

const ServerDirectory::Servers& ServerDirectory::serversOf(const GroupName& group) const {
    static const Servers kNone;
    const auto found = _groups.find(group);
    return found == _groups.end() ? kNone : found->second;
}

}  // namespace coralhoist::pooling
