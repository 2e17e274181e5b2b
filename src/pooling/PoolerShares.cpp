/**
 * Load reports between the executors of an overloaded group, and the share of server capacity that
 * each may use.
 */
#include <algorithm>

#include "base/Log.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooling {
namespace {

/** Minimum time between two log lines of one group that report the start of sharing. */
constexpr Duration kShareLogEvery = std::chrono::seconds(10);
/** Slot time that is assumed for a statement while none of its kind has been observed. */
constexpr Duration kUnknownSlotTime = std::chrono::milliseconds(15);

}  // namespace

SharedServer StatementPooler::sharedServer(const ServerState& server) const {
    const std::optional<Primary>& primary = _groups.at(server.address.group).leadership.primary();
    return {server.address.server, server.slots, inflightCapacityOf(server),
            server.latency + wayTo(server).roundTrip,
            primary && primary->server == server.address.server};
}

/** @return whether this executor's share of the server has capacity for one more statement. */
bool StatementPooler::isWithinShare(const ServerState& server, std::uint32_t inflight) const {
    const CapacityShares& shares = _groups.at(server.address.group).shares;
    return !shares.inForce() || shares.admits(sharedServer(server), inflight, _clock.now());
}

/**
 * Records that a statement found no capacity; it is reviewed again when this executor's next turn
 * comes.
 */
void StatementPooler::noteNoRoom(GroupState& group, const PooledSession& session) {
    const TimePoint now = _clock.now();
    group.shares.noteNoRoom(now);
    if (!group.shares.inForce()) {
        return;
    }
    for (const auto& [name, server] : group.servers) {
        if (const std::optional<TimePoint> at =
                group.shares.takeTurnWake(sharedServer(server), now)) {
            wakeAt(session, *at);
        }
    }
}

void StatementPooler::onLoadReport(const LoadReport& report) {
    const auto found = _groups.find(report.group);
    if (found == _groups.end() || !_placement.executesHere(report.group)) {
        return;
    }
    if (found->second.shares.take(report, _placement.preferenceOf(report.group), _clock.now())) {
        _activeGroups.insert(&found->second);
        ++_statistics.loadReportsReceived;
    }
}

/** @return the demand of queued and running statements, and the capacity of the servers in use. */
OwnLoad StatementPooler::ownLoad(const GroupName& name, GroupState& group) {
    OwnLoad load;
    std::vector<Duration>& demand = load.demandByRank;
    demand.resize(settings::kAdmissionRanks);
    const auto add = [&](const PooledSession& session) {
        const Duration expected = group.slotTimes.expected(session.service, unitKindOf(session));
        demand[std::min(session.settings.admissionRank(), settings::kAdmissionRanks - 1)] +=
            expected > Duration(0) ? expected : kUnknownSlotTime;
        ++load.statements;
    };
    for (const SessionId id : group.waiting.order(_clock.now())) {
        const PooledSession* session = findSession(id);
        if (session != nullptr && isQueued(*session)) {
            add(*session);
        }
    }
    for (const auto& [id, connection] : _connections.all()) {
        if (!connection.inflight || !connection.user || connection.group != name) {
            continue;
        }
        if (const PooledSession* session = findSession(*connection.user)) {
            add(*session);
        }
    }
    while (!demand.empty() && demand.back() == Duration(0)) {
        demand.pop_back();
    }
    load.taken = 0;
    for (const auto& [serverName, server] : group.servers) {
        load.taken += server.ready ? inflightCapacityOf(server) : 0;
    }
    return load;
}

/** Called once per round: updates and reports the own demand, and starts or ends sharing. */
void StatementPooler::updateShares(const GroupName& name, GroupState& group, TimePoint now) {
    CapacityShares& shares = group.shares;
    const bool shared = _placement.executesHere(name) && _placement.executorCount(name) > 1;
    static const std::vector<NodeName> kNone;
    const std::vector<NodeName>& others = shared ? _placement.preferenceOf(name) : kNone;
    const bool before = shares.inForce();
    const bool matters = shared && (!group.waiting.empty() || shares.isOverloaded(now));
    shares.update(others, matters ? ownLoad(name, group) : OwnLoad{}, now);
    if (shares.inForce()) {
        ++_statistics.groupsSharing;
    }
    if (shares.inForce() != before) {
        logShares(name, group, now);
    }
    if (_loadReporter == nullptr || !shares.takeReportDue(now)) {
        return;
    }
    const LoadReport report{_knobs.node, name, shares.demand(), shares.lacksRoom(now)};
    for (const NodeName& node : others) {
        ++_statistics.loadReportsSent;
        _loadReporter->sendLoadReport(node, report);
    }
}

/** Logs the start and end of sharing, at most one start every kShareLogEvery. */
void StatementPooler::logShares(const GroupName& name, GroupState& group, TimePoint now) {
    const bool begins = group.shares.inForce();
    if (begins && now < group.nextShareLog) {
        return;
    }
    if (begins) {
        group.nextShareLog = now + kShareLogEvery;
    } else if (!group.sharesLogged) {
        return;
    }
    group.sharesLogged = begins;
    LogEvent("pooling", LogLevel::Info, begins ? "shares.begun" : "shares.ended")
        .field("group", name)
        .field("executors", _placement.executorCount(name))
        .field("heard", group.shares.reportCount(now))
        .field("lacks_room", group.shares.lacksRoom(now))
        .field("waiting", group.waiting.size());
}

}  // namespace coralhoist::pooling
