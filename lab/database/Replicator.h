/** Replication from the primaries of a group to its other servers. */
#pragma once

#include <memory>
#include <vector>

#include "lab/database/Server.h"

namespace coralhoist::lab::database {

/** The servers of one group, in the order of the options. */
using Servers = std::vector<std::unique_ptr<Server>>;

/** @return whether messages pass between two servers. */
bool areConnected(const Server& first, const Server& second);

/**
 * Sends heartbeats and log entries from each server that believes to be primary to all others, over
 * links with the delay of their zones and the group's and the replica's extra delay. Messages pass
 * if the two ends are connected on arrival. A server that has voted in a newer term ignores them.
 */
class Replicator {
public:
    Replicator(TimerQueue& timers, const GroupOptions& options, const Servers& servers);
    ~Replicator();
    Replicator(const Replicator&) = delete;
    Replicator& operator=(const Replicator&) = delete;

    /** Starts the heartbeats. */
    void start();

    /** Sends what a primary has appended. */
    void onAppended(Server& primary);

    /** @return the one-way delay of a message of the group. */
    Duration delay(const Server& from, const Server& to) const;

private:
    /** What was sent on the link between two servers. */
    struct Link {
        Server* from = nullptr;
        Server* to = nullptr;
        Term term = 0;
        LogPosition sent = 0;
        /** Messages on the way. */
        int inFlight = 0;
    };

    void beat();
    void sendHeartbeat(Link& link);
    void sendEntries(Link& link);
    void deliverHeartbeat(Link& link, Term term);
    void deliverEntries(Link& link, Term term, const std::vector<LogEntryPointer>& entries);
    void acknowledge(Link& link, Term term);
    bool isValid(const Link& link, Term term) const;

    TimerQueue& _timers;
    const GroupOptions& _options;
    const Servers& _servers;
    std::vector<Link> _links;
    std::optional<TimerId> _beat;
};

}  // namespace coralhoist::lab::database
