/** The outside world of one run: virtual time, database groups and what goes wrong with them. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/contract/SimulatedGroup.h"
#include "lab/experiment/Scenario.h"
#include "lab/simulation/EventQueue.h"

namespace coralhoist::experiment {

/** Statements of the load, as the simulated servers understand them. */
std::string searchStatement(std::size_t loadClass);
std::string writeStatement(simulation::WriteNumber write);
std::string holdsStatement(simulation::WriteNumber write);

/** The status query that the simulated servers understand. */
inline constexpr const char* kStatusQuery = "status";

/** Simulated groups with the sizes, delays and service times of a scenario. */
class Deployment {
public:
    Deployment(const Scenario& scenario, std::uint64_t seed);

    const Scenario& scenario() const { return _scenario; }
    simulation::EventQueue& queue() { return _queue; }
    RandomSource& random() { return _random; }
    simulation::SimulatedGroup& group(std::size_t index) { return *_groups[index]; }

    /** @return settings under which a proxy uses a group. */
    settings::GroupSettings groupSettings(std::size_t group) const;

    /** Starts a fault of a group and schedules its end. Faults of proxies are not its job. */
    void begin(const FaultEvent& fault);
    /** Ends all faults of all groups. */
    void healAll();

    /** @return connections that all servers together have open. */
    std::size_t openConnections() const;
    /** @return all writes of a group's newest primary. */
    std::vector<simulation::WriteNumber> writes(std::size_t group) const;

private:
    Duration serviceTime(const contract::StatementStep& step);

    const Scenario& _scenario;
    simulation::EventQueue _queue;
    SeededRandom _random;
    std::vector<std::unique_ptr<simulation::SimulatedGroup>> _groups;
};

}  // namespace coralhoist::experiment
