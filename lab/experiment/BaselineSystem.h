/** The baselines: proxies that pool connections and keep no promise beyond that. */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "lab/experiment/BaselineClient.h"
#include "lab/experiment/ProxySystem.h"

namespace coralhoist::experiment {

/** Every proxy has its own part of each server's connections and works for itself. */
class BaselineSystem final : public ProxySystem {
public:
    /**
     * @param deployment outlives the system.
     * @param policy of all clients; the connections are set from the scenario.
     */
    BaselineSystem(Deployment& deployment, BaselinePolicy policy);

    void submit(std::size_t proxy, contract::ExecutionRequest request,
                contract::ResponseSink& sink) override;
    void endSession(std::size_t /*proxy*/, SessionId /*session*/) override {}
    bool isAlive(std::size_t proxy) const override { return _alive[proxy]; }
    void kill(std::size_t proxy) override;
    QueueLengths queueLengths() const override;

private:
    std::vector<std::vector<std::unique_ptr<BaselineClient>>> _clients;
    std::map<GroupName, std::size_t> _groups;
    std::vector<bool> _alive;
};

}  // namespace coralhoist::experiment
