/** What users of the links to other proxies see of them. Implemented by PeerTransport. */
#pragma once

#include <cstddef>
#include <string>

#include "base/Identifier.h"
#include "base/Status.h"
#include "gen/peer_types.h"

namespace coralhoist::peer {

/** Whether messages can be sent to a peer. */
enum class LinkState {
    Up,
    Connecting,  /**< onLinkUp or onLinkDown follows. */
    Unreachable, /**< The last attempt failed a moment ago, or no address is known. */
};

/** Sends messages to peers by name. Calls never deliver an event before they return. */
class PeerChannels {
public:
    virtual ~PeerChannels() = default;

    /** Opens the link to a peer if there is none. @return its state. */
    virtual LinkState requestLink(const NodeName& peer) = 0;

    /** @return bytes handed over for the peer that have not reached the kernel. */
    virtual std::size_t unsentBytes(const NodeName& peer) const = 0;

    /**
     * Hands a message to the link.
     * @return Unavailable when the link is not up, InvalidArgument when the message is too large;
     *         nothing was sent then. After success the message may or may not arrive.
     */
    virtual Status send(const NodeName& peer, const gen::PeerMessage& message) = 0;
};

/** Receives what happens on links to peers. */
class PeerEvents {
public:
    virtual ~PeerEvents() = default;

    virtual void onLinkUp(const NodeName& peer) = 0;

    /**
     * The link failed or could not be opened. What was in flight on it is lost.
     * @param reason for logs and error messages.
     */
    virtual void onLinkDown(const NodeName& peer, const std::string& reason) = 0;

    /** Bytes have left; more may be handed over. */
    virtual void onWritable(const NodeName& peer) = 0;

    /** @return an error when the peer broke the protocol; the link is then closed. */
    virtual Status onMessage(const NodeName& peer, gen::PeerMessage message) = 0;

    /** @return whether something depends on the link: it is then watched and not closed as idle. */
    virtual bool usesLink(const NodeName& peer) const = 0;
};

}  // namespace coralhoist::peer
