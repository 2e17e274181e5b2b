/** A simulated group of servers with replicated logs. */
#pragma once

#include <cstdint>
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
    bool running = true;
    /** A run after a restart; connections of an earlier one are gone. */
    std::uint64_t life = 1;
    bool primary = false;
    Term term = 1;
    Term heldTerm = 0;
    /** Receives nothing although it is connected. */
    bool deaf = false;
    /** Time until a status question or an order has a slot and is answered. */
    Duration orderDelay{0};
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
    LogServer& server(const ServerName& name);

    /** Appends a commit at a primary; the callback says whether a replica took it. */
    void commit(LogServer& server, CommitId commit, std::function<void(bool kept)> done);

    /** Starts a promotion; false when the server is not running. */
    bool promote(const ServerName& name);

    void crash(LogServer& server);
    void restart(LogServer& server);

    /** Cuts or heals the link between two servers, both ways. */
    void setCut(const ServerName& one, const ServerName& other, bool cut);
    /** Cuts or heals all links of a server to the others. */
    void setIsolated(const ServerName& name, bool isolated);

    /** Moves replication on; called often. */
    void step();

    /** What the servers announce now. */
    std::vector<pooling::ServerAnnouncement> announcements() const;

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
    std::set<std::pair<ServerName, ServerName>> _cuts;
    Term _newestTerm = 1;
    std::uint64_t _promotions = 0;
    mutable std::map<ServerName, std::pair<pooling::ServerAnnouncement, std::uint64_t>> _announced;
    mutable std::uint64_t _version = 100;
};

}  // namespace coralhoist::pooled
