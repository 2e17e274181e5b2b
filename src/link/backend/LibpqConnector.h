/** The back-end connections of one group executor, over libpq. */
#pragma once

#include <QObject>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "contract/BackendConnector.h"
#include "link/backend/BackendConnection.h"
#include "link/backend/ConnectorOptions.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::backend {

/**
 * BackendConnector over libpq in non-blocking pipeline mode. Belongs to one thread, whose Qt event
 * loop delivers all events.
 */
class LibpqConnector final : public QObject, public contract::BackendConnector {
public:
    /** Finds the address of a server, or nothing when the settings do not know it. */
    using ServerLookup =
        std::function<std::optional<settings::ServerEndpoint>(const ServerName& server)>;

    /**
     * @param lookup asked at each open.
     * @param ownZone shown to the servers as application name "coralhoist/ZONE".
     * @param events outlives the connector.
     */
    LibpqConnector(ServerLookup lookup, BackendCredentials credentials, ZoneName ownZone,
                   contract::BackendEvents& events, ConnectorOptions options = {});

    /** As above, for servers that never change. */
    LibpqConnector(std::vector<settings::ServerEndpoint> servers, BackendCredentials credentials,
                   ZoneName ownZone, contract::BackendEvents& events,
                   ConnectorOptions options = {});

    ~LibpqConnector() override;

    ConnectionId open(const ServerName& server) override;
    void run(ConnectionId connection, contract::BackendProgram program) override;
    void cancel(ConnectionId connection) override;
    void setReading(ConnectionId connection, bool reading) override;
    void close(ConnectionId connection) override;

    /** Identity for connections that are opened from now on. */
    void setCredentials(BackendCredentials credentials);

private:
    struct Entry {
        BackendConnection* connection = nullptr;
        settings::ServerEndpoint server;
    };

    BackendConnection* find(ConnectionId connection) const;
    void forget(ConnectionId connection);

    ServerLookup _lookup;
    BackendCredentials _credentials;
    ZoneName _ownZone;
    contract::BackendEvents& _events;
    ConnectorOptions _options;
    std::uint64_t _lastNumber = 0;
    std::unordered_map<ConnectionId, Entry> _connections;
    std::size_t _cancelsUnderWay = 0;
};

}  // namespace coralhoist::backend
