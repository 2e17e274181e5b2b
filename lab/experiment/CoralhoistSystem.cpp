#include "lab/experiment/CoralhoistSystem.h"

#include <algorithm>
#include <utility>

#include "zone/ConnectionShare.h"

namespace coralhoist::experiment {
namespace {

NodeName nodeName(std::size_t proxy) {
    return NodeName("proxy" + std::to_string(proxy));
}

/** @return the connections of an owner, split as the placement splits them. */
contract::ConnectionShare shareOf(const settings::GroupSettings& settings,
                                  contract::OwnerRole role) {
    zone::GroupPlacement placement;
    zone::Owner active;
    active.name = NodeName("active");
    active.role = zone::OwnerRole::Active;
    zone::Owner standby;
    standby.name = NodeName("standby");
    standby.role = zone::OwnerRole::Standby;
    placement.owners = {active, standby};
    const bool isActive = role == contract::OwnerRole::Active;
    contract::ConnectionShare share;
    share.role = role;
    share.connectionsPerServer =
        zone::connectionShare(settings, placement, isActive ? active.name : standby.name);
    share.slotsPerServer = settings.slotsPerServer;
    return share;
}

}  // namespace

/** One proxy process. */
class CoralhoistSystem::Node final : public contract::ExecutorDirectory {
public:
    Node(CoralhoistSystem& system, std::size_t number)
        : _system(system),
          _number(number),
          _router(nodeName(number), system, *this, system._deployment.queue(),
                  system._deployment.random()) {}

    bool isAlive() const { return _alive; }
    contract::GroupRouter& router() { return _router; }

    /** Calls the router and sets its timer. */
    void call(const std::function<void()>& action) {
        if (_alive) {
            action();
            arm();
        }
    }

    simulation::SimulatedProxy* executorOf(const GroupName& group) {
        const auto found = _executors.find(group);
        return found == _executors.end() ? nullptr : found->second.get();
    }

    void setExecutor(const GroupName& group, std::unique_ptr<simulation::SimulatedProxy> executor) {
        _executors[group] = std::move(executor);
    }

    void die() {
        _alive = false;
        for (const auto& [group, executor] : _executors) {
            executor->die();
        }
    }

    void onPeerDied(std::size_t peer) {
        for (const auto& [key, link] : _links) {
            if (key.first == nodeName(peer)) {
                link->onTargetDied();
            }
        }
    }

    QueueLengths queueLengths() const {
        QueueLengths lengths;
        for (const auto& [group, executor] : _executors) {
            if (executor->isAlive()) {
                const contract::ExecutorStatistics statistics = executor->executor().statistics();
                lengths.urgent += statistics.urgentQueued;
                lengths.ordinary += statistics.ordinaryQueued;
            }
        }
        return lengths;
    }

private:
    contract::StatementExecutor* executor(const NodeName& node, const GroupName& group) override {
        const auto found = std::ranges::find_if(
            _system._nodes, [&](const auto& other) { return nodeName(other->_number) == node; });
        Node& owner = **found;
        if (&owner == this && executorOf(group) == nullptr) {
            return nullptr;
        }
        std::unique_ptr<LinkExecutor>& link = _links[{node, group}];
        if (!link) {
            link = std::make_unique<LinkExecutor>(endsTo(owner, group), _system._deployment.queue(),
                                                  _system._numbers);
        }
        return link.get();
    }

    LinkEnds endsTo(Node& owner, const GroupName& group) {
        const Scenario& scenario = _system._deployment.scenario();
        LinkEnds ends;
        if (&owner != this) {
            ends.delay = scenario.delayBetweenZones(scenario.zoneOfProxy(_number),
                                                    scenario.zoneOfProxy(owner._number));
        }
        ends.target = [&owner, group] { return owner.executorOf(group); };
        ends.callBack = [this](const std::function<void()>& action) { call(action); };
        return ends;
    }

    void arm() {
        const auto next = _router.nextTick();
        if (!next || *next >= _armedTime) {
            return;
        }
        _armedTime = *next;
        const std::uint64_t number = ++_armed;
        simulation::EventQueue& queue = _system._deployment.queue();
        queue.at(*next, [this, number, &queue] {
            if (number == _armed) {
                _armedTime = TimePoint::max();
                call([this, &queue] { _router.onTick(queue.now()); });
            }
        });
    }

    CoralhoistSystem& _system;
    std::size_t _number;
    contract::GroupRouter _router;
    std::map<GroupName, std::unique_ptr<simulation::SimulatedProxy>> _executors;
    std::map<std::pair<NodeName, GroupName>, std::unique_ptr<LinkExecutor>> _links;
    bool _alive = true;
    std::uint64_t _armed = 0;
    TimePoint _armedTime = TimePoint::max();
};

CoralhoistSystem::CoralhoistSystem(Deployment& deployment) : _deployment(deployment) {
    const Scenario& scenario = deployment.scenario();
    for (std::size_t proxy = 0; proxy < scenario.proxyCount(); ++proxy) {
        _nodes.push_back(std::make_unique<Node>(*this, proxy));
    }
    _ownerships.resize(scenario.groups.count);
    for (std::size_t group = 0; group < scenario.groups.count; ++group) {
        _settings.push_back(deployment.groupSettings(group));
        const std::size_t active = group % scenario.proxyCount();
        assign(group, {active, nextAlive(active)});
    }
}

CoralhoistSystem::~CoralhoistSystem() = default;

std::size_t CoralhoistSystem::nextAlive(std::size_t proxy) const {
    for (std::size_t step = 1; step < _nodes.size(); ++step) {
        const std::size_t next = (proxy + step) % _nodes.size();
        if (_nodes[next]->isAlive()) {
            return next;
        }
    }
    return proxy;
}

void CoralhoistSystem::assign(std::size_t group, const Ownership& ownership) {
    _ownerships[group] = ownership;
    startExecutor(group, ownership.active, contract::OwnerRole::Active);
    if (ownership.standby != ownership.active) {
        startExecutor(group, ownership.standby, contract::OwnerRole::Standby);
    }
}

void CoralhoistSystem::startExecutor(std::size_t group, std::size_t proxy,
                                     contract::OwnerRole role) {
    const settings::GroupSettings& settings = _settings[group];
    const contract::ConnectionShare share = shareOf(settings, role);
    Node& node = *_nodes[proxy];
    if (simulation::SimulatedProxy* running = node.executorOf(settings.name)) {
        setShare(*running, settings, share);
        return;
    }
    auto executor = std::make_unique<simulation::SimulatedProxy>(
        _deployment.group(group), settings, share, _deployment.queue(), _deployment.random());
    executor->connector().setZone(_deployment.scenario().zoneOfProxy(proxy));
    node.setExecutor(settings.name, std::move(executor));
}

/** An owner gets its new share in the steps that the daemon's allowance gives. */
void CoralhoistSystem::setShare(simulation::SimulatedProxy& executor,
                                const settings::GroupSettings& settings,
                                const contract::ConnectionShare& share) {
    const zone::ShareAllowanceOptions options = zone::allowanceOptions(settings);
    const TimePoint now = _deployment.queue().now();
    auto allowance = std::make_shared<zone::ShareAllowance>(options, _deployment.random());
    const auto standby = shareOf(settings, contract::OwnerRole::Standby).connectionsPerServer;
    allowance->setShare(standby, now - options.growthDelay);
    allowance->setShare(share.connectionsPerServer, now);
    const auto apply = [this, allowance, share, &executor] {
        contract::ConnectionShare granted = share;
        granted.connectionsPerServer = allowance->allowance(_deployment.queue().now());
        executor.call([&executor, granted] { executor.executor().setConnectionShare(granted); });
    };
    apply();
    _deployment.queue().after(options.growthDelay, apply);
}

std::vector<NodeName> CoralhoistSystem::owners(const GroupName& group) const {
    for (std::size_t index = 0; index < _settings.size(); ++index) {
        if (_settings[index].name == group) {
            return {nodeName(_ownerships[index].active), nodeName(_ownerships[index].standby)};
        }
    }
    return {};
}

void CoralhoistSystem::submit(std::size_t proxy, contract::ExecutionRequest request,
                              contract::ResponseSink& sink) {
    Node& node = *_nodes[proxy];
    node.call([&node, &request, &sink] { node.router().submit(std::move(request), sink); });
}

void CoralhoistSystem::endSession(std::size_t proxy, SessionId session) {
    Node& node = *_nodes[proxy];
    node.call([&node, session] { node.router().endSession(session); });
}

bool CoralhoistSystem::isAlive(std::size_t proxy) const {
    return _nodes[proxy]->isAlive();
}

void CoralhoistSystem::kill(std::size_t proxy) {
    _nodes[proxy]->die();
    for (const auto& node : _nodes) {
        node->onPeerDied(proxy);
    }
    _deployment.queue().after(_deployment.scenario().failures.ownerDetection,
                              [this, proxy] { replaceOwner(proxy); });
}

void CoralhoistSystem::replaceOwner(std::size_t proxy) {
    for (std::size_t group = 0; group < _ownerships.size(); ++group) {
        Ownership ownership = _ownerships[group];
        if (ownership.active == proxy) {
            assign(group, {ownership.standby, nextAlive(ownership.standby)});
        } else if (ownership.standby == proxy) {
            assign(group, {ownership.active, nextAlive(ownership.active)});
        }
    }
    for (const auto& node : _nodes) {
        node->call([&node] { node->router().onOwnersChanged(); });
    }
}

QueueLengths CoralhoistSystem::queueLengths() const {
    QueueLengths total;
    for (const auto& node : _nodes) {
        const QueueLengths lengths = node->queueLengths();
        total.urgent += lengths.urgent;
        total.ordinary += lengths.ordinary;
    }
    return total;
}

}  // namespace coralhoist::experiment
