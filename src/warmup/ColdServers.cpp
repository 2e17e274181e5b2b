#include "warmup/ColdServers.h"

#include <algorithm>
#include <utility>

#include "base/Log.h"

namespace coralhoist::warmup {
namespace {

/** @return the record of the server, or null. */
template <typename Groups>
auto findIn(Groups& groups, const GroupName& group, const ServerName& server)
    -> decltype(&groups.begin()->second.begin()->second) {
    const auto servers = groups.find(group);
    if (servers == groups.end()) {
        return nullptr;
    }
    const auto found = servers->second.find(server);
    return found == servers->second.end() ? nullptr : &found->second;
}

}  // namespace

void ColdServers::applyGroups(Groups groups, TimePoint now) {
    _groups = std::move(groups);
    for (auto& [group, servers] : _servers) {
        for (auto& [name, known] : servers) {
            noteCold(group, name, known, now);
        }
    }
}

void ColdServers::applyServers(const GroupName& group,
                               const pooling::ServerDirectory::Servers& servers, TimePoint now) {
    std::map<ServerName, Known>& known = _servers[group];
    std::erase_if(known, [&servers](const auto& entry) { return !servers.contains(entry.first); });
    for (const auto& [name, listed] : servers) {
        const pooling::ServerAnnouncement& announcement = listed.announcement;
        const auto [entry, added] = known.try_emplace(name);
        Known& server = entry->second;
        if (added || announcement.version > server.version) {
            server.version = announcement.version;
            server.announcedUntil = now + announcement.coldFor;
            server.suspectedUntil = TimePoint{};
            server.mayHaveRestarted = false;
            noteCold(group, name, server, now);
        }
        server.serves = !listed.removed && !announcement.draining;
    }
}

void ColdServers::noteCold(const GroupName& group, const ServerName& server, Known& known,
                           TimePoint now) {
    if (!_groups.contains(group) || known.isWarming || !isCold(known, now)) {
        return;
    }
    known.isWarming = true;
    LogEvent("warmup", LogLevel::Info, "server.cold")
        .field("group", group)
        .field("server", server)
        .field("lost", known.mayHaveRestarted)
        .field("for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::max(Duration(0),
                                      std::max(known.announcedUntil, known.suspectedUntil) - now))
                             .count());
}

ColdServers::Known* ColdServers::find(const GroupName& group, const ServerName& server) {
    return _groups.contains(group) ? findIn(_servers, group, server) : nullptr;
}

void ColdServers::noteLost(const GroupName& group, const ServerName& server, TimePoint now) {
    if (Known* known = find(group, server)) {
        known->mayHaveRestarted = true;
        noteCold(group, server, *known, now);
    }
}

void ColdServers::noteOpened(const GroupName& group, const ServerName& server, TimePoint now) {
    Known* known = find(group, server);
    if (known != nullptr && std::exchange(known->mayHaveRestarted, false)) {
        known->suspectedUntil = now + _groups.at(group).coldStart;
        noteCold(group, server, *known, now);
    }
}

const ColdServers::Known* ColdServers::find(const GroupName& group,
                                            const ServerName& server) const {
    return _groups.contains(group) ? findIn(_servers, group, server) : nullptr;
}

bool ColdServers::isCold(const Known& known, TimePoint now) const {
    return known.mayHaveRestarted || now < std::max(known.announcedUntil, known.suspectedUntil);
}

bool ColdServers::isCold(const GroupName& group, const ServerName& server, TimePoint now) const {
    const Known* known = find(group, server);
    return known != nullptr && isCold(*known, now);
}

TimePoint ColdServers::announcedUntil(const GroupName& group, const ServerName& server) const {
    const Known* known = find(group, server);
    return known == nullptr ? TimePoint{} : known->announcedUntil;
}

bool ColdServers::hasWarm(const GroupName& group, TimePoint now) const {
    const auto servers = _servers.find(group);
    return servers != _servers.end() &&
           std::any_of(servers->second.begin(), servers->second.end(), [&](const auto& entry) {
               return entry.second.serves && !isCold(entry.second, now);
           });
}

std::size_t ColdServers::servingCount(const GroupName& group) const {
    const auto servers = _servers.find(group);
    return servers == _servers.end() ? 0
                                     : static_cast<std::size_t>(std::count_if(
                                           servers->second.begin(), servers->second.end(),
                                           [](const auto& entry) { return entry.second.serves; }));
}

std::size_t ColdServers::coldCount(TimePoint now) const {
    std::size_t count = 0;
    for (const auto& [group, terms] : _groups) {
        if (const auto servers = _servers.find(group); servers != _servers.end()) {
            for (const auto& [name, known] : servers->second) {
                count += known.serves && isCold(known, now) ? 1 : 0;
            }
        }
    }
    return count;
}

std::vector<ColdServers::Server> ColdServers::takeWarmed(TimePoint now) {
    std::vector<Server> warmed;
    for (auto& [group, servers] : _servers) {
        for (auto& [name, known] : servers) {
            const bool isStillCold = _groups.contains(group) && isCold(known, now);
            if (!isStillCold && std::exchange(known.isWarming, false)) {
                warmed.push_back({group, name});
                LogEvent("warmup", LogLevel::Info, "server.warm")
                    .field("group", group)
                    .field("server", name);
            }
        }
    }
    return warmed;
}

TimePoint ColdServers::nextWarm() const {
    TimePoint next = TimePoint::max();
    for (const auto& [group, terms] : _groups) {
        if (const auto servers = _servers.find(group); servers != _servers.end()) {
            for (const auto& [name, known] : servers->second) {
                const bool ends = known.isWarming && !known.mayHaveRestarted;
                next = ends ? std::min(next, std::max(known.announcedUntil, known.suspectedUntil))
                            : next;
            }
        }
    }
    return next;
}

std::vector<ServerName> ColdServers::listed(const GroupName& group) const {
    std::vector<ServerName> names;
    if (const auto servers = _servers.find(group); servers != _servers.end()) {
        for (const auto& [name, known] : servers->second) {
            names.push_back(name);
        }
    }
    return names;
}

}  // namespace coralhoist::warmup
