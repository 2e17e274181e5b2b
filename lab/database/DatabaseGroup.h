/** A stand-in database group in this process. */
#pragma once

#include <cstdint>
#include <vector>

#include "base/Status.h"
#include "lab/database/Election.h"
#include "lab/database/Fault.h"
#include "lab/database/Options.h"
#include "lab/database/Replicator.h"
#include "lab/database/Switchover.h"

namespace coralhoist::lab::database {

/**
 * A group of servers that listen on ports of their own. Lives on the Qt event loop of the thread
 * that creates it; tests run it beside their clients.
 */
class DatabaseGroup {
public:
    /** @param options at least one server, with distinct names. */
    explicit DatabaseGroup(GroupOptions options);
    ~DatabaseGroup();
    DatabaseGroup(const DatabaseGroup&) = delete;
    DatabaseGroup& operator=(const DatabaseGroup&) = delete;

    /**
     * Runs the initial SQL on all servers and opens their ports.
     * @return InvalidArgument when the SQL fails, Unavailable when a port is taken.
     */
    Status start();

    const GroupOptions& options() const { return _options; }
    const Servers& servers() const { return _servers; }
    /** @return the ports in the order of the servers. */
    std::vector<std::uint16_t> ports() const;
    /** @return the server, or null. */
    Server* find(const ServerName& name) const;
    /** @return the primary of the newest term, or null when none leads. */
    Server* primary() const;

    /**
     * Puts a fault on a server or ends one.
     * @return NotFound for an unknown server, Unavailable when the action can't be done now.
     */
    Status apply(const FaultCommand& command);

private:
    Status runInitialSql();
    Status switchOver(Server& successor);
    void leave(Server& server, Duration after);
    void shutDown(Server& server);
    Server* bestSuccessor(const Server& leaving) const;

    GroupOptions _options;
    TimerQueue _timers;
    StatementAnalyzer _analyzer;
    Servers _servers;
    Replicator _replicator;
    Election _election;
    Switchover _switchover;
};

}  // namespace coralhoist::lab::database
