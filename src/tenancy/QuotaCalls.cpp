#include "tenancy/QuotaCalls.h"

#include <utility>

namespace coralhoist::tenancy {

void QuotaCalls::ask(const NodeName& node, const QuotaRequest& question, AnswerCallback callback) {
    const std::uint64_t number = ++_last;
    _pendingRequests[number] = std::move(callback);
    _questions.sendQuotaRequest(node, number, question);
}

void QuotaCalls::update(const NodeName& node, const LedgerUpdate& update, AckCallback callback) {
    const std::uint64_t number = ++_last;
    _pendingUpdates[number] = std::move(callback);
    _questions.updateLedger(node, number, update);
}

void QuotaCalls::onAnswer(std::uint64_t question, const std::optional<QuotaResponse>& answer) {
    if (const auto asked = _pendingRequests.extract(question)) {
        asked.mapped()(answer);
    }
}

void QuotaCalls::onAck(std::uint64_t question, const std::optional<LedgerAck>& ack) {
    if (const auto sent = _pendingUpdates.extract(question)) {
        sent.mapped()(ack);
    }
}

}  // namespace coralhoist::tenancy
