/** The servers of all groups as announced by the servers themselves in the platform's store. */
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

/** The role that a server announces. */
enum class ServerRole { Primary, Replica };

struct ServerAnnouncement {
    ServerAddress address;
    ZoneName zone;
    std::uint32_t slots = 1;
    bool draining = false;
    ServerRole role = ServerRole::Replica;
    /** Remaining warm-up time after the server's start, as of when it wrote this announcement. */
    Duration coldFor{0};
    /** Counter of the server's writes in this incarnation; 0 where the server does not report it.
     */
    std::uint64_t sequence = 0;
    /** Version of the announcement in the store; a later one is higher. */
    StoreVersion version;

    bool operator==(const ServerAnnouncement&) const = default;
};

/** A server and whether its announcement is still valid. */
struct ListedServer {
    ServerAnnouncement announcement;
    /** Whether the announcement has been removed; a removed one is kept for a while. */
    bool removed = false;
    TimePoint removedAt{};
    /** Whether a newer incarnation was seen under the server's id: this incarnation has ended for
     * good. */
    bool superseded = false;
};

/**
 * Announcements by server. Invariants: an announcement never replaces one of a higher version, so
 * that late lists and events do not revert anything; at most one incarnation of a server is listed.
 *
 * An incarnation that was followed by another is not listed again while it is remembered, whatever
 * the version of its announcement: the store may carry out a write of it seconds late. Ordering
 * incarnations by their start times would rely on synchronized clocks; ordering them by versions
 * alone would treat such a late write as the present incarnation.
 *
 * A store that has reverted to an older state returns what servers had written earlier: an
 * announcement with a lower sequence does not revert anything, so that no node sends to a draining
 * server again. Servers that the store's lists lack stay listed for as long as they may take to
 * write their announcements again.
 */
class ServerDirectory {
public:
    using Servers = std::map<ServerName, ListedServer>;

    /** Adds one announcement. @return whether anything changed. */
    bool put(const ServerAnnouncement& announcement, TimePoint now);

    /**
     * An announcement of this or a lower version was removed.
     * @param server an incarnation, or only the id for whichever incarnation is listed.
     * @return whether the announcement was known.
     */
    bool remove(const ServerName& server, const StoreVersion& version, TimePoint now);

    /**
     * Applies a complete list of the store.
     * @param version version of the list: an announcement that is missing from the list and is not
     * newer than the list was removed.
     */
    void replaceAll(const std::vector<ServerAnnouncement>& announcements,
                    const StoreVersion& version, TimePoint now);

    /** Removes servers that have not announced themselves in time after the store reverted to an
     * older state. */
    void removeUnconfirmed(TimePoint now);

    /** @return the groups with servers that have changed since the last call. */
    std::set<GroupName> takeChanged() { return std::exchange(_changed, {}); }

    /** Forgets servers that were removed longer ago than the retention. */
    void expire(TimePoint now, Duration retention);

    /** @return the servers of a group, including removed ones; empty for an unknown group. */
    const Servers& serversOf(const GroupName& group) const;

    /** @return the group of a server by its id, removed or not; an empty name for an unknown
     * server. */
    GroupName groupOf(const ServerName& server) const;

    const std::map<GroupName, Servers>& groups() const { return _groups; }

    /** @return the total number of servers that were examined to process announcements and
     * removals. */
    std::uint64_t serversExamined() const { return _serversExamined; }

private:
    /** A listed incarnation of a server and where it is listed. */
    struct ListedIncarnation {
        const GroupName& group;
        const ServerName& name;
        ListedServer& listed;
    };

    bool isForeign(const ServerAnnouncement& announcement);
    bool supersede(const ServerAnnouncement& announcement, TimePoint now);
    void noteEra(std::uint64_t era, TimePoint now);
    bool mayBeWrittenAgain(const ListedServer& listed, TimePoint now) const;
    void markRemoved(const GroupName& group, ListedServer& listed, TimePoint now);
    std::vector<ListedIncarnation> incarnationsOf(const std::string& id);
    void expireIn(const GroupName& group, Servers& servers, TimePoint before);
    void forgetIfUnlisted(const std::string& id, const GroupName& group, const Servers& servers);

    std::map<GroupName, Servers> _groups;
    /** Groups in which incarnations of an id are listed, so that the cost of an announcement does
     * not depend on the number of servers. */
    std::map<std::string, std::set<GroupName>> _groupsOfId;
    /** Groups that have changed since the last takeChanged(). */
    std::set<GroupName> _changed;
    std::uint64_t _serversExamined = 0;
    /** Newest era of a list, and when the first list of it was received. */
    std::uint64_t _era = 0;
    TimePoint _eraSince{};
};

}  // namespace coralhoist::pooling
