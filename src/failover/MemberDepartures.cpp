/** Keeps the record's members complete while no promotion is under way (a file of GroupFailover).
 */
#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "base/Log.h"
#include "failover/FailoverTiming.h"
#include "failover/GroupFailover.h"

namespace coralhoist::failover {
namespace {

using pooling::ListedServer;
using pooling::PromotionPhase;

/** Nodes begin to watch one after another, so that one node's queries are usually enough. */
constexpr Duration kWatchTurnDelay = std::chrono::milliseconds(3000);
/** Pause after a write of the members, so that a store that fails is not written to each tick. */
constexpr Duration kMembersWritePause = std::chrono::milliseconds(1000);

bool contains(const std::vector<ServerName>& names, const ServerName& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

/** @return those of the servers that no list has named for that time. */
std::vector<DepartingServer> unlistedFor(const std::vector<DepartingServer>& departing,
                                         Duration time, TimePoint now) {
    std::vector<DepartingServer> unlisted;
    std::copy_if(departing.begin(), departing.end(), std::back_inserter(unlisted),
                 [time, now](const DepartingServer& server) {
                     return server.unlistedSince && now - *server.unlistedSince >= time;
                 });
    return unlisted;
}

void addDeparted(PromotionRecord& record, const ServerName& name) {
    std::erase(record.members, name);
    std::erase(record.departed, name);
    record.departed.push_back(name);
    if (record.departed.size() > PromotionRecord::kRememberedDepartures) {
        record.departed.erase(record.departed.begin());
    }
}

}  // namespace

/** @return whether the record bounds the commits of the server, which has left. */
bool GroupFailover::isBounded(const ServerName& server) const {
    return contains(_record.departed, server) && !_returned.contains(server);
}

/** Notes which servers are listed although the record shows that they have ended. */
void GroupFailover::noteReturned() {
    std::erase_if(_returned,
                  [this](const ServerName& name) { return !contains(_record.departed, name); });
    for (const ServerName& name : _record.departed) {
        const ListedServer* server = listed(name);
        if (server != nullptr && !server->removed) {
            _returned.insert(name);
        }
    }
}

/**
 * @return the servers whose commits nothing bounds yet and that are leaving or that no list names.
 */
std::vector<DepartingServer> GroupFailover::departingServers() const {
    std::vector<DepartingServer> departing;
    for (const auto& [name, server] : _servers) {
        const bool isLeaving = server.removed || server.announcement.draining;
        const bool isSucceeded = server.removed && isAddressTaken(server);
        if (isLeaving && !isSucceeded && !isBounded(name)) {
            const auto since = server.removed ? std::optional(server.removedAt) : std::nullopt;
            departing.push_back({name, server.announcement.address, since});
        }
    }
    for (const ServerName& name : _record.members) {
        if (!_servers.contains(name)) {
            departing.push_back({name, std::nullopt, _listedSince});
        }
    }
    return departing;
}

/** @return the leader of the newest term, if the record or, before any promotion, its own
 * announcement shows which server that is. */
std::optional<GroupLeader> GroupFailover::certainLeader() const {
    const bool isNamed = _primary && (_record.term == 0 || _primary->server == _record.successor);
    const ListedServer* leader = isNamed ? listed(_primary->server) : nullptr;
    if (leader == nullptr || isUnconfirmed()) {
        return std::nullopt;
    }
    return GroupLeader{leader->announcement.address, std::max(_primary->term, _record.term)};
}

/** @return whether the record may be written although this node promotes no server. */
bool GroupFailover::mayWriteMembers(TimePoint now) const {
    return _record.phase == PromotionPhase::None && hasSettledList(now) && !mustRestore() &&
           !isUnconfirmed() && _record.version.era == _dependencies.era.current() &&
           _dependencies.era.isSettled(kTakeOverAfter);
}

/**
 * Writes into the record which servers are leaving, before lists and running nodes forget them, and
 * which of them hold no commit beyond a known position.
 */
void GroupFailover::followDepartures(TimePoint now) {
    const std::vector<DepartingServer> departing = departingServers();
    const bool isSettled = departing.empty() && _returned.empty();
    if (isSettled || !mayWriteMembers(now)) {
        _departures.stop();
        _departingSince.reset();
        return;
    }
    _departingSince = _departingSince.value_or(now);
    const std::size_t turn = std::min(_dependencies.turn(_group), kMaxTurn);
    const std::optional<GroupLeader> leader = certainLeader();
    if (leader) {
        _departures.watch(unlistedFor(departing, kWatchTurnDelay * turn, now), *leader);
        _departures.onTick(now);
    }
    const PromotionRecord record = recordOfMembers(departing);
    const bool isNews = record.members != _record.members || record.departed != _record.departed;
    if (isNews && now - *_departingSince >= kTurnDelay * turn && now >= _nextMembersWriteAt) {
        _nextMembersWriteAt = now + kMembersWritePause;
        rewriteRecord(record, "promotion.members_written");
    }
}

/** @return the record with the members as this node knows them. */
PromotionRecord GroupFailover::recordOfMembers(
    const std::vector<DepartingServer>& departing) const {
    PromotionRecord record = _record;
    if (!record.version.exists()) {
        record.confirmedIn = record.version.era;
    }
    const auto addMember = [&record](const ServerName& name) {
        std::erase(record.departed, name);
        if (!contains(record.members, name)) {
            record.members.push_back(name);
        }
    };
    for (const ServerName& name : _returned) {
        addMember(name);
    }
    for (const DepartingServer& server : departing) {
        if (const std::optional<OpTime> bound = _departures.boundOf(server.name)) {
            addDeparted(record, server.name);
            record.departedBound = std::max(record.departedBound, *bound);
        } else {
            addMember(server.name);
        }
    }
    for (const auto& [name, server] : _servers) {
        if (server.removed && isAddressTaken(server) && contains(record.members, name)) {
            // Another server has the log and is a member itself.
            std::erase(record.members, name);
        }
    }
    return record;
}

/**
 * @return whether the server may hold commits that a server which leads from now on lacks, so that
 * it must not be forgotten.
 */
bool GroupFailover::mayHoldCommits(const ServerName& name, const ListedServer& server) const {
    return !isBounded(name) && !isAddressTaken(server);
}

/**
 * Sets the members for a new leader. Servers that have ended never receive from it, and its base
 * bounds what they held; others may be running although no list names them.
 */
void GroupFailover::nameMembers(PromotionRecord& record, TimePoint now) const {
    const std::vector<ServerName> before = std::exchange(record.members, {});
    for (const auto& [name, server] : _servers) {
        const auto link = _links.find(name);
        const bool isSucceeded = server.removed && isAddressTaken(server);
        const bool hasEnded =
            server.removed &&
            (isBounded(name) || (link != _links.end() && isGone(server, *link->second, now)));
        if (!isSucceeded && !hasEnded) {
            record.members.push_back(name);
        } else if (hasEnded) {
            addDeparted(record, name);
        }
    }
    for (const ServerName& name : before) {
        const bool mayReturn = !_listedSince || now - *_listedSince < kGoneAfter;
        if (!_servers.contains(name) && mayReturn) {
            record.members.push_back(name);
        }
    }
    record.departedBound = {};
}

}  // namespace coralhoist::failover
