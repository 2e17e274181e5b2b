/** Carries out operators' requests on this node. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/Time.h"
#include "duty/GroupDirectory.h"
#include "duty/SettingsStore.h"
#include "link/operator/OperatorService.h"
#include "link/operator/SettingsAnswers.h"
#include "link/platform/PlatformClient.h"
#include "zone/Membership.h"

namespace coralhoist::duty {

/** Parts of the node that the gateway does not own and only asks. */
class NodeControl {
public:
    virtual ~NodeControl() = default;

    /** @return why this node is not ready for callers; empty when it is. */
    virtual std::string readinessReason() const = 0;
    virtual bool isDraining() const = 0;
    virtual bool isPlatformReachable() const = 0;
    /** Sessions of callers on this node. */
    virtual gen::SessionSummary sessions() const = 0;
    /** Starts the planned stop of this node. */
    virtual void requestDrain() = 0;
    /** Takes a record that the platform has accepted, and passes it on to peers. */
    virtual void onEditAccepted(const settings::SettingsObjectRecord& record) = 0;
    /** Which members have a version in force; completion is called once. */
    virtual void collectInForce(const gen::SettingsInForceRequest& request,
                                operators::Completion<gen::SettingsInForceResponse> completion) = 0;
};

/** Implements OperatorService with the node's settings, platform client and membership. */
class OperatorGateway final : public operators::OperatorService {
public:
    /** What the gateway works with; all outlive it. */
    struct Dependencies {
        NodeName self;
        std::string version;
        SettingsStore& store;
        platform::PlatformClient& platform;
        const zone::Membership& membership;
        GroupDirectory& directory;
        GroupRuntimes& runtimes;
        NodeControl& control;
        const Clock& clock;
    };

    explicit OperatorGateway(Dependencies dependencies);

    void settingsGet(const gen::SettingsGetRequest& request,
                     operators::Completion<gen::SettingsGetResponse> completion) override;
    void settingsList(const gen::SettingsListRequest& request,
                      operators::Completion<gen::SettingsListResponse> completion) override;
    void settingsEdit(const gen::SettingsEditRequest& request,
                      operators::Completion<gen::SettingsEditResponse> completion) override;
    void settingsEffective(
        const gen::SettingsEffectiveRequest& request,
        operators::Completion<gen::SettingsEffectiveResponse> completion) override;
    StatusWith<std::unique_ptr<operators::WatchSubscription>> settingsWatch(
        const gen::SettingsWatchRequest& request, operators::ChangeListener listener) override;
    void settingsHistory(const gen::SettingsHistoryRequest& request,
                         operators::Completion<gen::SettingsHistoryResponse> completion) override;
    void settingsFindOperation(
        const gen::SettingsFindOperationRequest& request,
        operators::Completion<gen::SettingsFindOperationResponse> completion) override;
    void settingsInForce(const gen::SettingsInForceRequest& request,
                         operators::Completion<gen::SettingsInForceResponse> completion) override;
    void status(const gen::StatusRequest& request,
                operators::Completion<gen::StatusResponse> completion) override;
    void drain(const gen::DrainRequest& request,
               operators::Completion<gen::DrainResponse> completion) override;
    void version(const gen::VersionRequest& request,
                 operators::Completion<gen::VersionResponse> completion) override;

private:
    void offerToPlatform(const gen::SettingsEditRequest& request,
                         operators::Completion<gen::SettingsEditResponse> completion);
    void drainServer(const gen::DrainRequest& request,
                     operators::Completion<gen::DrainResponse> completion);
    gen::GroupStatusEntry groupStatus(const GroupName& group);

    Dependencies _node;
    operators::SettingsAnswers _answers;
    TimePoint _startedAt;
};

}  // namespace coralhoist::duty
