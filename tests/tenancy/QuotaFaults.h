/** Random faults of nodes, links, node lists, responses and the store, for a simulated network. */
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/Time.h"
#include "tests/tenancy/QuotaNetwork.h"

namespace coralhoist::tenancy {

/** Injects faults that begin at random times, overlap and are repaired. */
class QuotaFaults {
public:
    QuotaFaults(QuotaNetwork& network, std::size_t nodes, std::mt19937& random);

    /** Injects one more fault of a random kind. */
    void begin(Duration now);
    /** Partitions the network into sides that all reach the store. */
    void cutIntoSides(Duration now, Duration length);
    /**
     * Injects a fault that matters during a network partition: of the leader, of deputies, of the
     * store, or of links.
     */
    void beginBesideCut(Duration now);
    /** Makes the store unavailable, then restores it from a copy that is up to 4 s old. */
    void returnStoreOlder(Duration now);
    /** Repairs the faults that are due. */
    void step(Duration now);
    void healAll();

    /** @return a description of the injected faults, for failure messages. */
    const std::string& story() const { return _story; }

private:
    using Kind = void (QuotaFaults::*)(Duration now, Duration length);

    std::size_t anyNode();
    std::size_t leaderOrAny();
    std::size_t deputyOrAny();
    Duration anyLength();
    std::set<std::size_t> anyNodes();
    void note(const char* what, Duration now, Duration length);
    void heal(Duration at, std::function<void()> action) { _heals.emplace(at, std::move(action)); }

    void slowAnswers(Duration now, Duration length);
    void slowNodes(Duration now, Duration length);
    void kill(Duration now, Duration length);
    void killMany(Duration now, Duration length);
    void restart(Duration now, Duration length);
    void freeze(Duration now, Duration length);
    void leave(Duration now, Duration length);
    void cutOff(Duration now, Duration length);
    void cutFromEachOther(Duration now, Duration length);
    void cutLinks(Duration now, Duration length);
    void hideNodes(Duration now, Duration length);
    void storeDown(Duration now, Duration length);
    void storeSlow(Duration now, Duration length);
    void storeLosesAnswers(Duration now, Duration length);
    void storeCut(Duration now, Duration length);
    void killDeputy(Duration now, Duration length);
    void freezeDeputy(Duration now, Duration length);
    void restartDeputy(Duration now, Duration length);

    QuotaNetwork& _network;
    std::size_t _nodes;
    std::mt19937& _random;
    std::multimap<Duration, std::function<void()>> _heals;
    std::string _story;
};

}  // namespace coralhoist::tenancy
