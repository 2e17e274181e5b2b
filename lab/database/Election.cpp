#include "lab/database/Election.h"

#include <algorithm>
#include <utility>

namespace coralhoist::lab::database {
namespace {

/** Checks per election timeout. */
constexpr int kChecksPerTimeout = 20;

}  // namespace

Election::Election(TimerQueue& timers, const GroupOptions& options, const Servers& servers,
                   const Replicator& replicator)
    : _timers(timers),
      _options(options),
      _servers(servers),
      _replicator(replicator),
      _random(options.randomSeed) {}

Election::~Election() {
    for (const auto& timer : {_check, _ballot}) {
        if (timer) {
            _timers.cancel(*timer);
        }
    }
}

void Election::start() {
    for (const auto& server : _servers) {
        const auto extra = static_cast<Duration::rep>(
            _random() % static_cast<std::uint64_t>(_options.electionTimeout.count()));
        _timeouts[server->name()] = _options.electionTimeout + Duration(extra);
    }
    check();
}

void Election::check() {
    for (const auto& server : _servers) {
        const Duration silence = _timers.now() - server->lastContact();
        if (!_ballot && server->isReachable() && !server->isPrimary() && !server->isLeaving() &&
            silence >= _timeouts[server->name()]) {
            stand(*server);
        }
    }
    _check = _timers.schedule(_options.electionTimeout / kChecksPerTimeout, [this] { check(); });
}

bool Election::isSilent(const Server& server) const {
    return !server.isPrimary() && _timers.now() - server.lastContact() >= _options.electionTimeout;
}

std::vector<Server*> Election::votersFor(const Server& candidate) const {
    std::vector<Server*> voters;
    for (const auto& server : _servers) {
        if (server->isReachable() && areConnected(candidate, *server)) {
            voters.push_back(server.get());
        }
    }
    return voters;
}

void Election::stand(Server& candidate) {
    // The question and the ballot take a round trip each.
    Duration roundTrip{0};
    for (const Server* voter : votersFor(candidate)) {
        roundTrip = std::max(roundTrip, 2 * _replicator.delay(candidate, *voter));
    }
    _ballot = _timers.schedule(2 * roundTrip, [this, &candidate] {
        _ballot.reset();
        std::vector<Server*> voters = votersFor(candidate);
        // Servers that hear a primary do not vote: a replica alone can't unseat it.
        std::erase_if(voters, [this](const Server* voter) { return !isSilent(*voter); });
        if (!candidate.isReachable() || !isMajority(voters.size())) {
            return;
        }
        Server* best = *std::max_element(
            voters.begin(), voters.end(), [](const Server* left, const Server* right) {
                const auto rank = [](const Server* server) {
                    return std::pair(server->log().end(), !server->isLeaving());
                };
                return rank(left) < rank(right);
            });
        (void)elect(*best);
    });
}

bool Election::elect(Server& candidate) {
    const std::vector<Server*> voters = votersFor(candidate);
    const auto granted = std::count_if(
        voters.begin(), voters.end(),
        [&candidate](const Server* voter) { return voter->log().end() <= candidate.log().end(); });
    if (!candidate.isReachable() || !isMajority(static_cast<std::size_t>(granted))) {
        return false;
    }
    Term newest = 0;
    for (const Server* voter : voters) {
        newest = std::max(newest, voter->votedTerm());
    }
    for (Server* voter : voters) {
        voter->vote(newest + 1);
    }
    candidate.promote(newest + 1);
    return true;
}

}  // namespace coralhoist::lab::database
