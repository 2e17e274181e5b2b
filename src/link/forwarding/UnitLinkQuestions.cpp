/** Questions for proofs of leadership and for changes of the store, over the links of units. */
#include "link/forwarding/UnitLinks.h"

namespace coralhoist::forwarding {

void UnitLinks::askForProof(const NodeName& node, std::uint64_t question,
                            const pooling::ProofNeed& need) {
    Link& link = connectedLink(node);
    noteWaiting(link);
    link.proofQuestion = question;
    UnitMessage message;
    message.kind = UnitMessage::Kind::ProofAsked;
    message.question = question;
    message.proofNeed = need;
    send(link, message);
}

void UnitLinks::askForChanges(const NodeName& node, std::uint64_t question,
                              const store::FeedQuestion& asked) {
    Link& link = connectedLink(node);
    link.feedQuestion = question;
    UnitMessage message;
    message.kind = UnitMessage::Kind::ChangesAsked;
    message.question = question;
    message.feedQuestion = asked;
    send(link, message);
}

void UnitLinks::onProof(Link& link, const UnitMessage& message) {
    if (link.proofQuestion == message.question) {
        link.proofQuestion.reset();
    }
    if (_proofEvents != nullptr) {
        _proofEvents->onProofAnswer(message.question, message.proof);
    }
}

void UnitLinks::onChanges(Link& link, const UnitMessage& message) {
    if (link.feedQuestion == message.question) {
        link.feedQuestion.reset();
    }
    if (_feedEvents != nullptr) {
        _feedEvents->onFeedAnswer(message.question, message.feedAnswer);
    }
}

}  // namespace coralhoist::forwarding
