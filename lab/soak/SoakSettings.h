/** Settings that change in quick succession in a soak, and what judges how soon they are in force.
 */
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/soak/SettingsProbe.h"
#include "lab/soak/SettingsStorm.h"

namespace coralhoist::soak {

/** Each change adds a database; the oldest is dropped once there are many. */
class SoakSettings {
public:
    /**
     * @param write writes the configuration with the databases of now.
     */
    SoakSettings(simulation::EventQueue& queue, std::uint64_t seed, StoreFaults& store,
                 std::vector<std::unique_ptr<ProxyProcess>>& proxies,
                 std::vector<std::unique_ptr<FaultyRelay>>& storeRelays, RelaysByName& peerRelays,
                 SoakTimeline& timeline, std::function<void()> write);

    /** Probes all proxies and plays trouble for the length. */
    void play(Duration length);
    void healAll() { _storm.healAll(); }
    /** Trouble of the store that others make begins or ends. */
    void setStoreTroubled(bool troubled) { _judge.setStoreTroubled(troubled); }
    /** Changes nothing and asks nothing more. */
    void stop();

    /** @return names of the databases that the settings hold now. */
    const std::deque<std::string>& databases() const { return _databases; }

    const SettingsJudge& judge() const { return _judge; }
    std::size_t begun() const { return _storm.begun(); }

private:
    void change();

    simulation::EventQueue& _queue;
    std::vector<std::unique_ptr<ProxyProcess>>& _proxies;
    std::function<void()> _write;
    SettingsJudge _judge;
    SettingsStorm _storm;
    std::vector<std::unique_ptr<SettingsProbe>> _probes;
    std::deque<std::string> _databases;
    std::size_t _changes = 0;
    bool _stopped = false;
};

}  // namespace coralhoist::soak
