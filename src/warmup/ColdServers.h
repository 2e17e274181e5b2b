/** Tracks which servers are cold after their start, and until when. */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/Identifier.h"
#include "base/StoreVersion.h"
#include "base/Time.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::warmup {

/** The settings for a group's servers after their start. */
struct WarmupTerms {
    /** Requests that a cold server accepts in a second; 0: no limit beyond the usual one. */
    double requestsPerSecond = 0;
    /** Time for which a server is cold after its start. */
    Duration coldStart{0};

    bool operator==(const WarmupTerms&) const = default;
};

/**
 * Takes servers' directory entries and the state of connections to them. The time for which an
 * entry declares a server cold is counted from when that version of the entry was received. This is
 * never too short, because the entry has an age by then. A newer version replaces an older one,
 * whether it declares a shorter or a longer time.
 *
 * A server to which this node has no connection left may have restarted under its name without its
 * new entry having been received. It counts as cold until an entry of a newer version is received
 * or, once the server can be reached again, for a whole cold start.
 */
class ColdServers {
public:
    using Groups = std::map<GroupName, WarmupTerms>;

    /** Takes the groups whose servers start cold; in other groups no server is cold. */
    void applyGroups(Groups groups, TimePoint now);

    /** Takes the entries of a group's servers that have been received. */
    void applyServers(const GroupName& group, const pooling::ServerDirectory::Servers& servers,
                      TimePoint now);

    /** Records that the last connection to the server was lost, or that none could be opened. */
    void noteLost(const GroupName& group, const ServerName& server, TimePoint now);

    /** Records that a connection to the server was opened. */
    void noteOpened(const GroupName& group, const ServerName& server, TimePoint now);

    bool isCold(const GroupName& group, const ServerName& server, TimePoint now) const;

    /**
     * @return until when the server's own entry declares it cold; a time in the past where it does
     * not.
     */
    TimePoint announcedUntil(const GroupName& group, const ServerName& server) const;

    /** @return whether a server of the group takes work and is warm. */
    bool hasWarm(const GroupName& group, TimePoint now) const;

    /** @return the number of servers of the group that take work. */
    std::size_t servingCount(const GroupName& group) const;

    /** @return the number of servers of all groups that are cold now. */
    std::size_t coldCount(TimePoint now) const;

    /**
     * @return when the first of the cold servers becomes warm, or became warm without having been
     * returned by `takeWarmed`; max for none.
     */
    TimePoint nextWarm() const;

    /** One server of a group. */
    struct Server {
        GroupName group;
        ServerName server;
    };

    /** @return servers that have become warm since the last call. */
    std::vector<Server> takeWarmed(TimePoint now);

    /** @return the groups whose servers start cold. */
    const Groups& groups() const { return _groups; }

    /** @return the names of the group's servers that are listed now. */
    std::vector<ServerName> listed(const GroupName& group) const;

private:
    struct Known {
        StoreVersion version;
        /** When the cold time ends: according to the server's entry, and as counted from the first
         * connection that was opened after all connections had been lost. */
        TimePoint announcedUntil{};
        TimePoint suspectedUntil{};
        bool serves = false;
        /** This node has no connection to the server: it may have restarted. */
        bool mayHaveRestarted = false;
        /** The server was cold, and `takeWarmed` has not returned it as warm yet. */
        bool isWarming = false;
    };

    void noteCold(const GroupName& group, const ServerName& server, Known& known, TimePoint now);
    Known* find(const GroupName& group, const ServerName& server);

    const Known* find(const GroupName& group, const ServerName& server) const;
    bool isCold(const Known& known, TimePoint now) const;

    Groups _groups;
    std::map<GroupName, std::map<ServerName, Known>> _servers;
};

}  // namespace coralhoist::warmup
