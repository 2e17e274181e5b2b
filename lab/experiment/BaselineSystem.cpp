#include "lab/experiment/BaselineSystem.h"

#include <algorithm>
#include <utility>

namespace coralhoist::experiment {

BaselineSystem::BaselineSystem(Deployment& deployment, BaselinePolicy policy)
    : _alive(deployment.scenario().proxyCount(), true) {
    const Scenario& scenario = deployment.scenario();
    // One connection of each proxy looks at the server; one share stays free for new ones.
    const std::size_t shares = scenario.groups.connections / scenario.proxyCount();
    policy.connectionsPerServer = std::max<std::size_t>(1, shares > 1 ? shares - 1 : 1);
    policy.checkInterval = scenario.failures.baselineCheckInterval;
    for (std::size_t proxy = 0; proxy < scenario.proxyCount(); ++proxy) {
        _clients.emplace_back();
        for (std::size_t group = 0; group < scenario.groups.count; ++group) {
            _clients.back().push_back(std::make_unique<BaselineClient>(
                deployment, group, scenario.zoneOfProxy(proxy), policy));
            _groups.emplace(deployment.groupSettings(group).name, group);
        }
    }
}

void BaselineSystem::submit(std::size_t proxy, contract::ExecutionRequest request,
                            contract::ResponseSink& sink) {
    const std::size_t group = _groups.at(request.group);
    _clients[proxy][group]->submit(std::move(request), sink);
}

void BaselineSystem::kill(std::size_t proxy) {
    _alive[proxy] = false;
    for (const auto& client : _clients[proxy]) {
        client->die();
    }
}

QueueLengths BaselineSystem::queueLengths() const {
    QueueLengths lengths;
    for (std::size_t proxy = 0; proxy < _clients.size(); ++proxy) {
        for (const auto& client : _clients[proxy]) {
            lengths.ordinary += _alive[proxy] ? client->waiting() : 0;
        }
    }
    return lengths;
}

}  // namespace coralhoist::experiment
