/** Plays the faults of a plan and heals them, all from outside the proxies. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/simulation/EventQueue.h"
#include "lab/soak/FaultHealing.h"
#include "lab/soak/FaultyRelay.h"
#include "lab/soak/ProxyFaults.h"
#include "lab/soak/ServerFaults.h"
#include "lab/soak/SoakPlan.h"
#include "lab/soak/SoakTimeline.h"
#include "lab/soak/StandInStore.h"

namespace coralhoist::soak {

/** Relays by the number of the proxy that uses them and the name of what they lead to. */
using RelaysByName = std::map<std::pair<std::size_t, std::string>, std::unique_ptr<FaultyRelay>>;

/** What faults strike. All outlives the faults. */
struct SoakTargets {
    pooled::LogGroup& group;
    ServerEntries& entries;
    std::vector<std::unique_ptr<WireServer>>& servers;
    StoreFaults& store;
    std::vector<std::unique_ptr<ProxyProcess>>& proxies;
    std::vector<std::unique_ptr<FaultyRelay>>& storeRelays;
    RelaysByName& serverRelays;
    RelaysByName& peerRelays;
    std::function<void()> changeConfiguration;
    SoakTimeline& timeline;
};

/** Begins the faults of a plan and heals each after its time. Lives as long as the queue. */
class SoakFaults {
public:
    SoakFaults(simulation::EventQueue& queue, SoakTargets targets);

    /** Plays the plan from now on. */
    void play(const std::vector<PlannedFault>& plan);

    /** Heals what stands; nothing is begun after it. */
    void healAll();

    /** @return the number of faults that have begun. */
    std::size_t begun() const { return _begun; }

private:
    void begin(const PlannedFault& planned);
    bool beginAtProxy(const PlannedFault& planned);
    bool beginAtLink(const PlannedFault& planned);
    bool beginAtStore(const PlannedFault& planned);
    bool beginAtPromotion(const PlannedFault& planned);
    bool beginInSteps(const PlannedFault& planned);
    void beginAtServer(const PlannedFault& planned);
    void disturb(FaultyRelay* relay, const RelayFaults& faults, const PlannedFault& planned);
    /** Silences the links of one or more proxies, not of all, to a server. */
    void cutFromSome(const ServerName& server, const PlannedFault& planned);
    void cutPrimaryFromSome(const PlannedFault& planned);
    /** Crashes the primary, or cuts it off, or leaves it alone, so that promotions are called. */
    void strikePrimary(const PlannedFault& planned);
    void beginSlowReplicaAhead(const PlannedFault& planned);
    void beginOldPrimaryReturns(const PlannedFault& planned);
    void refuseCalls(const PlannedFault& planned);
    FaultyRelay* relayOf(const RelaysByName& relays, const PlannedFault& planned);
    FaultyRelay* storeRelayOf(const PlannedFault& planned);

    simulation::EventQueue& _queue;
    SoakTargets _targets;
    FaultHealing _healing;
    ServerFaults _serverFaults;
    ProxyFaults _proxyFaults;
    bool _healed = false;
    std::size_t _begun = 0;
};

}  // namespace coralhoist::soak
