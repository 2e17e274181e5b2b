/** The promotion call as it is handed to the connection to the platform. */
#include <CppUTest/TestHarness.h>

#include <optional>

#include "cluster/StoredPromotions.h"
#include "platform/PlatformCodec.h"
#include "platform/StoreProtocol.h"

namespace coralhoist::cluster {
namespace {

/** Keeps the last call. */
class RecordedCaller final : public socket::HttpCaller {
public:
    void call(const socket::HttpCall& call, socket::HttpCallback /*callback*/) override {
        last = call;
    }

    std::optional<socket::HttpCall> last;
};

TEST_GROUP(StoredPromotions) {
    RecordedCaller store;
    RecordedCaller platform;
    platform_adapter::StoreProtocol protocol;
    platform_adapter::PlatformCodec codec;
    StoredPromotions promotions{store, platform, protocol, codec, NodeName("n1")};
};

/** Guards against a call whose time limit counts from the call alone: the claim is older. */
TEST(StoredPromotions, APromotionCallHasTheTimeByWhichItMustBeSent) {
    const TimePoint sendBy{std::chrono::milliseconds(1234)};
    promotions.promote({GroupName("g"), ServerName("s2"), 7, sendBy},
                       [](failover::PromoteOutcome /*outcome*/) {});
    CHECK_TRUE(platform.last && platform.last->sendBy == sendBy);
}

}  // namespace
}  // namespace coralhoist::cluster
