#include "contract/StatusMonitor.h"

#include <algorithm>

#include "base/Backoff.h"
#include "contract/StatusQuery.h"

namespace coralhoist::contract {

StatusMonitor::StatusMonitor(BackendConnector& connector, RandomSource& random,
                             const ExecutorKnobs& knobs, machine::GroupTopology& topology,
                             MajoritySampler& sampler)
    : _connector(connector),
      _random(random),
      _knobs(knobs),
      _topology(topology),
      _sampler(sampler) {}

void StatusMonitor::configure(const settings::GroupSettings& settings, bool active) {
    _statusQuery = settings.statusQuery;
    _interval = settings.statusInterval;
    _timeout = settings.statusTimeout;
    _active = active;
    std::map<ServerName, Link> links;
    if (active) {
        for (const settings::ServerEndpoint& endpoint : settings.servers) {
            const auto known = _links.find(endpoint.name);
            links.emplace(endpoint.name, known == _links.end() ? Link{} : known->second);
        }
    }
    for (const auto& [server, link] : _links) {
        if (!links.contains(server) && link.connection) {
            _sampler.onQueryFailed(server);
            _connector.close(*link.connection);
            _owners.erase(*link.connection);
        }
    }
    _links = std::move(links);
}

StatusMonitor::Link* StatusMonitor::linkOf(ConnectionId connection) {
    const auto owner = _owners.find(connection);
    return owner == _owners.end() ? nullptr : &_links.at(owner->second);
}

void StatusMonitor::onOpened(ConnectionId connection, TimePoint now) {
    Link* link = linkOf(connection);
    link->state = LinkState::Idle;
    link->since = now;
    link->backoff = Duration(0);
    pumpLink(_owners.at(connection), *link, now);
}

void StatusMonitor::onOpenFailed(ConnectionId connection, TimePoint now) {
    const ServerName server = _owners.at(connection);
    _owners.erase(connection);
    Link& link = _links.at(server);
    link.connection.reset();
    fail(server, link, machine::FailureSignal::Refused, now);
}

void StatusMonitor::onCommandEnded(ConnectionId connection, const CommandOutcome& outcome,
                                   TimePoint now) {
    const ServerName server = _owners.at(connection);
    _updated = true;
    Link& link = _links.at(server);
    if (const auto status = readStatus(outcome)) {
        link.backoff = Duration(0);
        _sampler.onAnswer(server, *status);
        _topology.onStatus(server, *status, now);
        return;
    }
    // Backs off, because a server that answers at once but never with a valid status must not be
    // polled in a tight loop.
    link.backoff =
        nextBackoff(link.backoff, _knobs.reconnectBackoffMinimum, _knobs.reconnectBackoffMaximum);
    _sampler.onQueryFailed(server);
    _topology.onFailure(server, machine::FailureSignal::Refused);
}

void StatusMonitor::onProgramEnded(ConnectionId connection, TimePoint now) {
    Link* link = linkOf(connection);
    link->state = LinkState::Idle;
    link->since = now;
}

void StatusMonitor::onLost(ConnectionId connection, TimePoint now) {
    const ServerName server = _owners.at(connection);
    _owners.erase(connection);
    Link& link = _links.at(server);
    link.connection.reset();
    fail(server, link, machine::FailureSignal::Reset, now);
}

void StatusMonitor::fail(const ServerName& server, Link& link, machine::FailureSignal signal,
                         TimePoint now) {
    if (link.connection) {
        _connector.close(*link.connection);
        _owners.erase(*link.connection);
        link.connection.reset();
    }
    _sampler.onQueryFailed(server);
    _topology.onFailure(server, signal);
    _updated = true;
    link.state = LinkState::Closed;
    link.since = now;
    link.backoff =
        nextBackoff(link.backoff, _knobs.reconnectBackoffMinimum, _knobs.reconnectBackoffMaximum);
    link.nextAttempt = now + withJitter(link.backoff, _random);
}

TimePoint StatusMonitor::dueTime(const ServerName& server, const Link& link) const {
    switch (link.state) {
        case LinkState::Closed:
            return link.nextAttempt;
        case LinkState::Opening:
            return link.since + _knobs.connectTimeout;
        case LinkState::Querying:
            return link.since + _timeout;
        case LinkState::Idle:
            break;
    }
    Duration pause = _interval;
    if (_sampler.wantsQuery(server)) {
        pause = _knobs.sampleSpacing;
    } else if (_searching) {
        pause = std::min(_interval, _knobs.searchInterval);
    }
    return link.lastQuery + std::max(pause, link.backoff);
}

void StatusMonitor::pumpLink(const ServerName& server, Link& link, TimePoint now) {
    if (now < dueTime(server, link)) {
        return;
    }
    switch (link.state) {
        case LinkState::Closed:
            link.connection = _connector.open(server);
            _owners.emplace(*link.connection, server);
            link.state = LinkState::Opening;
            link.since = now;
            break;
        case LinkState::Opening:
        case LinkState::Querying:
            fail(server, link, machine::FailureSignal::Timeout, now);
            break;
        case LinkState::Idle:
            sendQuery(server, link, now);
            break;
    }
}

void StatusMonitor::sendQuery(const ServerName& server, Link& link, TimePoint now) {
    BackendProgram program;
    program.commands.push_back(makeStatusCommand(_statusQuery));
    _sampler.onQuerySent(server);
    ++_queriesSent;
    link.state = LinkState::Querying;
    link.since = now;
    link.lastQuery = now;
    _connector.run(*link.connection, std::move(program));
}

void StatusMonitor::pump(TimePoint now) {
    for (auto& [server, link] : _links) {
        pumpLink(server, link, now);
    }
}

std::optional<TimePoint> StatusMonitor::nextTick() const {
    std::optional<TimePoint> next;
    for (const auto& [server, link] : _links) {
        const TimePoint due = dueTime(server, link);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

bool StatusMonitor::consumeUpdate() {
    const bool updated = _updated;
    _updated = false;
    return updated;
}

bool StatusMonitor::isAnswering(const ServerName& server) const {
    const auto found = _links.find(server);
    if (found == _links.end()) {
        return false;
    }
    const machine::ServerView* view = _topology.find(server);
    const bool open =
        found->second.state == LinkState::Idle || found->second.state == LinkState::Querying;
    return open && view != nullptr && view->isHealthy();
}

}  // namespace coralhoist::contract
