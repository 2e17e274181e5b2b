#include "cluster/StoredPromotions.h"

#include <utility>

namespace coralhoist::cluster {
namespace {

using failover::LoadedRecord;
using failover::SavedRecord;

constexpr Duration kPromoteTimeout = std::chrono::milliseconds(900);

}  // namespace

StoredPromotions::StoredPromotions(socket::HttpCaller& storeClient,
                                   socket::HttpCaller& promotionClient,
                                   const store::ObjectProtocol& protocol, const ClusterCodec& codec,
                                   NodeName self)
    : _records{storeClient, protocol, codec.kinds().promotions},
      _promotionClient(promotionClient),
      _codec(codec),
      _self(std::move(self)) {}

void StoredPromotions::load(const GroupName& group,
                            std::function<void(const LoadedRecord&)> callback) {
    _records.load<LoadedRecord>(
        group.value(),
        [this](const store::StoredObject& object) { return _codec.readPromotion(object); },
        std::move(callback));
}

void StoredPromotions::save(const GroupName& group, const failover::PromotionRecord& record,
                            std::function<void(const SavedRecord&)> callback) {
    _records.save<SavedRecord>(_codec.writePromotion(group, record), std::move(callback));
}

void StoredPromotions::promote(const failover::PromotionCall& call,
                               std::function<void(failover::PromoteOutcome)> callback) {
    socket::HttpCall request = _codec.promoteCall(call.group, call.successor, _self, call.fence);
    request.timeout = kPromoteTimeout;
    request.sendBy = call.sendBy;
    _promotionClient.call(request,
                          [this, callback = std::move(callback)](const socket::HttpAnswer& answer) {
                              callback(_codec.readPromoteAnswer(answer));
                          });
}

}  // namespace coralhoist::cluster
