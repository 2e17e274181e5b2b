#include "link/store/EraNotingCaller.h"

#include <utility>

namespace coralhoist::store {

void EraNotingCaller::call(const socket::HttpCall& call, socket::HttpCallback callback) {
    _store.call(call, [this, callback = std::move(callback)](const socket::HttpAnswer& answer) {
        if (answer.outcome == socket::HttpAnswer::Outcome::Answered) {
            _era.note(_protocol.eraOf(answer), "store");
        }
        callback(answer);
    });
}

}  // namespace coralhoist::store
