#include "cluster/StoredPromotions.h"

#include <utility>

namespace coralhoist::cluster {
namespace {

using failover::LoadedRecord;
using failover::SavedRecord;
using failover::StoreOutcome;
using socket::HttpAnswer;

constexpr Duration kStoreTimeout = std::chrono::milliseconds(700);
constexpr Duration kPromoteTimeout = std::chrono::milliseconds(900);
constexpr int kSuccess = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

/** @return how a writing call ended, but for its success. */
StoreOutcome failureOf(const HttpAnswer& answer) {
    if (answer.outcome == HttpAnswer::Outcome::Lost) {
        return StoreOutcome::Unknown;
    }
    if (answer.outcome == HttpAnswer::Outcome::NotSent) {
        return StoreOutcome::Unavailable;
    }
    const bool conflict = answer.status == kConflict || answer.status == kNotFound;
    return conflict ? StoreOutcome::Conflict : StoreOutcome::Unavailable;
}

bool isSuccess(const HttpAnswer& answer) {
    return answer.outcome == HttpAnswer::Outcome::Answered &&
           (answer.status == kSuccess || answer.status == kCreated);
}

}  // namespace

StoredPromotions::StoredPromotions(socket::HttpClient& storeClient,
                                   socket::HttpClient& promotionClient,
                                   const store::ObjectProtocol& protocol, const ClusterCodec& codec,
                                   NodeName self)
    : _storeClient(storeClient),
      _promotionClient(promotionClient),
      _protocol(protocol),
      _codec(codec),
      _self(std::move(self)) {}

void StoredPromotions::load(const GroupName& group,
                            std::function<void(const LoadedRecord&)> callback) {
    socket::HttpCall call = _protocol.readCall(_codec.kinds().promotions, group.value());
    call.timeout = kStoreTimeout;
    _storeClient.call(call, [this, callback = std::move(callback)](const HttpAnswer& answer) {
        LoadedRecord loaded;
        const bool answered = answer.outcome == HttpAnswer::Outcome::Answered;
        if (answered && answer.status == kNotFound) {
            loaded.outcome = StoreOutcome::Done;
        } else if (isSuccess(answer)) {
            const std::optional<store::StoredObject> object = _protocol.readObject(answer.body);
            const auto record = object ? _codec.readPromotion(*object) : std::nullopt;
            if (record) {
                loaded.outcome = StoreOutcome::Done;
                loaded.record = *record;
            }
        }
        callback(loaded);
    });
}

void StoredPromotions::save(const GroupName& group, const failover::PromotionRecord& record,
                            std::function<void(const SavedRecord&)> callback) {
    const store::StoredObject object = _codec.writePromotion(group, record);
    const std::string kind = _codec.kinds().promotions;
    socket::HttpCall call = record.version == 0 ? _protocol.createCall(kind, object)
                                                : _protocol.replaceCall(kind, object);
    call.timeout = kStoreTimeout;
    _storeClient.call(call, [this, callback = std::move(callback)](const HttpAnswer& answer) {
        SavedRecord saved;
        saved.outcome = failureOf(answer);
        if (isSuccess(answer)) {
            const std::optional<store::StoredObject> written = _protocol.readObject(answer.body);
            saved.outcome = written ? StoreOutcome::Done : StoreOutcome::Unknown;
            saved.version = written ? written->version : 0;
        }
        callback(saved);
    });
}

void StoredPromotions::promote(const GroupName& group, const ServerName& server,
                               std::uint64_t fence,
                               std::function<void(failover::PromoteOutcome)> callback) {
    socket::HttpCall call = _codec.promoteCall(group, server, _self, fence);
    call.timeout = kPromoteTimeout;
    _promotionClient.call(call, [this, callback = std::move(callback)](const HttpAnswer& answer) {
        callback(_codec.readPromoteAnswer(answer));
    });
}

}  // namespace coralhoist::cluster
