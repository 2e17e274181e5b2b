#include "lab/database/Replicator.h"

#include <utility>

namespace coralhoist::lab::database {
namespace {

constexpr std::size_t kEntriesPerMessage = 1000;

}  // namespace

bool areConnected(const Server& first, const Server& second) {
    return &first == &second || (first.isReachable() && second.isReachable());
}

Replicator::Replicator(TimerQueue& timers, const GroupOptions& options, const Servers& servers)
    : _timers(timers), _options(options), _servers(servers) {}

Replicator::~Replicator() {
    if (_beat) {
        _timers.cancel(*_beat);
    }
}

void Replicator::start() {
    for (const auto& from : _servers) {
        for (const auto& to : _servers) {
            if (from != to) {
                _links.push_back({from.get(), to.get()});
            }
        }
    }
    beat();
}

Duration Replicator::delay(const Server& from, const Server& to) const {
    return _options.zoneDelays.between(from.zone(), to.zone()) + _options.replicationDelay +
           to.replicationDelay();
}

void Replicator::beat() {
    for (Link& link : _links) {
        if (link.from->isPrimary() && areConnected(*link.from, *link.to)) {
            sendHeartbeat(link);
        }
    }
    _beat = _timers.schedule(_options.heartbeatInterval, [this] { beat(); });
}

void Replicator::sendHeartbeat(Link& link) {
    const Term term = link.from->term();
    _timers.schedule(delay(*link.from, *link.to),
                     [this, &link, term] { deliverHeartbeat(link, term); });
}

bool Replicator::isValid(const Link& link, Term term) const {
    return areConnected(*link.from, *link.to) && link.from->isPrimary() &&
           link.from->term() == term && link.to->votedTerm() <= term;
}

void Replicator::deliverHeartbeat(Link& link, Term term) {
    if (!isValid(link, term)) {
        return;
    }
    link.to->follow(*link.from);
    const bool isStale = link.term != term || link.inFlight == 0;
    if (isStale) {
        // Nothing is on the way: what the replica lacks was lost or never sent.
        link.term = term;
        link.sent = link.to->receivedPosition();
        sendEntries(link);
    }
    acknowledge(link, term);
}

void Replicator::onAppended(Server& primary) {
    for (Link& link : _links) {
        if (link.from != &primary || !areConnected(*link.from, *link.to)) {
            continue;
        }
        if (link.term == primary.term()) {
            sendEntries(link);
        } else {
            // A new primary introduces itself at once.
            sendHeartbeat(link);
        }
    }
}

void Replicator::sendEntries(Link& link) {
    std::vector<LogEntryPointer> entries;
    while (entries.size() < kEntriesPerMessage) {
        LogEntryPointer entry = link.from->log().after(link.sent);
        if (!entry) {
            break;
        }
        link.sent = entry->opTime.position;
        entries.push_back(std::move(entry));
    }
    if (entries.empty()) {
        return;
    }
    ++link.inFlight;
    const Term term = link.term;
    _timers.schedule(delay(*link.from, *link.to), [this, &link, term, entries] {
        --link.inFlight;
        deliverEntries(link, term, entries);
    });
}

void Replicator::deliverEntries(Link& link, Term term,
                                const std::vector<LogEntryPointer>& entries) {
    if (!isValid(link, term) || link.to->term() != term) {
        return;
    }
    link.to->noteContact();
    for (const LogEntryPointer& entry : entries) {
        if (!link.to->receive(entry)) {
            return;
        }
    }
    acknowledge(link, term);
    sendEntries(link);
}

void Replicator::acknowledge(Link& link, Term term) {
    const LogPosition position = link.to->receivedPosition();
    _timers.schedule(delay(*link.to, *link.from), [&link, term, position] {
        if (areConnected(*link.from, *link.to) && link.from->isPrimary() &&
            link.from->term() == term) {
            link.from->onAcknowledged(link.to->name(), position);
        }
    });
}

}  // namespace coralhoist::lab::database
