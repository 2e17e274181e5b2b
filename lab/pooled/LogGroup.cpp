#include "lab/pooled/LogGroup.h"

#include <algorithm>
#include <utility>

namespace coralhoist::pooled {
namespace {

/** A replaced primary steps down so long after it can reach its successor. */
constexpr Duration kRejoinAfter = std::chrono::seconds(1);
/** An announcement is removed after so many heartbeats of silence. */
constexpr int kSilentHeartbeats = 3;

}  // namespace

bool LogServer::isKnownAs(const ServerName& other) const {
    return name == other ||
           std::find(formerNames.begin(), formerNames.end(), other) != formerNames.end();
}

std::set<CommitId> LogServer::commits(std::size_t count) const {
    std::set<CommitId> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.insert(log[index].commit);
    }
    return result;
}

/** Positions number the records of a log without gaps. */
bool LogServer::has(const LogPlace& place) const {
    const LogPosition index = place.position.position - 1;
    return index < log.size() && log[index] == place;
}

bool LogServer::hasApplied(const LogPlace& place) const {
    return place.position.position <= applied && has(place);
}

LogGroup::LogGroup(GroupName name, GroupModel model, simulation::EventQueue& queue,
                   PooledJudge& judge)
    : _name(std::move(name)), _model(model), _queue(queue), _judge(judge) {
    for (std::size_t index = 0; index < model.servers; ++index) {
        addServer().primary = index == 0;
    }
}

LogServer& LogGroup::addServer() {
    auto server = std::make_unique<LogServer>();
    server->name = ServerName(_name.value() + "-s" + std::to_string(++_names));
    server->port = static_cast<std::uint16_t>(_servers.size() + 1);
    _servers.push_back(std::move(server));
    return *_servers.back();
}

LogServer& LogGroup::server(const ServerName& name) {
    const auto found = std::find_if(_servers.begin(), _servers.end(),
                                    [&name](const auto& entry) { return entry->isKnownAs(name); });
    return **found;
}

LogServer* LogGroup::find(const ServerName& name) {
    const auto found = std::find_if(_servers.begin(), _servers.end(),
                                    [&name](const auto& entry) { return entry->name == name; });
    return found == _servers.end() ? nullptr : found->get();
}

void LogGroup::startWork(LogServer& server, std::function<void()> work) {
    if (_model.slots > 0 && server.slotsTaken >= _model.slots) {
        server.waitingForSlot.push_back(std::move(work));
        return;
    }
    ++server.slotsTaken;
    work();
}

void LogGroup::endWork(LogServer& server, std::uint64_t life) {
    if (server.life != life) {
        return;
    }
    --server.slotsTaken;
    if (server.waitingForSlot.empty()) {
        return;
    }
    const std::function<void()> work = std::move(server.waitingForSlot.front());
    server.waitingForSlot.pop_front();
    ++server.slotsTaken;
    work();
}

void LogGroup::commit(LogServer& server, CommitId commit, std::function<void(bool)> done) {
    const OpTime last = server.received();
    const LogPlace record{{server.term, last.position + 1}, commit};
    server.log.push_back(record);
    server.receivedAt.push_back(_queue.now());
    server.applied = server.log.size();
    _judge.onCommitted(record, _name);
    _pending[server.name].push_back({record, server.life, std::move(done)});
}

bool LogGroup::isConnected(const LogServer& one, const LogServer& other) const {
    return one.running && other.running && !_cuts.contains({&one, &other});
}

void LogGroup::setCut(const ServerName& one, const ServerName& other, bool cut) {
    const LogServer* first = &server(one);
    const LogServer* second = &server(other);
    for (const auto& pair : {std::pair{first, second}, std::pair{second, first}}) {
        if (cut) {
            _cuts.insert(pair);
        } else {
            _cuts.erase(pair);
        }
    }
}

void LogGroup::setIsolated(const ServerName& name, bool isolated) {
    for (const auto& other : _servers) {
        if (!other->isKnownAs(name)) {
            setCut(name, other->name, isolated);
        }
    }
}

bool LogGroup::promote(const ServerName& name) {
    LogServer* found = find(name);
    if (found == nullptr || !found->running) {
        return false;
    }
    LogServer& chosen = *found;
    if (chosen.primary && chosen.term == _newestTerm) {
        return true;
    }
    _queue.after(_model.promoteDelay, [this, &chosen, life = chosen.life] {
        if (chosen.running && chosen.life == life) {
            lead(chosen);
        }
    });
    return true;
}

void LogGroup::lead(LogServer& server) {
    if (server.primary && server.term == _newestTerm) {
        return;
    }
    _judge.onPromoted(server.commits(server.log.size()), _queue.now(), _name);
    server.term = ++_newestTerm;
    server.primary = true;
    server.applied = server.log.size();
    ++_promotions;
    for (const auto& other : _servers) {
        other->heldTerm = other->heldTerm <= server.term ? 0 : other->heldTerm;
    }
}

bool LogGroup::isReplaced(const LogServer& server) const {
    return server.term < _newestTerm;
}

void LogGroup::crash(LogServer& server) {
    server.running = false;
    ++server.life;
    server.stoppedAt = _queue.now();
    server.slotsTaken = 0;
    server.waitingForSlot.clear();
    _pending.erase(server.name);
}

void LogGroup::restart(LogServer& server) {
    if (server.left || server.running) {
        return;
    }
    server.running = true;
    server.heldTerm = 0;
    server.applied = server.log.size();
    server.sawNewerAt.reset();
    if (isReplaced(server)) {
        server.primary = false;
    }
}

void LogGroup::rename(LogServer& server, Duration announcedFor) {
    const auto announced = _announced.find(server.name);
    if (announced != _announced.end()) {
        auto& [announcement, version] = announced->second;
        announcement.version.revision = version;
        _oldAnnouncements.push_back({announcement, _queue.now() + announcedFor});
        _announced.erase(announced);
    }
    server.formerNames.push_back(server.name);
    server.name = ServerName(_name.value() + "-s" + std::to_string(++_names));
}

void LogGroup::leave(LogServer& server) {
    if (server.running) {
        crash(server);
    }
    server.left = true;
    server.primary = false;
    server.log.clear();
    server.receivedAt.clear();
    server.applied = 0;
    ++_version;
}

LogServer& LogGroup::join() {
    return addServer();
}

LogServer* LogGroup::leaderFor(const LogServer& replica) {
    LogServer* leader = nullptr;
    for (const auto& other : _servers) {
        const bool leads = other.get() != &replica && other->primary &&
                           (other->term >= replica.term || _model.ignoresPauses);
        if (!leads || !isConnected(*other, replica)) {
            continue;
        }
        const bool newer = leader == nullptr || other->term > leader->term;
        if (leader == nullptr || newer != _model.ignoresPauses) {
            leader = other.get();
        }
    }
    return leader;
}

void LogGroup::receive(LogServer& replica, const LogServer& leader) {
    replica.term = std::max(replica.term, leader.term);
    // Logs that agree on a record agree on all before it.
    std::size_t common = std::min(replica.log.size(), leader.log.size());
    while (common > 0 && !(replica.log[common - 1] == leader.log[common - 1])) {
        --common;
    }
    replica.log.resize(common);
    replica.receivedAt.resize(common);
    replica.applied = std::min(replica.applied, common);
    for (std::size_t index = common; index < leader.log.size(); ++index) {
        replica.log.push_back(leader.log[index]);
        replica.receivedAt.push_back(_queue.now());
    }
}

void LogGroup::apply(LogServer& server) {
    const Duration delay = _model.applyDelay + server.applyLag;
    while (server.applied < server.log.size() &&
           _queue.now() - server.receivedAt[server.applied] >= delay) {
        ++server.applied;
    }
}

void LogGroup::rejoin(LogServer& server) {
    if (!server.primary || !isReplaced(server)) {
        return;
    }
    const bool reaches = leaderFor(server) != nullptr;
    if (!reaches) {
        server.sawNewerAt.reset();
        return;
    }
    server.sawNewerAt = server.sawNewerAt.value_or(_queue.now());
    if (_queue.now() - *server.sawNewerAt >= kRejoinAfter) {
        server.primary = false;
    }
}

void LogGroup::answerCommits(LogServer& server) {
    std::vector<PendingCommit>& pending = _pending[server.name];
    std::vector<PendingCommit> waiting;
    waiting.swap(pending);
    for (PendingCommit& commit : waiting) {
        const bool replicated =
            _model.answersEarly ||
            std::any_of(_servers.begin(), _servers.end(), [&](const auto& other) {
                return other.get() != &server && isConnected(server, *other) &&
                       other->has(commit.record);
            });
        const bool kept = server.has(commit.record);
        if (!server.primary || !kept) {
            commit.done(false);
        } else if (replicated) {
            if (isReplaced(server)) {
                _judge.onAnsweredByReplaced(commit.record.commit);
            }
            commit.done(true);
        } else {
            _pending[server.name].push_back(std::move(commit));
        }
    }
}

void LogGroup::step() {
    for (const auto& replica : _servers) {
        if (!replica->running || replica->primary) {
            continue;
        }
        LogServer* leader = leaderFor(*replica);
        const bool held =
            leader != nullptr && replica->heldTerm > leader->term && !_model.ignoresPauses;
        const bool receives = !replica->deaf && _queue.now() >= replica->stalledUntil;
        if (leader != nullptr && !held && receives) {
            receive(*replica, *leader);
        }
    }
    for (const auto& server : _servers) {
        if (server->running) {
            apply(*server);
            rejoin(*server);
            answerCommits(*server);
        }
    }
}

bool LogGroup::isAnnounced(const LogServer& server) const {
    const bool silent = _model.heartbeat > Duration(0) && !server.running &&
                        _queue.now() - server.stoppedAt >= kSilentHeartbeats * _model.heartbeat;
    return !server.left && !server.announcementLapsed && !silent;
}

std::vector<pooling::ServerAnnouncement> LogGroup::announcements() const {
    std::vector<pooling::ServerAnnouncement> result;
    for (const auto& server : _servers) {
        if (!isAnnounced(*server)) {
            // What it announces later is new.
            _version += _announced.erase(server->name);
            continue;
        }
        // A server announces itself under a new name once it runs.
        if (!server->running && !_announced.contains(server->name)) {
            continue;
        }
        pooling::ServerAnnouncement announcement;
        announcement.address = {_name, server->name, "10.0.0.1", server->port};
        announcement.zone = ZoneName("z");
        announcement.slots = 3;
        announcement.draining = server->draining;
        announcement.role =
            server->primary ? pooling::ServerRole::Primary : pooling::ServerRole::Replica;
        auto& [known, version] = _announced[server->name];
        // A server that does not run can't change what it announced.
        if (version == 0 || (server->running && !(known == announcement))) {
            known = announcement;
            version = ++_version;
        }
        announcement = known;
        announcement.version.revision = version;
        result.push_back(announcement);
    }
    _version += std::erase_if(_oldAnnouncements, [this](const OldAnnouncement& old) {
        return _queue.now() >= old.until;
    });
    for (const OldAnnouncement& old : _oldAnnouncements) {
        result.push_back(old.announcement);
    }
    return result;
}

std::set<CommitId> LogGroup::finalCommits() const {
    const LogServer* newest = nullptr;
    for (const auto& server : _servers) {
        if (server->primary && (newest == nullptr || server->term > newest->term)) {
            newest = server.get();
        }
    }
    return newest == nullptr ? std::set<CommitId>() : newest->commits(newest->log.size());
}

}  // namespace coralhoist::pooled
