#include "link/peer/HelloRules.h"

namespace coralhoist::peer {
namespace {

HelloDecision judgeAgainstLink(const NodeName& self, const LinkSituation& situation,
                               const gen::Hello& hello) {
    if (hello.instance != situation.peerInstance) {
        // The peer was restarted.
        return HelloDecision::Accept;
    }
    if (!situation.dialedHere) {
        return hello.attempt > situation.peerAttempt ? HelloDecision::Accept
                                                     : HelloDecision::Refuse;
    }
    // The peer took our connection. With the smaller name it would have refused ours while opening
    // its own, so it has lost ours since. Else this may be the loser of a race, sent before.
    return hello.node < self.value() ? HelloDecision::Accept : HelloDecision::RefuseAndProbe;
}

}  // namespace

HelloDecision judgeHello(const NodeName& self, const LinkSituation& situation,
                         const gen::Hello& hello) {
    if (hello.protocolVersion != kPeerProtocolVersion) {
        return HelloDecision::Incompatible;
    }
    if (hello.verdict != gen::HelloVerdict::Proposed || hello.node.empty() ||
        hello.node == self.value()) {
        return HelloDecision::Refuse;
    }
    switch (situation.phase) {
        case LinkPhase::Idle:
        case LinkPhase::AwaitingInbound:
            return HelloDecision::Accept;
        case LinkPhase::Dialing:
            return self.value() < hello.node ? HelloDecision::Refuse : HelloDecision::Accept;
        case LinkPhase::Up:
        case LinkPhase::Closing:
            return judgeAgainstLink(self, situation, hello);
    }
    return HelloDecision::Refuse;
}

}  // namespace coralhoist::peer
