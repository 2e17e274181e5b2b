#include "link/forwarding/UnitLinks.h"

#include <algorithm>
#include <utility>

#include "base/Backoff.h"
#include "base/Log.h"

namespace coralhoist::forwarding {

using locality::TrafficDirection;
using locality::TrafficPurpose;
using pooling::ProxyNode;
using pooling::UnitLoss;
using pooling::UnitOpening;
using pooling::UnitStatement;
using socket::CloseMode;
using socket::StreamConnection;

namespace {

/** A connection may take so long to open. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
/** While a statement is unanswered, a sign of life is asked for when none came for so long. */
constexpr Duration kHeartbeatAfter = std::chrono::milliseconds(150);
/** A link that shows no sign of life for so long is given up. */
constexpr Duration kSilenceTimeout = std::chrono::milliseconds(500);
/** The same for a question for changes, which may be held for 0.3 s. An open connection may go
 * silent for good; the next question would be lost on it like the last one. */
constexpr Duration kFeedSilenceTimeout = std::chrono::milliseconds(850);
/** Pause before a node that was lost is tried again; doubled each time. */
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::milliseconds(2000);
/** A node that declined a unit is not asked before. */
constexpr Duration kDeclinedPause = std::chrono::milliseconds(300);

UnitMessage messageOf(UnitMessage::Kind kind, UnitId unit = {}) {
    UnitMessage message;
    message.kind = kind;
    message.unit = unit;
    return message;
}

TrafficPurpose purposeOf(UnitMessage::Kind kind) {
    switch (kind) {
        case UnitMessage::Kind::Request:
        case UnitMessage::Kind::Answer:
        case UnitMessage::Kind::Declined:
        case UnitMessage::Kind::Ended:
            return TrafficPurpose::Units;
        case UnitMessage::Kind::ProofAsked:
        case UnitMessage::Kind::Proof:
            return TrafficPurpose::Proofs;
        case UnitMessage::Kind::ChangesAsked:
        case UnitMessage::Kind::Changes:
            return TrafficPurpose::Feeds;
        case UnitMessage::Kind::QuotaAsked:
        case UnitMessage::Kind::Quota:
        case UnitMessage::Kind::LedgerUpdate:
        case UnitMessage::Kind::LedgerAck:
            return TrafficPurpose::Quotas;
        case UnitMessage::Kind::LoadTold:
            return TrafficPurpose::LoadReports;
        case UnitMessage::Kind::HeartbeatAsked:
        case UnitMessage::Kind::Heartbeat:
        case UnitMessage::Kind::Leaving:
            return TrafficPurpose::Upkeep;
    }
    return TrafficPurpose::Upkeep;
}

}  // namespace

UnitLinks::UnitLinks(socket::SocketPoller& poller, const Clock& clock, pooling::UnitEvents& events)
    : _poller(poller), _clock(clock), _events(events) {}

UnitLinks::~UnitLinks() = default;

void UnitLinks::applyNodes(const std::vector<ProxyNode>& nodes) {
    std::map<NodeName, ProxyNode> current;
    for (const ProxyNode& node : nodes) {
        current[node.name] = node;
    }
    std::vector<NodeName> gone;
    for (auto& [name, link] : _links) {
        const auto found = current.find(name);
        if (found == current.end() || !(found->second == link.node)) {
            gone.push_back(name);
        }
    }
    for (const NodeName& name : gone) {
        drop(_links[name], "node_moved");
        _links.erase(name);
        _failed.erase(name);
    }
    for (const auto& [name, node] : current) {
        Link& link = _links[name];
        link.node = node;
        link.leavesRegion = _regions != nullptr && _regions->traffic.leavesRegion(node.zone);
    }
}

/** A node that was lost is tried by a connection of its own, not at the price of a statement. */
bool UnitLinks::canReach(const NodeName& node) const {
    const auto found = _links.find(node);
    return found != _links.end() && found->second.node.port != 0 && !found->second.leaving &&
           !_failed.contains(node) && _clock.now() >= found->second.usableFrom;
}

void UnitLinks::connect(Link& link) {
    link.stream = std::make_unique<StreamConnection>(_poller, *this);
    link.connected = false;
    link.leaving = false;
    link.waitingSince = _clock.now();
    _nodeOf[link.stream.get()] = link.node.name;
    // A failure at once leaves a connection that never opens; the time limit ends it.
    link.stream->connectTo(link.node.host, link.node.port);
}

/** @return the link to the node, which is connected or being connected. */
UnitLinks::Link& UnitLinks::connectedLink(const NodeName& node) {
    Link& link = _links[node];
    if (!link.stream) {
        connect(link);
    }
    return link;
}

void UnitLinks::open(UnitId unit, const NodeName& node, const UnitOpening& opening,
                     const UnitStatement& statement) {
    Link& link = connectedLink(node);
    _units[unit] = node;
    link.units[unit] = false;
    noteSent(link, unit);
    UnitMessage message = messageOf(UnitMessage::Kind::Request, unit);
    message.opening = opening;
    message.statement = statement;
    send(link, message);
}

void UnitLinks::submit(UnitId unit, const UnitStatement& statement) {
    Link* link = linkOf(unit);
    if (link == nullptr) {
        return;
    }
    noteSent(*link, unit);
    UnitMessage message = messageOf(UnitMessage::Kind::Request, unit);
    message.statement = statement;
    send(*link, message);
}

void UnitLinks::end(UnitId unit) {
    Link* link = linkOf(unit);
    if (link == nullptr) {
        return;
    }
    forget(*link, unit);
    send(*link, messageOf(UnitMessage::Kind::Ended, unit));
}

void UnitLinks::send(Link& link, const UnitMessage& message) {
    std::string bytes;
    encode(bytes, message);
    if (link.leavesRegion) {
        _regions->traffic.add(purposeOf(message.kind), TrafficDirection::Sent, bytes.size());
    }
    link.stream->write(bytes);
}

/** An exchange that the other node answers at once has ended. */
void UnitLinks::noteRoundTrip(const Link& link, TimePoint begunAt) {
    if (link.leavesRegion) {
        const TimePoint now = _clock.now();
        _regions->distances.note(link.node.zone, now - begunAt, now);
    }
}

/** Something is about to be sent that the other node must answer. */
void UnitLinks::noteWaiting(Link& link) {
    if (!isWaitedFor(link) && link.connected) {
        link.waitingSince = _clock.now();
    }
}

void UnitLinks::noteSent(Link& link, UnitId unit) {
    noteWaiting(link);
    link.units[unit] = true;
    ++link.unanswered;
}

void UnitLinks::noteAnswered(Link& link, UnitId unit) {
    const auto found = link.units.find(unit);
    if (found != link.units.end() && found->second) {
        found->second = false;
        --link.unanswered;
    }
}

void UnitLinks::forget(Link& link, UnitId unit) {
    noteAnswered(link, unit);
    link.units.erase(unit);
    _units.erase(unit);
}

void UnitLinks::onConnected(StreamConnection& connection) {
    Link* link = linkOf(connection);
    if (link == nullptr) {
        return;
    }
    if (_clock.now() - link->waitingSince >= kConnectTimeout) {
        // The process stood still: what waits to be sent was meant for an earlier time.
        drop(*link, "unreachable");
        return;
    }
    link->connected = true;
    noteRoundTrip(*link, link->waitingSince);
    _failed.erase(link->node.name);
    link->pause = Duration(0);
    link->heardAt = _clock.now();
    link->waitingSince = link->heardAt;
    LogEvent("forwarding", LogLevel::Info, "executor.connected").field("node", link->node.name);
}

void UnitLinks::onBytes(StreamConnection& connection, std::string& buffer) {
    if (Link* link = linkOf(connection)) {
        link->heardAt = _clock.now();
    }
    while (Link* link = linkOf(connection)) {
        const std::size_t buffered = buffer.size();
        std::optional<StatusWith<UnitMessage>> taken = takeMessage(buffer);
        if (!taken) {
            return;
        }
        if (!taken->isOk()) {
            drop(*link, "protocol_violation");
            return;
        }
        if (link->leavesRegion) {
            _regions->traffic.add(purposeOf(taken->value().kind), TrafficDirection::Received,
                                  buffered - buffer.size());
        }
        onMessage(*link, std::move(*taken).value());
    }
}

void UnitLinks::onMessage(Link& link, UnitMessage message) {
    switch (message.kind) {
        case UnitMessage::Kind::Answer:
            onAnswer(link, std::move(message));
            return;
        case UnitMessage::Kind::Declined:
            onDeclined(link, message.unit);
            return;
        case UnitMessage::Kind::Leaving:
            link.leaving = true;
            LogEvent("forwarding", LogLevel::Info, "executor.leaving")
                .field("node", link.node.name);
            return;
        case UnitMessage::Kind::HeartbeatAsked:
            send(link, messageOf(UnitMessage::Kind::Heartbeat));
            return;
        case UnitMessage::Kind::Proof:
            onProof(link, message);
            return;
        case UnitMessage::Kind::Changes:
            onChanges(link, message);
            return;
        case UnitMessage::Kind::Quota:
            onQuota(link, message);
            return;
        case UnitMessage::Kind::LedgerAck:
            onLedgerAck(link, message);
            return;
        case UnitMessage::Kind::Heartbeat:
            noteRoundTrip(link, link.askedAt);
            return;
        case UnitMessage::Kind::Request:
        case UnitMessage::Kind::Ended:
        case UnitMessage::Kind::ProofAsked:
        case UnitMessage::Kind::ChangesAsked:
        case UnitMessage::Kind::QuotaAsked:
        case UnitMessage::Kind::LedgerUpdate:
        case UnitMessage::Kind::LoadTold:
            return;
    }
}

void UnitLinks::onAnswer(Link& link, UnitMessage message) {
    if (!link.units.contains(message.unit)) {
        return;
    }
    noteAnswered(link, message.unit);
    if (message.result.result.state != pooling::SessionState::InTransaction) {
        forget(link, message.unit);
    }
    _events.onUnitResult(message.unit, std::move(message.result));
}

void UnitLinks::onDeclined(Link& link, UnitId unit) {
    if (!link.units.contains(unit)) {
        return;
    }
    forget(link, unit);
    link.usableFrom = _clock.now() + kDeclinedPause;
    _events.onUnitLost(unit, UnitLoss::NotTaken);
}

void UnitLinks::onClosed(StreamConnection& connection) {
    if (Link* link = linkOf(connection)) {
        drop(*link, "closed");
    }
}

/** Closes the connection; its units are lost. */
void UnitLinks::drop(Link& link, const char* reason) {
    if (!link.stream) {
        return;
    }
    const UnitLoss loss = link.connected ? UnitLoss::Unanswered : UnitLoss::NotTaken;
    LogEvent("forwarding", LogLevel::Warning, "executor.lost")
        .field("node", link.node.name)
        .field("reason", reason)
        .field("units", link.units.size())
        .field("connected", link.connected);
    link.pause = nextBackoff(link.pause, kFirstPause, kLongestPause);
    link.usableFrom = _clock.now() + link.pause;
    _failed.insert(link.node.name);
    link.leaving = false;
    link.connected = false;
    link.unanswered = 0;
    Link lost;
    lost.proofQuestion = std::exchange(link.proofQuestion, std::nullopt);
    lost.feedQuestion = std::exchange(link.feedQuestion, std::nullopt);
    lost.quotaQuestions = std::exchange(link.quotaQuestions, {});
    _nodeOf.erase(link.stream.get());
    link.stream->close(CloseMode::Abort);
    _closed.push_back(std::move(link.stream));
    const std::map<UnitId, bool> units = std::exchange(link.units, {});
    for (const auto& [unit, waiting] : units) {
        _units.erase(unit);
    }
    for (const auto& [unit, waiting] : units) {
        _events.onUnitLost(unit, loss);
    }
    loseQuestions(lost);
}

/** @return when the link must be looked at; nothing while it is not waited for. */
std::optional<TimePoint> UnitLinks::dueAt(const Link& link) const {
    if (!link.stream) {
        return std::nullopt;
    }
    if (!link.connected) {
        return link.waitingSince + kConnectTimeout;
    }
    std::optional<TimePoint> due;
    if (link.feedQuestion) {
        due = std::max(link.heardAt, link.feedAskedAt) + kFeedSilenceTimeout;
    }
    if (isWaitedFor(link)) {
        const TimePoint quietSince = std::max(link.heardAt, link.waitingSince);
        const TimePoint askAt = std::max(quietSince, link.askedAt) + kHeartbeatAfter;
        due = std::min({due.value_or(askAt), askAt, quietSince + kSilenceTimeout});
    }
    return due;
}

/** @return whether the other node should have shown a sign of life by now. */
bool UnitLinks::isSilent(const Link& link, TimePoint now) {
    const bool feedSilent =
        link.feedQuestion && now - std::max(link.heardAt, link.feedAskedAt) >= kFeedSilenceTimeout;
    const TimePoint quietSince = std::max(link.heardAt, link.waitingSince);
    return feedSilent || (isWaitedFor(link) && now - quietSince >= kSilenceTimeout);
}

/** Opens connections to nodes that were lost, so that they can be used again. */
void UnitLinks::retryFailed(TimePoint now) {
    for (const NodeName& name : _failed) {
        Link& link = _links.at(name);
        if (!link.stream && now >= link.usableFrom) {
            connect(link);
        }
    }
}

void UnitLinks::onTick(TimePoint now) {
    retryFailed(now);
    std::vector<NodeName> due;
    for (const auto& [stream, name] : _nodeOf) {
        const std::optional<TimePoint> at = dueAt(_links.at(name));
        if (at && *at <= now) {
            due.push_back(name);
        }
    }
    for (const NodeName& name : due) {
        const auto found = _links.find(name);
        if (found == _links.end() || !found->second.stream) {
            continue;
        }
        Link& link = found->second;
        if (!link.connected || isSilent(link, now)) {
            drop(link, link.connected ? "silent" : "unreachable");
            continue;
        }
        link.askedAt = now;
        send(link, messageOf(UnitMessage::Kind::HeartbeatAsked));
    }
}

std::optional<TimePoint> UnitLinks::nextTick() const {
    std::optional<TimePoint> next;
    for (const NodeName& name : _failed) {
        const Link& link = _links.at(name);
        if (!link.stream) {
            next = std::min(next.value_or(link.usableFrom), link.usableFrom);
        }
    }
    for (const auto& [stream, name] : _nodeOf) {
        if (const std::optional<TimePoint> at = dueAt(_links.at(name))) {
            next = std::min(next.value_or(*at), *at);
        }
    }
    return next;
}

UnitLinks::Link* UnitLinks::linkOf(const StreamConnection& connection) {
    const auto found = _nodeOf.find(&connection);
    return found == _nodeOf.end() ? nullptr : &_links[found->second];
}

UnitLinks::Link* UnitLinks::linkOf(UnitId unit) {
    const auto found = _units.find(unit);
    return found == _units.end() ? nullptr : &_links[found->second];
}

}  // namespace coralhoist::forwarding
