/** Proxies made of the real decision classes: a router a node, an executor a group and owner. */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "contract/GroupRouter.h"
#include "lab/contract/SimulatedProxy.h"
#include "lab/experiment/Deployment.h"
#include "lab/experiment/LinkExecutor.h"
#include "lab/experiment/ProxySystem.h"

namespace coralhoist::experiment {

/**
 * Every group has one active and one standby owner in different zones; the other proxies forward.
 * Membership is not part of it: when an owner dies, all proxies change its groups' owners after the
 * scenario's detection time.
 */
class CoralhoistSystem final : public ProxySystem, private contract::OwnerDirectory {
public:
    /** @param deployment outlives the system. */
    explicit CoralhoistSystem(Deployment& deployment);
    ~CoralhoistSystem() override;

    void submit(std::size_t proxy, contract::ExecutionRequest request,
                contract::ResponseSink& sink) override;
    void endSession(std::size_t proxy, SessionId session) override;
    bool isAlive(std::size_t proxy) const override;
    void kill(std::size_t proxy) override;
    QueueLengths queueLengths() const override;

private:
    class Node;
    /** Owners of one group, by number of their proxies. */
    struct Ownership {
        std::size_t active = 0;
        std::size_t standby = 0;
    };

    std::vector<NodeName> owners(const GroupName& group) const override;
    void assign(std::size_t group, const Ownership& ownership);
    void startExecutor(std::size_t group, std::size_t proxy, contract::OwnerRole role);
    void setShare(simulation::SimulatedProxy& executor, const settings::GroupSettings& settings,
                  const contract::ConnectionShare& share);
    void replaceOwner(std::size_t proxy);
    std::size_t nextAlive(std::size_t proxy) const;

    Deployment& _deployment;
    WireNumbers _numbers;
    std::vector<settings::GroupSettings> _settings;
    std::vector<Ownership> _ownerships;
    std::vector<std::unique_ptr<Node>> _nodes;
};

}  // namespace coralhoist::experiment
