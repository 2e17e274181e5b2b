/** The servers of all groups as their own announcements in the platform's store tell. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/Identifier.h"
#include "base/StoreVersion.h"
#include "base/Time.h"
#include "pooling/ServerLink.h"

namespace coralhoist::pooling {

/** What a server says it is. */
enum class ServerRole { Primary, Replica };

/** One server's announcement. */
struct ServerAnnouncement {
    ServerAddress address;
    ZoneName zone;
    std::uint32_t slots = 1;
    bool draining = false;
    ServerRole role = ServerRole::Replica;
    /** How much longer it was cold from its start when it wrote this. */
    Duration coldFor{0};
    /** Counts what the server has written in this life; 0 where it does not tell. */
    std::uint64_t sequence = 0;
    /** Version of the announcement in the store; a later one is higher. */
    StoreVersion version;

    bool operator==(const ServerAnnouncement&) const = default;
};

/** A server and whether its announcement still stands. */
struct ListedServer {
    ServerAnnouncement announcement;
    /** Whether the announcement has been removed; it is kept for a while. */
    bool removed = false;
    TimePoint removedAt{};
    /** Whether the server has been seen to live again under its id: this life is over for good. */
    bool superseded = false;
};

/**
 * Announcements by server. Invariants: an announcement never replaces one of a higher version, so
 * that late lists and events change nothing back; of the lives of a server one is listed at most.
 *
 * A life that was followed by another does not come back while it is remembered, whatever the
 * version of its announcement: the store may carry out a write of it seconds late. Ordering lives
 * by the moment of their start would trust clocks; ordering them by versions alone would take such
 * a late write for the present life.
 *
 * A store that has returned older shows what servers had written before: an announcement of a lower
 * sequence changes nothing back, so that nobody sends to a server again that drains. Servers that
 * its lists lack stay listed for as long as they may take to write again.
 */
class ServerDirectory {
public:
    using Servers = std::map<ServerName, ListedServer>;

    /** Takes one announcement. @return whether anything changed. */
    bool put(const ServerAnnouncement& announcement, TimePoint now);

    /**
     * An announcement of this or a lower version was removed.
     * @param server a life, or the id alone for whichever life is listed.
     * @return whether it was known.
     */
    bool remove(const ServerName& server, const StoreVersion& version, TimePoint now);

    /**
     * Takes a whole list of the store.
     * @param version of the list: what it lacks and is older was removed.
     */
    void replaceAll(const std::vector<ServerAnnouncement>& announcements,
                    const StoreVersion& version, TimePoint now);

    /** Removes servers that have not been shown again in time since the store returned older. */
    void removeUnconfirmed(TimePoint now);

    /** @return the groups with servers that have changed since the last call. */
    std::set<GroupName> takeChanged() { return std::exchange(_changed, {}); }

    /** Forgets servers removed for longer than the retention. */
    void expire(TimePoint now, Duration retention);

    /** @return the servers of a group, removed ones included; empty for an unknown group. */
    const Servers& serversOf(const GroupName& group) const;

    /** @return the group of a server by its id, removed or not; an empty name for one that is not
     * known. */
    GroupName groupOf(const ServerName& server) const;

    const std::map<GroupName, Servers>& groups() const { return _groups; }

    /** @return servers that were looked at to take announcements and removals, ever. */
    std::uint64_t serversExamined() const { return _serversExamined; }

private:
    /** One life of a server, where it is listed. */
    struct Life {
        const GroupName& group;
        const ServerName& name;
        ListedServer& listed;
    };

    bool isForeign(const ServerAnnouncement& announcement);
    bool supersede(const ServerAnnouncement& announcement, TimePoint now);
    void noteEra(std::uint64_t era, TimePoint now);
    bool mayBeWrittenAgain(const ListedServer& listed, TimePoint now) const;
    void markRemoved(const GroupName& group, ListedServer& listed, TimePoint now);
    std::vector<Life> livesOf(const std::string& id);
    void expireIn(const GroupName& group, Servers& servers, TimePoint before);
    void forgetIfUnlisted(const std::string& id, const GroupName& group, const Servers& servers);

    std::map<GroupName, Servers> _groups;
    /** Groups in which lives of an id are listed, so that an announcement costs the same whatever
     * the number of servers. */
    std::map<std::string, std::set<GroupName>> _groupsOfId;
    /** Groups that have changed since they were taken. */
    std::set<GroupName> _changed;
    std::uint64_t _serversExamined = 0;
    /** Newest era of a list, and when the first one of it was taken. */
    std::uint64_t _era = 0;
    TimePoint _eraSince{};
};

}  // namespace coralhoist::pooling
