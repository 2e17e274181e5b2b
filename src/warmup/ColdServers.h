/** Which servers are cold after their start, and until when. */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/Identifier.h"
#include "base/StoreVersion.h"
#include "base/Time.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::warmup {

/** What the settings say of a group's servers after their start. */
struct WarmupTerms {
    /** Requests that a cold server takes in a second; 0: as many as at other times. */
    double requestsPerSecond = 0;
    /** Time for which a server is cold after its start. */
    Duration coldStart{0};

    bool operator==(const WarmupTerms&) const = default;
};

/**
 * Takes servers' entries and what connections show. The time that an entry tells is counted from
 * when that version of it was heard, which is never too short: the entry has an age by then. A
 * newer version replaces what an older one said, whether it says less or more.
 *
 * A server of which no connection of this node stands any more may have started again, under its
 * name, without its entry having been heard; it counts as cold until an entry of a newer version
 * is, or, once it can be reached again, for a whole cold start.
 */
class ColdServers {
public:
    using Groups = std::map<GroupName, WarmupTerms>;

    /** Takes the groups whose servers start cold; of others no server is cold. */
    void applyGroups(Groups groups, TimePoint now);

    /** The servers of a group have been heard. */
    void applyServers(const GroupName& group, const pooling::ServerDirectory::Servers& servers,
                      TimePoint now);

    /** The last connection to the server was lost, or none could be opened. */
    void noteLost(const GroupName& group, const ServerName& server, TimePoint now);

    /** A connection to the server was opened. */
    void noteOpened(const GroupName& group, const ServerName& server, TimePoint now);

    bool isCold(const GroupName& group, const ServerName& server, TimePoint now) const;

    /** @return until when the server's own entry says that it is cold; a time in the past where it
     * does not. */
    TimePoint toldUntil(const GroupName& group, const ServerName& server) const;

    /** @return whether a server of the group takes work and is warm. */
    bool hasWarm(const GroupName& group, TimePoint now) const;

    /** @return servers of the group that take work. */
    std::size_t servingCount(const GroupName& group) const;

    /** @return servers that are cold now, of all groups. */
    std::size_t coldCount(TimePoint now) const;

    /** @return when the first of the servers that are cold becomes warm, or has become so without
     * `takeWarmed` having told it; max for none. */
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

    /** @return servers of a group that are listed now, by name. */
    std::vector<ServerName> listed(const GroupName& group) const;

private:
    struct Known {
        StoreVersion version;
        /** By its entry, and by a connection after all were lost. */
        TimePoint toldUntil{};
        TimePoint suspectedUntil{};
        bool serves = false;
        /** No connection of this node stands: it may have started again. */
        bool mayHaveRestarted = false;
        /** It was cold, and that it is warm has not been told. */
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
