#include "lab/soak/ServerFaults.h"

#include <algorithm>

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kShortestLagMs = 300;
constexpr std::uint64_t kLagSpreadMs = 900;
/** Answers of a crowded server take from the first to as long as the second time. */
constexpr std::uint64_t kShortestAnswerMs = 100;
constexpr std::uint64_t kLongestAnswerMs = 1200;
constexpr std::uint64_t kMostSlots = 3;
constexpr std::uint64_t kShortestQueue = 2;
constexpr std::uint64_t kQueueSpread = 14;
constexpr std::uint64_t kFewestConnections = 4;
constexpr std::uint64_t kConnectionSpread = 16;

}  // namespace

pooled::LogServer& ServerFaults::primary() {
    pooled::LogServer* best = _group.servers().front().get();
    for (const auto& server : _group.servers()) {
        if (server->primary && server->term >= best->term) {
            best = server.get();
        }
    }
    return *best;
}

pooled::LogServer& ServerFaults::serverOf(const PlannedFault& planned) {
    return *_group.servers()[planned.target % _group.servers().size()];
}

pooled::LogServer& ServerFaults::replicaOf(const PlannedFault& planned) {
    std::vector<pooled::LogServer*> replicas;
    for (const auto& server : _group.servers()) {
        if (!server->primary) {
            replicas.push_back(server.get());
        }
    }
    return replicas.empty() ? primary() : *replicas[planned.target % replicas.size()];
}

WireServer& ServerFaults::wireOf(const ServerName& server) {
    const auto found = std::find_if(_wires.begin(), _wires.end(),
                                    [&server](const auto& wire) { return wire->name() == server; });
    return **found;
}

void ServerFaults::crash(pooled::LogServer& server, const PlannedFault& planned) {
    if (!server.running) {
        return;
    }
    _group.crash(server);
    _healing.after(planned.lasts, [this, &server] { _group.restart(server); });
}

void ServerFaults::crashPrimary(const PlannedFault& planned) {
    crash(primary(), planned);
}

void ServerFaults::crashReplica(const PlannedFault& planned) {
    crash(replicaOf(planned), planned);
}

void ServerFaults::isolatePrimary(const PlannedFault& planned) {
    const ServerName name = primary().name;
    _group.setIsolated(name, true);
    _healing.after(planned.lasts, [this, name] { _group.setIsolated(name, false); });
}

void ServerFaults::cutServers(const PlannedFault& planned) {
    const auto& servers = _group.servers();
    const ServerName one = serverOf(planned).name;
    const ServerName other = servers[(planned.target + 1) % servers.size()]->name;
    _group.setCut(one, other, true);
    _healing.after(planned.lasts, [this, one, other] { _group.setCut(one, other, false); });
}

void ServerFaults::deafenReplica(const PlannedFault& planned) {
    pooled::LogServer& server = replicaOf(planned);
    server.deaf = true;
    _healing.after(planned.lasts, [&server] { server.deaf = false; });
}

void ServerFaults::slowReplica(const PlannedFault& planned) {
    pooled::LogServer& server = replicaOf(planned);
    server.applyLag = milliseconds(kShortestLagMs + planned.size % kLagSpreadMs);
    _healing.after(planned.lasts, [&server] { server.applyLag = Duration(0); });
}

void ServerFaults::slowReplicaAhead(const PlannedFault& planned) {
    pooled::LogServer& behind = replicaOf(planned);
    behind.deaf = true;
    _healing.after(planned.lasts, [&behind] { behind.deaf = false; });
    for (const auto& server : _group.servers()) {
        if (!server->primary && server.get() != &behind) {
            slow(*server, planned);
        }
    }
}

void ServerFaults::slow(pooled::LogServer& server, const PlannedFault& planned) {
    const std::uint64_t spread = kLongestAnswerMs - kShortestAnswerMs;
    server.orderDelay = milliseconds(kShortestAnswerMs + planned.size % spread);
    _healing.after(planned.lasts, [&server] { server.orderDelay = Duration(0); });
}

void ServerFaults::slowOrders(const PlannedFault& planned) {
    slow(serverOf(planned), planned);
}

void ServerFaults::crowd(WireServer& wire, const PlannedFault& planned) {
    const std::uint64_t spread = kLongestAnswerMs - kShortestAnswerMs;
    ServerLoad load = wire.slots().load();
    load.slots = 1 + planned.variant % kMostSlots;
    load.longestQueue = kShortestQueue + planned.size % kQueueSpread;
    load.shortestDelay = milliseconds(kShortestAnswerMs);
    load.longestDelay = milliseconds(kShortestAnswerMs + planned.size % spread);
    wire.slots().setLoad(load);
    _healing.after(planned.lasts, [&wire] { wire.slots().setLoad({}); });
}

void ServerFaults::crowdServer(const PlannedFault& planned) {
    crowd(wireOf(serverOf(planned).name), planned);
}

void ServerFaults::crowdAll(const PlannedFault& planned) {
    for (const auto& wire : _wires) {
        crowd(*wire, planned);
    }
}

void ServerFaults::limitConnections(const PlannedFault& planned) {
    WireServer& wire = wireOf(serverOf(planned).name);
    ServerLoad load = wire.slots().load();
    load.connections = kFewestConnections + planned.size % kConnectionSpread;
    wire.slots().setLoad(load);
    _healing.after(planned.lasts, [&wire] { wire.slots().setLoad({}); });
}

void ServerFaults::lapseEntry(const PlannedFault& planned) {
    const ServerName name = serverOf(planned).name;
    _entries.lapse(name);
    _healing.after(planned.lasts, [this, name] { _entries.resume(name); });
}

}  // namespace coralhoist::soak
