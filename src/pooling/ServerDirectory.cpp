#include "pooling/ServerDirectory.h"

#include <algorithm>
#include <set>
#include <string>

#include "pooling/ServerIncarnation.h"

namespace coralhoist::pooling {
namespace {

/** Servers write their entries again within this time after the store has reverted to an older
 * state. */
constexpr Duration kWrittenAgainWithin = std::chrono::seconds(2);

/** @return whether the entry is older than the known one, although the store returned it later. */
bool isOlderCopy(const ListedServer& listed, const ServerAnnouncement& announcement) {
    return !listed.removed && listed.announcement.version.era < announcement.version.era &&
           announcement.sequence < listed.announcement.sequence;
}

}  // namespace

/** @return all incarnations that are listed under the id, including removed ones, by group and
 * name. */
std::vector<ServerDirectory::ListedIncarnation> ServerDirectory::incarnationsOf(
    const std::string& id) {
    std::vector<ListedIncarnation> incarnations;
    const auto groups = _groupsOfId.find(id);
    if (groups == _groupsOfId.end()) {
        return incarnations;
    }
    for (const GroupName& group : groups->second) {
        for (auto& [name, listed] : _groups.at(group)) {
            ++_serversExamined;
            if (idOf(name) == id) {
                incarnations.push_back({group, name, listed});
            }
        }
    }
    return incarnations;
}

/** Removes other incarnations of the server. @return whether the announcement is of its present
 * incarnation. */
bool ServerDirectory::supersede(const ServerAnnouncement& announcement, TimePoint now) {
    const ServerName& server = announcement.address.server;
    for (const ListedIncarnation& incarnation : incarnationsOf(idOf(server))) {
        ListedServer& listed = incarnation.listed;
        const bool isSame =
            incarnation.name == server && incarnation.group == announcement.address.group;
        if (isSame) {
            continue;
        }
        if (listed.announcement.version > announcement.version) {
            return false;
        }
        if (!listed.removed) {
            markRemoved(incarnation.group, listed, now);
        }
        listed.superseded = listed.superseded || incarnation.name != server;
    }
    return true;
}

/** @return whether another writer wrote the entry: the server itself includes its start time in
 * each entry. */
bool ServerDirectory::isForeign(const ServerAnnouncement& announcement) {
    const ServerName& server = announcement.address.server;
    if (hasStartTime(server)) {
        return false;
    }
    const std::vector<ListedIncarnation> incarnations = incarnationsOf(idOf(server));
    return std::any_of(
        incarnations.begin(), incarnations.end(),
        [](const ListedIncarnation& incarnation) { return hasStartTime(incarnation.name); });
}

bool ServerDirectory::put(const ServerAnnouncement& announcement, TimePoint now) {
    if (isForeign(announcement)) {
        // The entry does not state which incarnation it describes, so no incarnation is listed
        // under the id until the server itself writes its next entry.
        return remove(announcement.address.server, announcement.version, now);
    }
    const ServerAddress& address = announcement.address;
    _groupsOfId[idOf(address.server)].insert(address.group);
    ListedServer& listed = _groups[address.group][address.server];
    if (listed.superseded || announcement.version < listed.announcement.version ||
        !supersede(announcement, now)) {
        // An entry that was created by this call has no version; it is marked as removed, so that
        // an incarnation that was not listed before stays unlisted.
        listed.removed = listed.removed || !listed.announcement.version.exists();
        return false;
    }
    if (isOlderCopy(listed, announcement)) {
        listed.announcement.version = announcement.version;
        return false;
    }
    const bool changed = listed.removed || !(listed.announcement == announcement);
    if (changed) {
        _changed.insert(address.group);
    }
    listed.announcement = announcement;
    listed.removed = false;
    return changed;
}

bool ServerDirectory::remove(const ServerName& server, const StoreVersion& version, TimePoint now) {
    const bool anyIncarnation = idOf(server) == server.value();
    for (const ListedIncarnation& incarnation : incarnationsOf(idOf(server))) {
        const bool isMeant = anyIncarnation || incarnation.name == server;
        if (isMeant && !incarnation.listed.removed &&
            incarnation.listed.announcement.version <= version) {
            markRemoved(incarnation.group, incarnation.listed, now);
            return true;
        }
    }
    return false;
}

void ServerDirectory::replaceAll(const std::vector<ServerAnnouncement>& announcements,
                                 const StoreVersion& version, TimePoint now) {
    noteEra(version.era, now);
    std::set<std::string> present;
    for (const ServerAnnouncement& announcement : announcements) {
        present.insert(idOf(announcement.address.server));
        put(announcement, now);
    }
    for (auto& [group, servers] : _groups) {
        for (auto& [name, listed] : servers) {
            const bool older = listed.announcement.version <= version;
            const bool isMissing = !present.contains(idOf(name)) && !mayBeWrittenAgain(listed, now);
            if (older && !listed.removed && isMissing) {
                markRemoved(group, listed, now);
            }
        }
    }
}

void ServerDirectory::noteEra(std::uint64_t era, TimePoint now) {
    if (era > _era) {
        _era = era;
        _eraSince = now;
    }
}

/** @return whether the server was listed before the store reverted to an older state, and may be
 * listed again soon. */
bool ServerDirectory::mayBeWrittenAgain(const ListedServer& listed, TimePoint now) const {
    return listed.announcement.version.era < _era && now < _eraSince + kWrittenAgainWithin;
}

void ServerDirectory::removeUnconfirmed(TimePoint now) {
    for (auto& [group, servers] : _groups) {
        for (auto& [name, listed] : servers) {
            const bool isOfEarlierEra = listed.announcement.version.era < _era;
            if (isOfEarlierEra && !listed.removed && !mayBeWrittenAgain(listed, now)) {
                markRemoved(group, listed, now);
            }
        }
    }
}

void ServerDirectory::markRemoved(const GroupName& group, ListedServer& listed, TimePoint now) {
    listed.removed = true;
    listed.removedAt = now;
    _changed.insert(group);
}

void ServerDirectory::expire(TimePoint now, Duration retention) {
    for (auto& [group, servers] : _groups) {
        expireIn(group, servers, now - retention);
    }
}

/** Forgets the group's servers that were removed before this time. */
void ServerDirectory::expireIn(const GroupName& group, Servers& servers, TimePoint before) {
    // Several incarnations of one server may be forgotten at once.
    std::set<std::string> ids;
    std::erase_if(servers, [&](const auto& entry) {
        const bool isOver = entry.second.removed && entry.second.removedAt < before;
        if (isOver) {
            ids.insert(idOf(entry.first));
        }
        return isOver;
    });
    for (const std::string& id : ids) {
        forgetIfUnlisted(id, group, servers);
    }
}

void ServerDirectory::forgetIfUnlisted(const std::string& id, const GroupName& group,
                                       const Servers& servers) {
    const bool isListed = std::any_of(servers.begin(), servers.end(),
                                      [&id](const auto& entry) { return idOf(entry.first) == id; });
    if (isListed) {
        return;
    }
    const auto groups = _groupsOfId.find(id);
    if (groups == _groupsOfId.end()) {
        return;
    }
    groups->second.erase(group);
    if (groups->second.empty()) {
        _groupsOfId.erase(groups);
    }
}

GroupName ServerDirectory::groupOf(const ServerName& server) const {
    const auto groups = _groupsOfId.find(idOf(server));
    return groups == _groupsOfId.end() ? GroupName() : *groups->second.begin();
}

const ServerDirectory::Servers& ServerDirectory::serversOf(const GroupName& group) const {
    static const Servers kNone;
    const auto found = _groups.find(group);
    return found == _groups.end() ? kNone : found->second;
}

}  // namespace coralhoist::pooling
