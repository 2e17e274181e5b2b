/** Keeps the entries of the simulated servers in the stand-in store. */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "lab/pooled/LogGroup.h"
#include "lab/simulation/EventQueue.h"
#include "lab/soak/StandInStore.h"

namespace coralhoist::soak {

/** Writes each server's entry by heartbeats; the entry of a silent server lapses. */
class ServerEntries {
public:
    /** References outlive the entries. */
    ServerEntries(simulation::EventQueue& queue, pooled::LogGroup& group, StandInStore& store);

    /** Tells on which port a server listens. */
    void setPort(const ServerName& server, std::uint16_t port) { _entries[server].port = port; }

    /** Tells in which zone a server stands, where it isn't the proxies' one. */
    void setZone(const ServerName& server, const ZoneName& zone) { _entries[server].zone = zone; }

    /** Sends the heartbeats from now on. */
    void start();

    /** Removes the entry of a server that lives, and loses its heartbeats until resume(). */
    void lapse(const ServerName& server);
    void resume(const ServerName& server);

private:
    struct Entry {
        std::uint16_t port = 0;
        ZoneName zone{"z"};
        TimePoint heardAt{};
        bool heartbeatsLost = false;
    };

    void beat();
    bool isHeard(const ServerName& server) const;

    simulation::EventQueue& _queue;
    pooled::LogGroup& _group;
    StandInStore& _store;
    std::map<ServerName, Entry> _entries;
};

/** @return the address of a port on loopback, as entries name it. */
QString loopbackAddress(std::uint16_t port);

}  // namespace coralhoist::soak
