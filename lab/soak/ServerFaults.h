/** Faults of servers and of the links between them. */
#pragma once

#include <memory>
#include <vector>

#include "lab/pooled/LogGroup.h"
#include "lab/soak/FaultHealing.h"
#include "lab/soak/ServerEntries.h"
#include "lab/soak/SoakPlan.h"
#include "lab/soak/WireServer.h"

namespace coralhoist::soak {

/** Strikes servers of one group. References outlive the faults. */
class ServerFaults {
public:
    ServerFaults(FaultHealing& healing, pooled::LogGroup& group, ServerEntries& entries,
                 std::vector<std::unique_ptr<WireServer>>& wires)
        : _healing(healing), _group(group), _entries(entries), _wires(wires) {}

    void crashPrimary(const PlannedFault& planned);
    void crashReplica(const PlannedFault& planned);
    void isolatePrimary(const PlannedFault& planned);
    /** Cuts the link between a server and the next one. */
    void cutServers(const PlannedFault& planned);
    void deafenReplica(const PlannedFault& planned);
    void slowReplica(const PlannedFault& planned);
    /** One replica receives nothing, and the other is slow to answer questions and orders. */
    void slowReplicaAhead(const PlannedFault& planned);
    void slowOrders(const PlannedFault& planned);
    void crowdServer(const PlannedFault& planned);
    void crowdAll(const PlannedFault& planned);
    void limitConnections(const PlannedFault& planned);
    void lapseEntry(const PlannedFault& planned);

    /** @return the primary of the newest term. */
    pooled::LogServer& primary();
    pooled::LogServer& serverOf(const PlannedFault& planned);

private:
    pooled::LogServer& replicaOf(const PlannedFault& planned);
    WireServer& wireOf(const ServerName& server);
    void crash(pooled::LogServer& server, const PlannedFault& planned);
    void slow(pooled::LogServer& server, const PlannedFault& planned);
    void crowd(WireServer& wire, const PlannedFault& planned);

    FaultHealing& _healing;
    pooled::LogGroup& _group;
    ServerEntries& _entries;
    std::vector<std::unique_ptr<WireServer>>& _wires;
};

}  // namespace coralhoist::soak
