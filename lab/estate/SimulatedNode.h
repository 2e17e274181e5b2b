/** A proxy without callers: the real decision classes and codecs over a simulated network. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/estate/SimulatedPlatform.h"
#include "lab/estate/SimulatedReplica.h"
#include "lab/simulation/Simulation.h"
#include "zone/Membership.h"
#include "zone/Placement.h"
#include "zone/SettingsDistributor.h"

namespace coralhoist::estate {

/** Sends a simulated node's bytes and finds out which host has an address. */
class SimulatedNetwork {
public:
    virtual ~SimulatedNetwork() = default;
    /** Sends bytes; as a datagram or, if they don't fit one, over a stream. */
    virtual void send(simulation::HostId from, const zone::PeerAddress& to, std::string bytes) = 0;
    virtual zone::PeerAddress addressOf(simulation::HostId host) const = 0;
};

/** How often members changed in one node's view. */
struct ViewChanges {
    std::uint64_t joined = 0;
    std::uint64_t died = 0;
};

/** What all simulated nodes of an estate share; outlives them. */
struct SimulatedEnvironment {
    SimulatedNetwork& network;
    SimulatedPlatform& platform;
    RecordPool& pool;
    zone::MembershipOptions membership;
    zone::DistributionOptions distribution;
};

/** One simulated node. */
class SimulatedNode final : public simulation::SimulatedProcess,
                            public zone::MembershipOutput,
                            public zone::DistributionOutput {
public:
    /** @param base settings that the node knows at its start; null for a node without memory. */
    SimulatedNode(simulation::HostId host, const zone::Member& self, std::uint64_t seed,
                  std::shared_ptr<const RecordIndex> base, SimulatedEnvironment& environment);

    /** Joins the others. */
    void join(std::vector<zone::PeerAddress> seeds, TimePoint now);

    void onTick(TimePoint now) override;
    TimePoint nextTick() const override;
    void onBytes(simulation::HostId from, const std::string& bytes, TimePoint now) override;

    zone::Membership& membership() { return _membership; }
    const zone::Membership& membership() const { return _membership; }
    zone::Placement& placement() { return _placement; }
    SimulatedReplica& replica() { return _replica; }
    zone::SettingsDistributor& distributor() { return _distributor; }
    const ViewChanges& viewChanges() const { return _viewChanges; }

    /** @return whether the node holds another one as live. */
    bool seesLive(const NodeName& name) const;

private:
    void send(const zone::PeerAddress& to, const zone::MembershipMessage& message) override;
    void onMemberChanged(const zone::Member& member, zone::TableChange change) override;
    void send(const zone::PeerReference& to, const zone::DistributionMessage& message) override;

    simulation::HostId _host;
    SimulatedEnvironment& _environment;
    SeededRandom _random;
    SimulatedReplica _replica;
    zone::Membership _membership;
    zone::Placement _placement;
    zone::SettingsDistributor _distributor;
    TimePoint _nextPlatformCheck;
    ViewChanges _viewChanges;
};

}  // namespace coralhoist::estate
