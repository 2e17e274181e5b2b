/** Keeps this node's settings fresh: from the platform when it is a reader, and from peers. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/Time.h"
#include "duty/SettingsStore.h"
#include "duty/event/TickScheduler.h"
#include "link/operator/OperatorService.h"
#include "link/platform/PlatformClient.h"
#include "zone/SettingsDistributor.h"
#include "zone/TreeReplica.h"

namespace coralhoist::duty {

/** Drives the SettingsDistributor and opens or closes the platform watch as it asks. */
class SettingsControl final : private platform::SettingsWatchEvents {
public:
    /** All references outlive this object. */
    SettingsControl(SettingsStore& store, platform::PlatformClient& platform,
                    const zone::Membership& membership, RandomSource& random, const Clock& clock,
                    zone::DistributionOutput& output);

    /** @param ticks outlives this object. */
    void start(TickScheduler& ticks);

    /** A message of a peer's distributor. @param encodedBytes its size on the wire. */
    void onMessage(const zone::DistributionMessage& message, std::size_t encodedBytes);

    /** A record that the platform has accepted from an operator of this node. */
    void onLocalRecord(const settings::SettingsObjectRecord& record);

    /** Opens or closes the watch on the platform. Call about once a second. */
    void adjustWatch();

    /** Asks all live members about a version; the completion comes within seconds. */
    void collectInForce(const gen::SettingsInForceRequest& request,
                        operators::Completion<gen::SettingsInForceResponse> completion);

    bool isReady() const { return _distributor.isReady(); }
    /** @return whether the platform answered lately, or this node need not know. */
    bool isPlatformReachable() const { return _platformReachable; }
    bool readsPlatform() const { return _watch != nullptr; }

private:
    void onSettingsListed(const platform::SettingsList& list) override;
    void onSettingsChanged(const settings::SettingsObjectRecord& record) override;
    void onSettingsProgress(std::uint64_t version) override;
    void onSettingsWatchInterrupted(const Status& reason) override;

    const Clock& _clock;
    platform::PlatformClient& _platform;
    zone::TreeReplica _replica;
    zone::SettingsDistributor _distributor;
    std::unique_ptr<platform::Watch> _watch;
    bool _platformReachable = true;
};

}  // namespace coralhoist::duty
