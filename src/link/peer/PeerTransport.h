/** Keeps the TCP links to other proxies. */
#pragma once

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/Identifier.h"
#include "base/Status.h"
#include "base/Time.h"
#include "link/peer/HelloRules.h"
#include "link/peer/LinkKnobs.h"
#include "link/peer/LinkLiveness.h"
#include "link/peer/PeerChannels.h"
#include "link/peer/PeerConnection.h"
#include "link/peer/ReconnectBackoff.h"

namespace coralhoist::peer {

/** Where a peer listens. */
struct PeerAddress {
    /** IP number. */
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const PeerAddress&) const = default;
};

/**
 * At most one link to each peer: opened when first asked for, shared by both directions, watched
 * while in use, closed when idle for long. Lives on the thread of its Qt event loop.
 */
class PeerTransport final : public QObject, public PeerChannels {
public:
    /**
     * @param self, zone this node.
     * @param clock, random, events outlive the transport.
     */
    PeerTransport(NodeName self, ZoneName zone, const Clock& clock, RandomSource& random,
                  PeerEvents& events, LinkTimings timings = {});
    ~PeerTransport() override;

    /**
     * Starts to accept links.
     * @param address this node's IP number; also the source address of links that it opens.
     * @param port 0 lets the kernel choose.
     * @return Unavailable when the port can't be bound.
     */
    Status listen(const std::string& address, std::uint16_t port);

    /** @return the port that accepts links. */
    std::uint16_t port() const { return _server.serverPort(); }

    /** Sets where a peer listens. A link that is up stays. */
    void setAddress(const NodeName& peer, const PeerAddress& address);

    /** Forgets a peer; a link to it is closed. */
    void removePeer(const NodeName& peer);

    LinkState requestLink(const NodeName& peer) override;
    std::size_t unsentBytes(const NodeName& peer) const override;
    Status send(const NodeName& peer, const gen::PeerMessage& message) override;

    /** @return links that are up; for statistics. */
    std::size_t linkCount() const;

private:
    using Connection = std::shared_ptr<PeerConnection>;

    struct Link {
        Link(ReconnectBackoff initialBackoff, LinkLiveness initialLiveness)
            : backoff(initialBackoff), liveness(initialLiveness) {}

        LinkSituation situation;
        PeerAddress address;
        Connection connection;
        ReconnectBackoff backoff;
        LinkLiveness liveness;
        /** The peer counts as unreachable until then. */
        TimePoint retryAt;
        /** When the present attempt began. */
        TimePoint attemptStart;
        /** Connections opened here. */
        std::int64_t attempts = 0;
        /** Asked for while a Goodbye was on its way. */
        bool wantedAgain = false;
        /** Must show a sign of life, used or not. */
        bool probing = false;
    };

    Link& linkTo(const NodeName& peer);
    void dial(const NodeName& peer);
    void startDial(const NodeName& peer);
    gen::Hello hello(const NodeName& peer, gen::HelloVerdict::type verdict) const;

    void acceptConnections();
    Status onGreeting(const Connection& greeting, const gen::PeerMessage& message);
    void refuse(const Connection& greeting, const NodeName& peer, gen::HelloVerdict::type verdict);
    void accept(const NodeName& peer, const Connection& greeting, const gen::Hello& theirs);
    PeerConnection::Callbacks linkCallbacks(const NodeName& peer);

    Status onLinkMessage(const NodeName& peer, gen::PeerMessage message);
    Status onHelloAnswer(const NodeName& peer, const gen::Hello& answer);
    Status onHeartbeat(const NodeName& peer, const gen::Heartbeat& heartbeat);
    Status onGoodbye(const NodeName& peer, const gen::Goodbye& goodbye);
    void onLinkClosed(const NodeName& peer, const std::string& reason);
    void linkUp(const NodeName& peer, Link& link);
    void failLink(const NodeName& peer, const std::string& reason);
    void closeIdle(const NodeName& peer, Link& link);
    void proposeGoodbye(const NodeName& peer, Link& link);

    void checkLinks();
    void checkLink(const NodeName& peer, Link& link, TimePoint now);
    void checkLiveness(const NodeName& peer, Link& link, TimePoint now);
    void checkIdleLinks();
    void checkGreetings(TimePoint now);

    NodeName _self;
    ZoneName _zone;
    const Clock& _clock;
    RandomSource& _random;
    PeerEvents& _events;
    LinkTimings _timings;
    std::int64_t _instance;
    QHostAddress _address;
    QTcpServer _server;
    QTimer _checkTimer;
    QTimer _idleTimer;
    std::map<NodeName, std::unique_ptr<Link>> _links;
    /** Links that need checks: being opened, in use, or used a moment ago. */
    std::set<NodeName> _watched;
    /** Connections that have not said Hello, or are being refused. */
    std::set<Connection> _greetings;
};

}  // namespace coralhoist::peer
