/** A simulated group of servers with replicated logs. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/OpTime.h"
#include "lab/pooled/PooledJudge.h"
#include "lab/simulation/EventQueue.h"
#include "pooling/ServerDirectory.h"

namespace coralhoist::pooled {

/** How the model behaves. */
struct GroupModel {
    std::size_t servers = 3;
    Duration work = std::chrono::milliseconds(6);
    Duration replicationDelay = std::chrono::milliseconds(2);
    Duration applyDelay = std::chrono::milliseconds(8);
    Duration promoteDelay = std::chrono::milliseconds(300);
    /** Statements and orders that a server works on at a time; 0 is without limit. */
    std::size_t slots = 0;
    /** The announcement of a server that does not run is removed after three of these; 0 is never.
     */
    Duration heartbeat{0};
    /** A promotion that is carried out late is dropped when one with a higher fence has been
     * called.
     */
    bool checksFence = true;
    /** Replicas go on with the oldest primary, whatever they are told: the judge must find
     * violations. */
    bool ignoresPauses = false;
    /** Primaries answer a commit before a replica has it: the judge must find violations. */
    bool answersEarly = false;
};

/** One server. */
class LogServer {
public:
    ServerName name;
    /** Names that earlier runs had at the same address, with the same log. */
    std::vector<ServerName> formerNames;
    std::uint16_t port = 0;
    bool running = true;
    /** It has ended for good, and its log is gone. */
    bool left = false;
    /** Its announcement lacks in the store although it may run. */
    bool announcementLapsed = false;
    /** When it stopped, while it does not run. */
    TimePoint stoppedAt{};
    /** A run after a restart; connections of an earlier one are gone. */
    std::uint64_t life = 1;
    bool primary = false;
    Term term = 1;
    Term heldTerm = 0;
    /** Receives nothing although it is connected. */
    bool deaf = false;
    /** Receives nothing until then, for lack of time. */
    TimePoint stalledUntil{};
    /** Time until a status question or an order has a slot and is answered. */
    Duration orderDelay{0};
    /** Share of status questions and orders that it refuses for want of a slot. */
    double ordersRefused = 0;
    /** Statements of callers take so many times the usual work. */
    std::int64_t slowness = 1;
    /** What is being worked on, and what waits for a slot, oldest first. */
    std::size_t slotsTaken = 0;
    std::deque<std::function<void()>> waitingForSlot;
    /** Extra time until received records are applied. */
    Duration applyLag{0};
    std::vector<LogPlace> log;
    /** Number of records applied, and by when later ones will be. */
    std::size_t applied = 0;
    std::vector<TimePoint> receivedAt;
    bool draining = false;
    /** Time since which it can reach a newer primary. */
    std::optional<TimePoint> sawNewerAt;

    OpTime received() const { return log.empty() ? OpTime{1, 0} : log.back().position; }
    OpTime appliedPosition() const {
        return applied == 0 ? OpTime{1, 0} : log[applied - 1].position;
    }
    /** @return whether the name is its own or that of an earlier run at its address. */
    bool isKnownAs(const ServerName& other) const;
    std::set<CommitId> commits(std::size_t count) const;
    bool has(const LogPlace& place) const;
    bool hasApplied(const LogPlace& place) const;
};

/** The group: replication, promotion, announcements. */
class LogGroup {
public:
    LogGroup(GroupName name, GroupModel model, simulation::EventQueue& queue, PooledJudge& judge);

    const GroupName& name() const { return _name; }
    const GroupModel& model() const { return _model; }
    std::vector<std::unique_ptr<LogServer>>& servers() { return _servers; }
    /** @return the server of the name, which may be one of an earlier run. */
    LogServer& server(const ServerName& name);
    /** @return the server that has the name now, or nullptr. */
    LogServer* find(const ServerName& name);

    /** Runs the work once the server has a free slot, which it holds until endWork. */
    void startWork(LogServer& server, std::function<void()> work);
    /** Frees a slot that was taken in the given life of the server. */
    void endWork(LogServer& server, std::uint64_t life);

    /** Appends a commit at a primary; the callback says whether a replica took it. */
    void commit(LogServer& server, CommitId commit, std::function<void(bool kept)> done);

    /** Starts a promotion; false when the server is not running. */
    bool promote(const ServerName& name);

    void crash(LogServer& server);
    void restart(LogServer& server);
    /**
     * Gives a server that does not run a new name, at the same address and with the same log. What
     * it announced under the old one is removed after the given time.
     */
    void rename(LogServer& server, Duration announcedFor);
    /** Ends a server for good, and its log with it. */
    void leave(LogServer& server);
    /** A new server with an empty log joins as a replica. */
    LogServer& join();

    /** Cuts or heals the link between two servers, both ways. */
    void setCut(const ServerName& one, const ServerName& other, bool cut);
    /** Cuts or heals all links of a server to the others. */
    void setIsolated(const ServerName& name, bool isolated);

    /** Moves replication on; called often. */
    void step();

    /** What the servers announce now. */
    std::vector<pooling::ServerAnnouncement> announcements() const;
    /** @return the version of the list of announcements: later ones have a higher version. */
    std::uint64_t announcementsVersion() const { return _version; }

    /** @return whether a newer primary than this server's term leads. */
    bool isReplaced(const LogServer& server) const;

    /** @return the commits of the newest primary's log. */
    std::set<CommitId> finalCommits() const;

    std::uint64_t promotions() const { return _promotions; }

private:
    struct PendingCommit {
        LogPlace record;
        std::uint64_t life = 0;
        std::function<void(bool)> done;
    };

    /** What is still announced of a server that has another name now. */
    struct OldAnnouncement {
        pooling::ServerAnnouncement announcement;
        TimePoint until{};
    };

    LogServer& addServer();
    bool isAnnounced(const LogServer& server) const;
    void lead(LogServer& server);
    LogServer* leaderFor(const LogServer& replica);
    void receive(LogServer& replica, const LogServer& leader);
    void apply(LogServer& server);
    void answerCommits(LogServer& server);
    void rejoin(LogServer& server);
    bool isConnected(const LogServer& one, const LogServer& other) const;

    GroupName _name;
    GroupModel _model;
    simulation::EventQueue& _queue;
    PooledJudge& _judge;
    std::vector<std::unique_ptr<LogServer>> _servers;
    std::map<ServerName, std::vector<PendingCommit>> _pending;
    std::set<std::pair<const LogServer*, const LogServer*>> _cuts;
    std::size_t _names = 0;
    Term _newestTerm = 1;
    std::uint64_t _promotions = 0;
    mutable std::map<ServerName, std::pair<pooling::ServerAnnouncement, std::uint64_t>> _announced;
    mutable std::vector<OldAnnouncement> _oldAnnouncements;
    mutable std::uint64_t _version = 100;
};

}  // namespace coralhoist::pooled
