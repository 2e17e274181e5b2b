/** What an experiment measures: a set of proxies that callers send requests to. */
#pragma once

#include <cstddef>
#include <string>

#include "contract/Execution.h"

namespace coralhoist::experiment {

/** Requests that wait in the proxies. */
struct QueueLengths {
    std::size_t urgent = 0;
    std::size_t ordinary = 0;
};

/** Several proxies before the groups of a Deployment. */
class ProxySystem {
public:
    virtual ~ProxySystem() = default;

    /** @param sink outlives the request. @param proxy one that is alive. */
    virtual void submit(std::size_t proxy, contract::ExecutionRequest request,
                        contract::ResponseSink& sink) = 0;
    /** The session of a request that has ended is over. */
    virtual void endSession(std::size_t proxy, SessionId session) = 0;
    virtual bool isAlive(std::size_t proxy) const = 0;
    /** Ends a proxy without notice; its callers are told by whoever drives them. */
    virtual void kill(std::size_t proxy) = 0;
    virtual QueueLengths queueLengths() const = 0;
};

}  // namespace coralhoist::experiment
