/** Questions for proofs of leadership, changes of the store and quotas, and reports of load, over
 * the links of units. */
#include "link/forwarding/UnitLinks.h"

namespace coralhoist::forwarding {
namespace {

/** Reports of load are dropped while so many bytes wait to be sent: they would arrive too old. */
constexpr std::size_t kMostUnsent = 64U << 10U;

std::size_t encodedSize(const UnitMessage& message) {
    std::string bytes;
    encode(bytes, message);
    return bytes.size();
}

}  // namespace

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
    link.feedAskedAt = _clock.now();
    UnitMessage message;
    message.kind = UnitMessage::Kind::ChangesAsked;
    message.question = question;
    message.feedQuestion = asked;
    send(link, message);
}

void UnitLinks::sendQuotaRequest(const NodeName& node, std::uint64_t question,
                                 const tenancy::QuotaRequest& asked) {
    Link& link = connectedLink(node);
    noteWaiting(link);
    link.quotaQuestions.insert(question);
    UnitMessage message;
    message.kind = UnitMessage::Kind::QuotaAsked;
    message.question = question;
    message.quotaQuestion = asked;
    send(link, message);
}

void UnitLinks::updateLedger(const NodeName& node, std::uint64_t question,
                             const tenancy::LedgerUpdate& update) {
    Link& link = connectedLink(node);
    noteWaiting(link);
    link.ledgerUpdates.insert(question);
    UnitMessage message;
    message.kind = UnitMessage::Kind::LedgerUpdate;
    message.question = question;
    message.ledgerUpdate = update;
    send(link, message);
}

/** Nobody waits for an answer, so a lost report costs nothing but its news. */
void UnitLinks::sendLoadReport(const NodeName& node, const pooling::LoadReport& report) {
    const auto found = _links.find(node);
    if (found == _links.end() || found->second.node.port == 0 || _failed.contains(node)) {
        return;
    }
    Link& link = connectedLink(node);
    if (link.stream->unsentBytes() > kMostUnsent) {
        return;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::LoadTold;
    message.loadReport = report;
    if (link.leavesRegion && !_regions->background.take(encodedSize(message), _clock.now())) {
        return;
    }
    send(link, message);
}

/** @return whether the other node must answer something soon. */
bool UnitLinks::isWaitedFor(const Link& link) {
    return link.unanswered > 0 || link.proofQuestion || !link.quotaQuestions.empty() ||
           !link.ledgerUpdates.empty();
}

void UnitLinks::onProof(Link& link, const UnitMessage& message) {
    if (link.proofQuestion == message.question) {
        link.proofQuestion.reset();
    }
    if (_questionEvents.proofs != nullptr) {
        _questionEvents.proofs->onProofAnswer(message.question, message.proof);
    }
}

void UnitLinks::onChanges(Link& link, const UnitMessage& message) {
    if (link.feedQuestion == message.question) {
        link.feedQuestion.reset();
    }
    if (_questionEvents.feed != nullptr) {
        _questionEvents.feed->onFeedAnswer(message.question, message.feedAnswer);
    }
}

void UnitLinks::onQuota(Link& link, const UnitMessage& message) {
    link.quotaQuestions.erase(message.question);
    if (_questionEvents.quotas != nullptr) {
        _questionEvents.quotas->onQuotaResponse(message.question, message.quotaAnswer);
    }
}

void UnitLinks::onLedgerAck(Link& link, const UnitMessage& message) {
    link.ledgerUpdates.erase(message.question);
    if (_questionEvents.quotas != nullptr) {
        _questionEvents.quotas->onLedgerAck(message.question, message.ledgerAck);
    }
}

/** The link is gone: its questions will not be answered. */
void UnitLinks::loseQuestions(const Link& link) {
    if (link.proofQuestion && _questionEvents.proofs != nullptr) {
        _questionEvents.proofs->onProofAnswer(*link.proofQuestion, std::nullopt);
    }
    if (link.feedQuestion && _questionEvents.feed != nullptr) {
        _questionEvents.feed->onFeedAnswer(*link.feedQuestion, std::nullopt);
    }
    for (const std::uint64_t question : link.quotaQuestions) {
        if (_questionEvents.quotas != nullptr) {
            _questionEvents.quotas->onQuotaResponse(question, std::nullopt);
        }
    }
    for (const std::uint64_t update : link.ledgerUpdates) {
        if (_questionEvents.quotas != nullptr) {
            _questionEvents.quotas->onLedgerAck(update, std::nullopt);
        }
    }
}

}  // namespace coralhoist::forwarding
