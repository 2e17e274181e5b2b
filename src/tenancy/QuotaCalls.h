/** Remote quota calls to other nodes, with a callback per request instead of a request number. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "tenancy/QuotaMessages.h"

namespace coralhoist::tenancy {

/**
 * Each callback is called once and asynchronously. Its argument is empty if the connection is lost.
 */
class QuotaCalls {
public:
    using AnswerCallback = std::function<void(const std::optional<QuotaResponse>&)>;
    using AckCallback = std::function<void(const std::optional<LedgerAck>&)>;

    /** @param questions sender of the requests; must outlive this object. */
    explicit QuotaCalls(QuotaRequestSender& questions) : _questions(questions) {}

    bool canReach(const NodeName& node) const { return _questions.canReach(node); }
    void ask(const NodeName& node, const QuotaRequest& question, AnswerCallback callback);
    void update(const NodeName& node, const LedgerUpdate& update, AckCallback callback);

    void onAnswer(std::uint64_t question, const std::optional<QuotaResponse>& answer);
    void onAck(std::uint64_t question, const std::optional<LedgerAck>& ack);

private:
    QuotaRequestSender& _questions;
    std::map<std::uint64_t, AnswerCallback> _pendingRequests;
    std::map<std::uint64_t, AckCallback> _pendingUpdates;
    std::uint64_t _last = 0;
};

}  // namespace coralhoist::tenancy
