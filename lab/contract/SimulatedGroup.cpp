#include "lab/contract/SimulatedGroup.h"

#include <algorithm>

namespace coralhoist::simulation {
namespace {

/** Entries that a follower takes at once when it is far behind. */
constexpr LogPosition kReplicationChunk = 20;

}  // namespace

SimulatedGroup::SimulatedGroup(const GroupModel& model, EventQueue& queue, RandomSource& random)
    : _model(model), _queue(queue), _random(random), _lag(model.servers, Duration(0)) {
    for (std::size_t index = 0; index < model.servers; ++index) {
        const std::string name(1, static_cast<char>('a' + index));
        _servers.push_back(std::make_unique<SimulatedServer>(ServerName(name), queue, random));
    }
    _servers.front()->lead(1);
    heartbeat();
}

std::size_t SimulatedGroup::indexOf(const ServerName& name) const {
    return static_cast<std::size_t>(name.value().front() - 'a');
}

std::size_t SimulatedGroup::newestPrimary() const {
    std::size_t best = 0;
    Term term = 0;
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        if (_servers[index]->isPrimary() && _servers[index]->term() > term) {
            best = index;
            term = _servers[index]->term();
        }
    }
    return best;
}

std::size_t SimulatedGroup::anyReplica() {
    const std::size_t step = 1 + _random.below(_servers.size() - 1);
    return (newestPrimary() + step) % _servers.size();
}

Duration SimulatedGroup::delayTo(std::size_t server, std::optional<std::size_t> zone) {
    const bool near = zone && !_model.serverZones.empty() && _model.serverZones[server] == *zone;
    return (near ? _model.sameZoneDelay : _model.oneWayDelay) +
           std::chrono::microseconds(_random.below(500));
}

Duration SimulatedGroup::delayBetween(std::size_t from, std::size_t to) {
    const bool zoned = !_model.serverZones.empty();
    return delayTo(to, zoned ? std::optional(_model.serverZones[from]) : std::nullopt);
}

bool SimulatedGroup::connects(std::size_t from, std::size_t to) const {
    return from != to && _servers[from]->isReachable() && _servers[to]->isUp() &&
           !_isolated.contains(from) && !_isolated.contains(to);
}

void SimulatedGroup::heartbeat() {
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        SimulatedServer& server = *_servers[index];
        if (server.isPrimary() && server.isReachable()) {
            replicate(index);
        } else if (server.isReachable() && !server.isPrimary()) {
            const Duration patience =
                _model.electionTimeout + std::chrono::milliseconds(_random.below(150));
            if (_queue.now() > server.lastHeard() + patience) {
                elect(index);
            }
        }
    }
    // Replication is a stream; a short beat stands for it.
    _queue.after(std::chrono::milliseconds(1 + _random.below(2)), [this] { heartbeat(); });
}

void SimulatedGroup::replicate(std::size_t primary) {
    const Term term = _servers[primary]->term();
    const LogHead log = _servers[primary]->log();
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        if (!connects(primary, index)) {
            continue;
        }
        // Lag holds up the log, not the sign of life.
        _queue.after(delayBetween(primary, index), [this, primary, index, term] {
            if (connects(primary, index)) {
                _servers[index]->hear(term);
            }
        });
        _queue.after(delayBetween(primary, index) + _lag[index], [this, primary, index, term, log] {
            SimulatedServer& server = *_servers[index];
            if (!connects(primary, index) || server.votedTerm() > term) {
                return;
            }
            server.whenRunning([this, index, term, log] {
                SimulatedServer& follower = *_servers[index];
                if (!follower.isUp() || follower.votedTerm() > term) {
                    return;
                }
                const LogPosition reach = follower.log()->position + kReplicationChunk;
                follower.follow(term, prefix(log, reach),
                                _lag[index] + std::chrono::microseconds(_random.below(800)));
            });
        });
    }
}

void SimulatedGroup::elect(std::size_t candidate) {
    std::vector<std::size_t> voters = {candidate};
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        if (index != candidate && connects(candidate, index) && _servers[index]->isReachable()) {
            voters.push_back(index);
        }
    }
    if (voters.size() < _servers.size() / 2 + 1) {
        return;
    }
    Term term = 0;
    std::size_t winner = candidate;
    const auto progress = [this](std::size_t index) {
        const LogHead& log = _servers[index]->log();
        return OpTime{log->term, log->position};
    };
    for (const std::size_t voter : voters) {
        term = std::max(term, _servers[voter]->votedTerm());
        if (progress(voter) > progress(winner)) {
            winner = voter;
        }
    }
    for (const std::size_t voter : voters) {
        _servers[voter]->vote(term + 1);
    }
    if (_servers[winner]->isPrimary()) {
        _servers[winner]->resetSessions();
    }
    _servers[winner]->lead(term + 1);
    _elections.push_back(_queue.now());
}

void SimulatedGroup::switchOver() {
    const std::size_t primary = newestPrimary();
    _servers[primary]->crash();
    _servers[primary]->restart();
    elect((primary + 1) % _servers.size());
}

void SimulatedGroup::healAll() {
    _isolated.clear();
    for (std::size_t index = 0; index < _servers.size(); ++index) {
        _lag[index] = Duration(0);
        if (!_servers[index]->isUp()) {
            _servers[index]->restart();
        }
        if (_servers[index]->isPaused()) {
            _servers[index]->resume();
        }
    }
}

}  // namespace coralhoist::simulation
