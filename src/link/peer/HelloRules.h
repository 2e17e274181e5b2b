/** Decides which of several connections of a pair of nodes becomes their link. */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "gen/peer_types.h"

namespace coralhoist::peer {

/** Version of the peer protocol; nodes with different versions do not talk. */
inline constexpr std::int32_t kPeerProtocolVersion = 1;

/** How far the link to a peer is. */
enum class LinkPhase {
    Idle,
    Dialing,         /**< This node has opened a connection; no answer to its Hello yet. */
    AwaitingInbound, /**< The peer prefers the connection that it is opening itself. */
    Up,
    Closing, /**< Goodbye was proposed; nothing but the answer is expected. */
};

/** What is known about the present link when a Hello comes on another connection. */
struct LinkSituation {
    LinkPhase phase = LinkPhase::Idle;
    /** Of the link that is up: who opened it, and what its Hello said. */
    bool dialedHere = false;
    std::int64_t peerInstance = 0;
    std::int64_t peerAttempt = 0;
};

/** What to do with a connection that said Hello. */
enum class HelloDecision {
    Accept,         /**< It becomes the link, in place of any other; that one is lost. */
    Refuse,         /**< The present one stays. */
    RefuseAndProbe, /**< The present one stays if it still answers. */
    Incompatible,
};

/**
 * @param self this node.
 * @param hello from the node that opened the connection.
 *
 * When both ends open a connection at once, the one opened by the node with the smaller name wins
 * on both ends. Otherwise a node opens a connection only when it has no link, so the later one
 * tells that the earlier one is lost.
 */
HelloDecision judgeHello(const NodeName& self, const LinkSituation& situation,
                         const gen::Hello& hello);

}  // namespace coralhoist::peer
