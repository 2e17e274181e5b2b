/** Faults of how nodes and servers see and reach each other around promotions. */
#include <utility>

#include "lab/pooled/PooledFaults.h"

namespace coralhoist::pooled {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kShortestOrderDelay = milliseconds(100);
/** Half of the delays are below this. */
constexpr Duration kUsualOrderDelay = milliseconds(500);
constexpr Duration kLongestOrderDelay = milliseconds(1200);
constexpr Duration kLongestStall = milliseconds(800);
constexpr std::uint64_t kMostSlowness = 10;
constexpr double kRefusedShare = 0.3;
/** Time between looks whether a successor leads, and the longest wait for it. */
constexpr Duration kLook = milliseconds(20);
constexpr Duration kSuccessorPatience = milliseconds(2500);
/** How long an old primary is kept from its successor. */
constexpr Duration kLeadOnTime = milliseconds(4000);
/** Announcements are back within this time of the store's return. */
constexpr Duration kAnnouncedAgain = seconds(2);
constexpr Duration kShortestDrain = milliseconds(600);
constexpr Duration kLongestDrain = milliseconds(2500);
/** A server's old name may be announced for so long after its end. */
constexpr Duration kLongestAnnounced = milliseconds(1500);
constexpr Duration kLongestCallDelay = seconds(2);
constexpr int kRestarts = 10;
/** How long a node hears nothing of a promotion, and how soon the replicas restart meanwhile. */
constexpr Duration kUnheardTime = milliseconds(4500);
constexpr Duration kFirstRestart = milliseconds(300);
constexpr Duration kLastFirstRestart = milliseconds(1500);

}  // namespace

void PooledFaults::beginServerFault(PooledFault fault) {
    switch (fault) {
        case PooledFault::ServersCrowded:
            return crowdServers(_targets.queue.now() + faultTime());
        case PooledFault::NodesCutFromServers:
            return cutNodesFromServers();
        case PooledFault::OldPrimaryLeadsOn:
            return leadOn();
        case PooledFault::AnnouncementsLapse:
            return lapseAnnouncements();
        case PooledFault::ServerRenamed:
            return renameServer();
        case PooledFault::ReplicaReplaced:
            return replaceReplica();
        case PooledFault::PromotionCallTroubled:
            return troublePromotionCalls();
        case PooledFault::ReplicasRestart:
            return restartReplicas(kRestarts);
        case PooledFault::PromotionUnheard:
            return promoteUnheard();
        default:
            return;
    }
}

void PooledFaults::cutNode(std::size_t index, const ServerName& server, bool cut) {
    if (!_targets.nodes[index]) {
        return;
    }
    std::set<ServerName>& cuts = _targets.nodes[index]->connector().faults().cut;
    if (cut) {
        ++_counts.nodeCuts;
        cuts.insert(server);
    } else {
        cuts.erase(server);
    }
}

void PooledFaults::crowdServers(TimePoint end) {
    const bool over = _targets.queue.now() >= end;
    for (const auto& server : _targets.group.servers()) {
        server->orderDelay = Duration(0);
        server->ordersRefused = 0;
        server->slowness = 1;
        if (!over && chance(60)) {
            crowd(*server);
        }
    }
    if (!over) {
        after(between(milliseconds(300), milliseconds(1200)), [this, end] { crowdServers(end); });
    }
}

void PooledFaults::crowd(LogServer& server) {
    const Duration longest = chance(50) ? kLongestOrderDelay : kUsualOrderDelay;
    server.orderDelay = between(kShortestOrderDelay, longest);
    server.ordersRefused = chance(50) ? kRefusedShare : 0;
    if (chance(40)) {
        server.stalledUntil = _targets.queue.now() + between(Duration(0), kLongestStall);
    }
    server.slowness = static_cast<std::int64_t>(1 + _targets.random.below(kMostSlowness));
}

void PooledFaults::cutNodesFromServers() {
    const auto& servers = _targets.group.servers();
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        if (!chance(70)) {
            continue;
        }
        const ServerName name = servers[_targets.random.below(servers.size())]->name;
        cutNode(index, name, true);
        heal([this, index, name] { cutNode(index, name, false); });
    }
}

/** A primary that only some nodes reach is replaced, and goes on leading its old term. */
void PooledFaults::leadOn() {
    const ServerName old = primary().name;
    const std::uint64_t promotions = _targets.group.promotions();
    _targets.group.setIsolated(old, true);
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        cutNode(index, old, true);
    }
    const TimePoint end = _targets.queue.now() + kLeadOnTime;
    awaitSuccessor(old, promotions, end);
    after(kLeadOnTime, [this, old] { rejoinAll(old); });
}

void PooledFaults::awaitSuccessor(const ServerName& old, std::uint64_t promotions, TimePoint end) {
    if (_targets.queue.now() > end - kLeadOnTime + kSuccessorPatience) {
        return;
    }
    if (_targets.group.promotions() == promotions) {
        after(kLook, [this, old, promotions, end] { awaitSuccessor(old, promotions, end); });
        return;
    }
    after(between(milliseconds(0), milliseconds(800)),
          [this, old, end] { swapReachable(old, end); });
}

/** Each node reaches the replaced primary, or its successor, or both; in turn until the end. */
void PooledFaults::swapReachable(const ServerName& old, TimePoint end) {
    if (_targets.queue.now() >= end) {
        return;
    }
    const LogServer& replaced = _targets.group.server(old);
    const ServerName newer = primary().name;
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        const bool reachesOld = chance(60);
        const bool reachesNewer = !reachesOld || chance(20);
        cutNode(index, old, !reachesOld);
        cutNode(index, newer, !reachesNewer);
        if (reachesOld && !reachesNewer && replaced.primary) {
            ++_counts.replacedReached;
        }
    }
    if (chance(40)) {
        deafenReplica();
    }
    if (chance(30)) {
        _targets.group.setIsolated(old, false);
    }
    after(between(milliseconds(200), milliseconds(900)),
          [this, old, end] { swapReachable(old, end); });
}

void PooledFaults::rejoinAll(const ServerName& old) {
    _targets.group.setIsolated(old, false);
    for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
        cutNode(index, old, false);
        for (const auto& server : _targets.group.servers()) {
            cutNode(index, server->name, false);
        }
    }
}

void PooledFaults::lapseAnnouncements() {
    if (chance(40)) {
        lapseWithStore();
        return;
    }
    for (const auto& server : _targets.group.servers()) {
        if (chance(50)) {
            after(between(milliseconds(0), milliseconds(1000)),
                  [this, entry = server.get()] { lapse(*entry, faultTime()); });
        }
    }
}

void PooledFaults::lapse(LogServer& server, Duration time) {
    ++_counts.lapses;
    server.announcementLapsed = true;
    after(time, [&server] { server.announcementLapsed = false; });
}

/** The store is down, and entries of servers that live are missing when it is back. */
void PooledFaults::lapseWithStore() {
    _targets.store.faults().down = true;
    const Duration down = between(milliseconds(500), milliseconds(2000));
    after(down, [this] { _targets.store.faults().down = false; });
    for (const auto& server : _targets.group.servers()) {
        if (chance(70)) {
            lapse(*server, down + between(milliseconds(0), kAnnouncedAgain));
        }
    }
}

/** A server drains and ends; a new one is back at its address, with its log. */
void PooledFaults::renameServer() {
    LogServer& server = chance(50) ? primary() : replica();
    server.draining = true;
    after(between(kShortestDrain, kLongestDrain), [this, &server] {
        server.draining = false;
        crashFor(server, between(milliseconds(200), milliseconds(1200)));
        const bool atOnce = chance(50);
        _targets.group.rename(server,
                              atOnce ? Duration(0) : between(Duration(0), kLongestAnnounced));
        ++_counts.renames;
    });
}

void PooledFaults::replaceReplica() {
    LogServer& server = replica();
    server.draining = true;
    after(between(kShortestDrain, kLongestDrain), [this, &server] {
        server.draining = false;
        if (server.primary) {
            return;
        }
        _targets.group.leave(server);
        ++_counts.replacements;
        LogServer& joined = _targets.group.join();
        joined.deaf = true;
        after(between(milliseconds(0), milliseconds(1500)), [&joined] { joined.deaf = false; });
    });
}

/** A promotion is needed, and its calls are in trouble. */
void PooledFaults::troublePromotionCalls() {
    CallFaults& faults = _targets.store.callFaults();
    faults.answersLost = 0.5;
    faults.longestDelay = kLongestCallDelay;
    faults.restarts = 0.3;
    heal([&faults] { faults = CallFaults{}; });
    if (chance(50)) {
        crashFor(primary(), faultTime());
    } else {
        cutNodes(true);
    }
}

/** Replicas that have been told to stop receiving are preferred. */
void PooledFaults::restartReplicas(int times) {
    LogServer* chosen = &replica();
    for (const auto& server : _targets.group.servers()) {
        if (server->running && !server->primary && server->heldTerm > 0) {
            chosen = server.get();
        }
    }
    _counts.pausesForgotten += chosen->running && chosen->heldTerm > 0 ? 1 : 0;
    if (!chosen->primary) {
        crashFor(*chosen, between(milliseconds(20), milliseconds(120)));
    }
    if (times > 1) {
        after(between(milliseconds(100), milliseconds(500)),
              [this, times] { restartReplicas(times - 1); });
    }
}

void PooledFaults::promoteUnheard() {
    const std::size_t unheard = _targets.random.below(_targets.nodes.size());
    const ServerName former = primary().name;
    const NodeName name("n" + std::to_string(unheard + 1));
    const auto setCut = [this, unheard, former, name](bool cut) {
        _targets.network.setSilenced(name, cut);
        for (std::size_t index = 0; index < _targets.nodes.size(); ++index) {
            if (index != unheard) {
                cutNode(index, former, cut);
            } else if (_targets.nodes[index]) {
                _targets.nodes[index]->setStoreCut(cut);
            }
        }
    };
    setCut(true);
    after(kUnheardTime, [setCut] { setCut(false); });
    after(between(kFirstRestart, kLastFirstRestart), [this] { restartReplicas(kRestarts); });
}

}  // namespace coralhoist::pooled
