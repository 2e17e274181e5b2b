/** Notes the era of the store from each of its answers. */
#pragma once

#include "base/StoreEra.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"

namespace coralhoist::store {

/** Calls the store; the era is known before whoever called learns of the answer. */
class EraNotingCaller final : public socket::HttpCaller {
public:
    /** References outlive the caller. */
    EraNotingCaller(socket::HttpCaller& store, const ObjectProtocol& protocol, StoreEra& era)
        : _store(store), _protocol(protocol), _era(era) {}

    void call(const socket::HttpCall& call, socket::HttpCallback callback) override;

private:
    socket::HttpCaller& _store;
    const ObjectProtocol& _protocol;
    StoreEra& _era;
};

}  // namespace coralhoist::store
