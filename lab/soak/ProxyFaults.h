/** Faults of proxy processes: signals, restarts, changed settings. */
#pragma once

#include <memory>
#include <vector>

#include "lab/soak/FaultHealing.h"
#include "lab/soak/ProxyProcess.h"
#include "lab/soak/SoakPlan.h"

namespace coralhoist::soak {

/** Strikes one proxy of those that run. References outlive the faults. */
class ProxyFaults {
public:
    ProxyFaults(FaultHealing& healing, std::vector<std::unique_ptr<ProxyProcess>>& proxies)
        : _healing(healing), _proxies(proxies) {}

    void kill(const PlannedFault& planned);
    void pause(const PlannedFault& planned);
    void stop(const PlannedFault& planned);
    /** Several signals in quick succession; those to come don't wait for those before. */
    void signalSeries(const PlannedFault& planned);
    void changeSettings(const PlannedFault& planned);

private:
    ProxyProcess& proxyOf(const PlannedFault& planned);

    FaultHealing& _healing;
    std::vector<std::unique_ptr<ProxyProcess>>& _proxies;
};

}  // namespace coralhoist::soak
