#include "link/peer/PeerTransport.h"

#include <QMetaObject>
#include <QTcpSocket>
#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "link/peer/MessageConversion.h"

namespace coralhoist::peer {
namespace {

/** Checks in each heartbeat interval, and in each idle timeout. */
constexpr int kChecksPerInterval = 3;

std::chrono::milliseconds checkInterval(Duration duration) {
    const auto interval =
        std::chrono::duration_cast<std::chrono::milliseconds>(duration / kChecksPerInterval);
    return std::max(interval, std::chrono::milliseconds(1));
}

}  // namespace

PeerTransport::PeerTransport(NodeName self, ZoneName zone, const Clock& clock, RandomSource& random,
                             PeerEvents& events, LinkTimings timings)
    : _self(std::move(self)),
      _zone(std::move(zone)),
      _clock(clock),
      _random(random),
      _events(events),
      _timings(timings),
      _instance(static_cast<std::int64_t>(random.next())) {
    connect(&_server, &QTcpServer::newConnection, this, [this] { acceptConnections(); });
    connect(&_checkTimer, &QTimer::timeout, this, [this] { checkLinks(); });
    connect(&_idleTimer, &QTimer::timeout, this, [this] { checkIdleLinks(); });
    _checkTimer.start(checkInterval(_timings.heartbeatInterval));
    _idleTimer.start(checkInterval(_timings.idleTimeout));
}

PeerTransport::~PeerTransport() = default;

Status PeerTransport::listen(const std::string& address, std::uint16_t port) {
    _address = QHostAddress(QString::fromStdString(address));
    if (_address.isNull() || !_server.listen(_address, port)) {
        return {ErrorCode::Unavailable, "can't accept peer links at " + address + ":" +
                                            std::to_string(port) + ": " +
                                            _server.errorString().toStdString()};
    }
    return Status::ok();
}

void PeerTransport::setAddress(const NodeName& peer, const PeerAddress& address) {
    Link& link = linkTo(peer);
    if (link.address == address) {
        return;
    }
    link.address = address;
    link.backoff.onSuccess();
    link.retryAt = _clock.now();
}

void PeerTransport::removePeer(const NodeName& peer) {
    const auto found = _links.find(peer);
    if (found == _links.end()) {
        return;
    }
    if (found->second->situation.phase != LinkPhase::Idle) {
        failLink(peer, "the peer is no longer a member");
    }
    _watched.erase(peer);
    _links.erase(peer);
}

PeerTransport::Link& PeerTransport::linkTo(const NodeName& peer) {
    std::unique_ptr<Link>& link = _links[peer];
    if (!link) {
        link = std::make_unique<Link>(
            ReconnectBackoff(_timings.reconnectMinimum, _timings.reconnectMaximum, _random),
            LinkLiveness(_timings.heartbeatInterval, _timings.heartbeatTimeout, _clock.now()));
    }
    return *link;
}

LinkState PeerTransport::requestLink(const NodeName& peer) {
    const auto found = _links.find(peer);
    if (found == _links.end()) {
        return LinkState::Unreachable;
    }
    Link& link = *found->second;
    switch (link.situation.phase) {
        case LinkPhase::Up:
            return LinkState::Up;
        case LinkPhase::Dialing:
        case LinkPhase::AwaitingInbound:
            return LinkState::Connecting;
        case LinkPhase::Closing:
            link.wantedAgain = true;
            return LinkState::Connecting;
        case LinkPhase::Idle:
            break;
    }
    if (link.address.host.empty() || _clock.now() < link.retryAt) {
        return LinkState::Unreachable;
    }
    dial(peer);
    return LinkState::Connecting;
}

std::size_t PeerTransport::unsentBytes(const NodeName& peer) const {
    const auto found = _links.find(peer);
    if (found == _links.end() || !found->second->connection) {
        return 0;
    }
    return found->second->connection->unsentBytes();
}

Status PeerTransport::send(const NodeName& peer, const gen::PeerMessage& message) {
    const auto found = _links.find(peer);
    if (found == _links.end() || found->second->situation.phase != LinkPhase::Up) {
        return {ErrorCode::Unavailable, "no link to proxy " + peer.value()};
    }
    Status sent = found->second->connection->send(message);
    if (sent.isOk()) {
        found->second->liveness.onSent(_clock.now());
        _watched.insert(peer);
    }
    return sent;
}

std::size_t PeerTransport::linkCount() const {
    return static_cast<std::size_t>(std::count_if(
        _links.begin(), _links.end(),
        [](const auto& entry) { return entry.second->situation.phase == LinkPhase::Up; }));
}

void PeerTransport::dial(const NodeName& peer) {
    Link& link = linkTo(peer);
    link.situation.phase = LinkPhase::Dialing;
    link.attemptStart = _clock.now();
    link.wantedAgain = false;
    const std::int64_t attempt = ++link.attempts;
    _watched.insert(peer);
    // A connect may fail at once, and no event may come before the caller returns.
    QMetaObject::invokeMethod(
        this,
        [this, peer, attempt] {
            const auto found = _links.find(peer);
            if (found != _links.end() && found->second->attempts == attempt &&
                found->second->situation.phase == LinkPhase::Dialing) {
                startDial(peer);
            }
        },
        Qt::QueuedConnection);
}

void PeerTransport::startDial(const NodeName& peer) {
    Link& link = linkTo(peer);
    auto* socket = new QTcpSocket;
    if (!_address.isNull()) {
        socket->bind(_address);
    }
    link.connection = std::make_shared<PeerConnection>(socket, _clock.now(), linkCallbacks(peer));
    link.connection->open(QHostAddress(QString::fromStdString(link.address.host)),
                          link.address.port);
}

gen::Hello PeerTransport::hello(const NodeName& peer, gen::HelloVerdict::type verdict) const {
    const auto link = _links.find(peer);
    gen::Hello hello;
    hello.protocolVersion = kPeerProtocolVersion;
    hello.node = _self.value();
    hello.zone = _zone.value();
    hello.instance = _instance;
    hello.attempt = link == _links.end() ? 0 : link->second->attempts;
    hello.verdict = verdict;
    return hello;
}

PeerConnection::Callbacks PeerTransport::linkCallbacks(const NodeName& peer) {
    PeerConnection::Callbacks callbacks;
    callbacks.connected = [this, peer] {
        Link& link = linkTo(peer);
        [[maybe_unused]] const Status sent =
            link.connection->send(toMessage(hello(peer, gen::HelloVerdict::Proposed)));
    };
    callbacks.received = [this, peer](gen::PeerMessage message) {
        return onLinkMessage(peer, std::move(message));
    };
    callbacks.closed = [this, peer](const std::string& reason) { onLinkClosed(peer, reason); };
    callbacks.bytesSent = [this, peer] {
        if (linkTo(peer).situation.phase == LinkPhase::Up) {
            _events.onWritable(peer);
        }
    };
    return callbacks;
}

Status PeerTransport::onLinkMessage(const NodeName& peer, gen::PeerMessage message) {
    Link& link = linkTo(peer);
    link.liveness.onReceived(_clock.now());
    link.probing = false;
    if (link.situation.phase == LinkPhase::Dialing) {
        return message.__isset.hello
                   ? onHelloAnswer(peer, message.hello)
                   : Status(ErrorCode::ProtocolViolation, "the first message must be Hello");
    }
    _watched.insert(peer);
    if (message.__isset.hello) {
        return {ErrorCode::ProtocolViolation, "a second Hello"};
    }
    if (message.__isset.heartbeat) {
        return onHeartbeat(peer, message.heartbeat);
    }
    if (message.__isset.goodbye) {
        return onGoodbye(peer, message.goodbye);
    }
    if (message.__isset.execute && link.situation.phase == LinkPhase::Closing) {
        // It crossed our Goodbye, which the peer will refuse.
        linkUp(peer, link);
    }
    return _events.onMessage(peer, std::move(message));
}

Status PeerTransport::onHelloAnswer(const NodeName& peer, const gen::Hello& answer) {
    Link& link = linkTo(peer);
    if (answer.node != peer.value()) {
        return {ErrorCode::ProtocolViolation,
                "expected proxy " + peer.value() + ", found " + answer.node};
    }
    switch (answer.verdict) {
        case gen::HelloVerdict::Accepted:
            link.situation.dialedHere = true;
            link.situation.peerInstance = answer.instance;
            link.situation.peerAttempt = answer.attempt;
            linkUp(peer, link);
            return Status::ok();
        case gen::HelloVerdict::Duplicate:
            link.situation.phase = LinkPhase::AwaitingInbound;
            link.connection.reset();
            return Status::ok();
        default:
            return {ErrorCode::ProtocolViolation, "the peer speaks another version"};
    }
}

void PeerTransport::linkUp(const NodeName& peer, Link& link) {
    link.situation.phase = LinkPhase::Up;
    link.backoff.onSuccess();
    link.liveness =
        LinkLiveness(_timings.heartbeatInterval, _timings.heartbeatTimeout, _clock.now());
    link.wantedAgain = false;
    link.probing = false;
    _watched.insert(peer);
    _events.onLinkUp(peer);
}

Status PeerTransport::onHeartbeat(const NodeName& peer, const gen::Heartbeat& heartbeat) {
    if (!heartbeat.reply) {
        gen::Heartbeat answer;
        answer.reply = true;
        [[maybe_unused]] const Status sent = send(peer, toMessage(std::move(answer)));
    }
    return Status::ok();
}

Status PeerTransport::onGoodbye(const NodeName& peer, const gen::Goodbye& goodbye) {
    Link& link = linkTo(peer);
    if (goodbye.kind == gen::GoodbyeKind::Refuse) {
        if (link.situation.phase == LinkPhase::Closing) {
            linkUp(peer, link);
        }
        return Status::ok();
    }
    if (link.situation.phase == LinkPhase::Closing || !_events.usesLink(peer)) {
        // The proposer has sent nothing since, so nothing is lost.
        closeIdle(peer, link);
        return Status::ok();
    }
    gen::Goodbye refusal;
    refusal.kind = gen::GoodbyeKind::Refuse;
    [[maybe_unused]] const Status sent = send(peer, toMessage(std::move(refusal)));
    return Status::ok();
}

void PeerTransport::closeIdle(const NodeName& peer, Link& link) {
    link.connection.reset();
    link.situation.phase = LinkPhase::Idle;
    if (std::exchange(link.wantedAgain, false)) {
        dial(peer);
    }
}

void PeerTransport::onLinkClosed(const NodeName& peer, const std::string& reason) {
    Link& link = linkTo(peer);
    if (link.situation.phase == LinkPhase::Closing) {
        closeIdle(peer, link);
        return;
    }
    failLink(peer, reason);
}

void PeerTransport::failLink(const NodeName& peer, const std::string& reason) {
    Link& link = linkTo(peer);
    link.connection.reset();
    link.situation.phase = LinkPhase::Idle;
    link.retryAt = _clock.now() + link.backoff.onFailure();
    _events.onLinkDown(peer, reason);
}

void PeerTransport::acceptConnections() {
    while (QTcpSocket* socket = _server.nextPendingConnection()) {
        if (_greetings.size() >= _timings.greetingLimit) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        const auto greeting =
            std::make_shared<PeerConnection>(socket, _clock.now(), PeerConnection::Callbacks{});
        const std::weak_ptr<PeerConnection> weak = greeting;
        PeerConnection::Callbacks callbacks;
        callbacks.received = [this, weak](const gen::PeerMessage& message) {
            const Connection present = weak.lock();
            return present ? onGreeting(present, message) : Status::ok();
        };
        callbacks.closed = [this, weak](const std::string&) { _greetings.erase(weak.lock()); };
        greeting->setCallbacks(std::move(callbacks));
        _greetings.insert(greeting);
    }
}

Status PeerTransport::onGreeting(const Connection& greeting, const gen::PeerMessage& message) {
    if (!message.__isset.hello) {
        return {ErrorCode::ProtocolViolation, "the first message must be Hello"};
    }
    const NodeName peer(message.hello.node);
    const auto found = _links.find(peer);
    const LinkSituation situation =
        found == _links.end() ? LinkSituation{} : found->second->situation;
    switch (judgeHello(_self, situation, message.hello)) {
        case HelloDecision::Accept:
            accept(peer, greeting, message.hello);
            return Status::ok();
        case HelloDecision::RefuseAndProbe:
            found->second->probing = true;
            _watched.insert(peer);
            [[fallthrough]];
        case HelloDecision::Refuse:
            refuse(greeting, peer, gen::HelloVerdict::Duplicate);
            return Status::ok();
        case HelloDecision::Incompatible:
            refuse(greeting, peer, gen::HelloVerdict::Incompatible);
            return Status::ok();
    }
    return Status::ok();
}

void PeerTransport::refuse(const Connection& greeting, const NodeName& peer,
                           gen::HelloVerdict::type verdict) {
    [[maybe_unused]] const Status sent = greeting->send(toMessage(hello(peer, verdict)));
    PeerConnection::Callbacks callbacks;
    callbacks.received = [](const gen::PeerMessage&) { return Status::ok(); };
    const std::weak_ptr<PeerConnection> weak = greeting;
    callbacks.closed = [this, weak](const std::string&) { _greetings.erase(weak.lock()); };
    greeting->setCallbacks(std::move(callbacks));
    greeting->closeGracefully();
}

void PeerTransport::accept(const NodeName& peer, const Connection& greeting,
                           const gen::Hello& theirs) {
    const LinkPhase phase = linkTo(peer).situation.phase;
    if (phase == LinkPhase::Up || phase == LinkPhase::Closing) {
        failLink(peer, "the peer opened a new link");
    }
    Link& link = linkTo(peer);
    link.connection = greeting;
    link.situation.dialedHere = false;
    link.situation.peerInstance = theirs.instance;
    link.situation.peerAttempt = theirs.attempt;
    _greetings.erase(greeting);
    greeting->setCallbacks(linkCallbacks(peer));
    [[maybe_unused]] const Status sent =
        greeting->send(toMessage(hello(peer, gen::HelloVerdict::Accepted)));
    linkUp(peer, link);
}

void PeerTransport::checkLinks() {
    const TimePoint now = _clock.now();
    checkGreetings(now);
    const std::vector<NodeName> watched(_watched.begin(), _watched.end());
    for (const NodeName& peer : watched) {
        const auto found = _links.find(peer);
        if (found != _links.end()) {
            checkLink(peer, *found->second, now);
        }
    }
}

void PeerTransport::checkGreetings(TimePoint now) {
    std::erase_if(_greetings, [this, now](const Connection& greeting) {
        return now - greeting->createdAt() >= _timings.connectTimeout;
    });
}

void PeerTransport::checkLink(const NodeName& peer, Link& link, TimePoint now) {
    const bool attemptExpired = now - link.attemptStart >= _timings.connectTimeout;
    switch (link.situation.phase) {
        case LinkPhase::Idle:
            _watched.erase(peer);
            return;
        case LinkPhase::Dialing:
        case LinkPhase::AwaitingInbound:
            if (attemptExpired) {
                failLink(peer, "no connection in time");
            }
            return;
        case LinkPhase::Closing:
            if (attemptExpired) {
                closeIdle(peer, link);
            }
            return;
        case LinkPhase::Up:
            checkLiveness(peer, link, now);
            return;
    }
}

void PeerTransport::checkLiveness(const NodeName& peer, Link& link, TimePoint now) {
    const bool inUse = link.probing || _events.usesLink(peer);
    switch (link.liveness.check(now, inUse)) {
        case LivenessAction::Fail:
            failLink(peer, "the peer is silent");
            return;
        case LivenessAction::SendHeartbeat: {
            [[maybe_unused]] const Status sent = send(peer, toMessage(gen::Heartbeat()));
            return;
        }
        case LivenessAction::None:
            break;
    }
    if (!inUse) {
        _watched.erase(peer);
    }
}

void PeerTransport::checkIdleLinks() {
    const TimePoint now = _clock.now();
    std::vector<NodeName> forgotten;
    for (const auto& [peer, link] : _links) {
        const LinkPhase phase = link->situation.phase;
        const bool expired = now - link->liveness.lastActivity() >= _timings.idleTimeout;
        if (phase == LinkPhase::Up && expired && !_events.usesLink(peer)) {
            proposeGoodbye(peer, *link);
        } else if (phase == LinkPhase::Idle && link->address.host.empty()) {
            // A peer that came by itself and never became a known member.
            forgotten.push_back(peer);
        }
    }
    for (const NodeName& peer : forgotten) {
        _links.erase(peer);
    }
}

void PeerTransport::proposeGoodbye(const NodeName& peer, Link& link) {
    gen::Goodbye goodbye;
    goodbye.kind = gen::GoodbyeKind::Propose;
    if (!send(peer, toMessage(std::move(goodbye))).isOk()) {
        return;
    }
    link.situation.phase = LinkPhase::Closing;
    link.attemptStart = _clock.now();
}

}  // namespace coralhoist::peer
