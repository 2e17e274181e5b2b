#include "lab/soak/ServerEntries.h"

#include <chrono>

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration kHeartbeat = milliseconds(50);
/** The entry of a server that is silent for so long is removed. */
constexpr Duration kEntryLife = milliseconds(1500);
constexpr const char* kServers = "servers";
constexpr int kAnnouncedSlots = 3;

}  // namespace

QString loopbackAddress(std::uint16_t port) {
    return "127.0.0.1:" + QString::number(port);
}

ServerEntries::ServerEntries(simulation::EventQueue& queue, pooled::LogGroup& group,
                             StandInStore& store)
    : _queue(queue), _group(group), _store(store) {}

void ServerEntries::start() {
    beat();
}

void ServerEntries::lapse(const ServerName& server) {
    _entries[server].heartbeatsLost = true;
    _store.remove(kServers, server.value());
}

void ServerEntries::resume(const ServerName& server) {
    _entries[server].heartbeatsLost = false;
}

/** A store that is down takes no heartbeats and removes no entries. */
bool ServerEntries::isHeard(const ServerName& server) const {
    return !_entries.at(server).heartbeatsLost && _group.server(server).running;
}

void ServerEntries::beat() {
    const bool storeIsDown = _store.faults().isDown();
    for (const pooling::ServerAnnouncement& announcement : _group.announcements()) {
        const ServerName& server = announcement.address.server;
        Entry& entry = _entries[server];
        const bool heard = isHeard(server);
        if (heard || storeIsDown) {
            entry.heardAt = _queue.now();
        }
        if (storeIsDown) {
            continue;
        }
        if (heard) {
            const bool primary = announcement.role == pooling::ServerRole::Primary;
            _store.put(kServers, server.value(),
                       {{"service", QString::fromStdString(_group.name().value())},
                        {"addr", loopbackAddress(entry.port)},
                        {"zone", QString::fromStdString(entry.zone.value())},
                        {"version", "v1"},
                        {"slots", kAnnouncedSlots},
                        {"state", announcement.draining ? "draining" : "ready"},
                        {"db_role", primary ? "primary" : "replica"}});
        } else if (_queue.now() - entry.heardAt >= kEntryLife) {
            _store.remove(kServers, server.value());
        }
    }
    _queue.after(kHeartbeat, [this] { beat(); });
}

}  // namespace coralhoist::soak
