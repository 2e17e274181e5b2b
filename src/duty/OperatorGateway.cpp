#include "duty/OperatorGateway.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/Error.h"
#include "base/Log.h"
#include "duty/OperatorConversions.h"
#include "duty/ServerDrain.h"

namespace coralhoist::duty {
namespace {

using operators::Completion;

/** Most groups in one status answer; operators ask for more through the settings. */
constexpr std::size_t kStatusGroupLimit = 200;

/** A watch of an operator: a subscription to the settings store. */
class StoreWatch final : public operators::WatchSubscription {
public:
    explicit StoreWatch(std::unique_ptr<SettingsStore::Subscription> subscription)
        : _subscription(std::move(subscription)) {}

private:
    std::unique_ptr<SettingsStore::Subscription> _subscription;
};

platform::SettingsEdit platformEdit(const gen::SettingsEditRequest& request) {
    platform::SettingsEdit edit;
    edit.path = request.path;
    edit.expectedVersion = static_cast<std::uint64_t>(request.basedOnVersion);
    edit.document = request.document;
    edit.operationId = request.operationId;
    edit.author = request.author;
    return edit;
}

ZoneName zoneOf(const std::optional<settings::GroupSettings>& settings, const ServerName& server) {
    if (settings) {
        for (const settings::ServerEndpoint& endpoint : settings->servers) {
            if (endpoint.name == server) {
                return endpoint.zone;
            }
        }
    }
    return {};
}

StatusWith<gen::DrainResponse> drainAnswer(const StatusWith<gen::SettingsEditResponse>& answer,
                                           const std::string& what) {
    if (!answer.isOk()) {
        return answer.status();
    }
    const gen::SettingsEditResponse& edit = answer.value();
    if (edit.outcome == gen::EditOutcome::Accepted) {
        gen::DrainResponse response;
        response.message = what;
        return response;
    }
    if (edit.outcome == gen::EditOutcome::Unknown) {
        return Status(ErrorCode::OutcomeUnknown, "the platform did not answer; repeat the command");
    }
    const std::string reason = edit.problems.empty() ? "another edit came first; repeat the command"
                                                     : edit.problems.front();
    return Status(ErrorCode::VersionConflict, reason);
}

}  // namespace

OperatorGateway::OperatorGateway(Dependencies dependencies)
    : _node(std::move(dependencies)),
      _answers(_node.store.tree(), _node.store.history()),
      _startedAt(_node.clock.now()) {}

void OperatorGateway::settingsGet(const gen::SettingsGetRequest& request,
                                  Completion<gen::SettingsGetResponse> completion) {
    completion(_answers.get(request));
}

void OperatorGateway::settingsList(const gen::SettingsListRequest& request,
                                   Completion<gen::SettingsListResponse> completion) {
    completion(_answers.list(request));
}

void OperatorGateway::settingsEdit(const gen::SettingsEditRequest& request,
                                   Completion<gen::SettingsEditResponse> completion) {
    const std::optional<gen::SettingsEditResponse> decided = _answers.decideEdit(request);
    if (decided) {
        completion(*decided);
        return;
    }
    offerToPlatform(request, std::move(completion));
}

void OperatorGateway::offerToPlatform(const gen::SettingsEditRequest& request,
                                      Completion<gen::SettingsEditResponse> completion) {
    const auto onEdited = [this, request, completion = std::move(completion)](
                              const platform::EditOutcome& outcome) {
        LogEvent("operator", LogLevel::Info, "settings.edit")
            .field("path", request.path)
            .field("author", request.author)
            .field("operation", request.operationId)
            .field("outcome", outcome.status.isOk() ? "accepted" : outcome.status.message());
        if (outcome.status.isOk()) {
            settings::SettingsObjectRecord record = operators::SettingsAnswers::recordOf(request);
            record.version = outcome.version;
            _node.control.onEditAccepted(record);
        }
        completion(toEditResponse(outcome));
    };
    if (request.deleteNode) {
        _node.platform.deleteNode(platformEdit(request), onEdited);
    } else if (request.basedOnVersion == 0) {
        _node.platform.createNode(platformEdit(request), onEdited);
    } else {
        _node.platform.replaceNode(platformEdit(request), onEdited);
    }
}

void OperatorGateway::settingsEffective(const gen::SettingsEffectiveRequest& request,
                                        Completion<gen::SettingsEffectiveResponse> completion) {
    completion(_answers.effective(request));
}

StatusWith<std::unique_ptr<operators::WatchSubscription>> OperatorGateway::settingsWatch(
    const gen::SettingsWatchRequest& request, operators::ChangeListener listener) {
    const auto path = settings::NodePath::parse(request.path);
    if (!path.isOk()) {
        return path.status();
    }
    auto subscription = _node.store.subscribe(
        [prefix = request.path, listener = std::move(listener)](const auto& change) {
            if (settings::isAtOrBelow(change.record.path, prefix)) {
                listener(operators::toMessage(change));
            }
        });
    return std::unique_ptr<operators::WatchSubscription>(
        std::make_unique<StoreWatch>(std::move(subscription)));
}

void OperatorGateway::settingsHistory(const gen::SettingsHistoryRequest& request,
                                      Completion<gen::SettingsHistoryResponse> completion) {
    completion(_answers.history(request));
}

void OperatorGateway::settingsFindOperation(
    const gen::SettingsFindOperationRequest& request,
    Completion<gen::SettingsFindOperationResponse> completion) {
    completion(_answers.findOperation(request));
}

void OperatorGateway::settingsInForce(const gen::SettingsInForceRequest& request,
                                      Completion<gen::SettingsInForceResponse> completion) {
    _node.control.collectInForce(request, std::move(completion));
}

gen::GroupStatusEntry OperatorGateway::groupStatus(const GroupName& group) {
    gen::GroupStatusEntry entry;
    entry.name = group.value();
    for (const zone::Owner& owner : _node.directory.ownersWithRoles(group)) {
        auto& list =
            owner.role == zone::OwnerRole::Active ? entry.activeOwners : entry.standbyOwners;
        list.push_back(owner.name.value());
    }
    GroupRuntime* runtime = _node.runtimes.owned(group);
    if (runtime == nullptr) {
        return entry;
    }
    const contract::GroupReport report = runtime->status();
    const contract::ExecutorStatistics statistics = runtime->statistics();
    entry.term = static_cast<std::int64_t>(report.term);
    if (report.primary) {
        entry.__set_primary(report.primary->value());
    }
    entry.urgentQueueLength = static_cast<std::int32_t>(statistics.urgentQueued);
    entry.ordinaryQueueLength = static_cast<std::int32_t>(statistics.ordinaryQueued);
    const auto settings = _node.store.tree().snapshot()->group(group);
    for (const contract::ServerReport& server : report.servers) {
        entry.servers.push_back(toServerStatus(server, zoneOf(settings, server.server)));
    }
    return entry;
}

void OperatorGateway::status(const gen::StatusRequest& /*request*/,
                             Completion<gen::StatusResponse> completion) {
    gen::StatusResponse response;
    response.node = _node.self.value();
    response.readinessReason = _node.control.readinessReason();
    response.ready = response.readinessReason.empty();
    response.draining = _node.control.isDraining();
    response.freshestSettingsVersion =
        static_cast<std::int64_t>(_node.store.tree().freshestVersion());
    response.platformReachable = _node.control.isPlatformReachable();
    response.sessions = _node.control.sessions();
    response.version = _node.version;
    const Duration uptime = _node.clock.now() - _startedAt;
    response.uptimeMilliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(uptime).count();
    response.members.push_back(toMemberStatus(_node.membership.self()));
    for (const zone::Member* member : _node.membership.members().live()) {
        if (member->name != _node.self) {
            response.members.push_back(toMemberStatus(*member));
        }
    }
    for (const GroupName& group : _node.store.tree().snapshot()->groups()) {
        if (response.groups.size() < kStatusGroupLimit) {
            response.groups.push_back(groupStatus(group));
        }
    }
    for (const settings::SettingsFault& fault : _node.store.tree().faults()) {
        response.faults.push_back(fault.message);
    }
    completion(response);
}

void OperatorGateway::drain(const gen::DrainRequest& request,
                            Completion<gen::DrainResponse> completion) {
    if (request.__isset.server) {
        drainServer(request, std::move(completion));
        return;
    }
    if (request.__isset.node && request.node != _node.self.value()) {
        completion(Status(ErrorCode::InvalidArgument,
                          "ask proxy " + request.node + " itself: --proxy with its operator port"));
        return;
    }
    if (request.undo) {
        completion(Status(ErrorCode::Unsupported, "a planned stop can't be taken back"));
        return;
    }
    _node.control.requestDrain();
    gen::DrainResponse response;
    response.message = "proxy " + _node.self.value() + " drains and then stops";
    completion(response);
}

void OperatorGateway::drainServer(const gen::DrainRequest& request,
                                  Completion<gen::DrainResponse> completion) {
    const auto edit = leavingServerEdit(request, *_node.store.tree().snapshot());
    if (!edit.isOk()) {
        completion(edit.status());
        return;
    }
    const std::string what = "server " + request.server + " of group " + request.group +
                             (request.undo ? " takes work again" : " gets no new work");
    settingsEdit(edit.value(), [what, completion = std::move(completion)](
                                   const StatusWith<gen::SettingsEditResponse>& answer) {
        completion(drainAnswer(answer, what));
    });
}

void OperatorGateway::version(const gen::VersionRequest& /*request*/,
                              Completion<gen::VersionResponse> completion) {
    gen::VersionResponse response;
    response.version = _node.version;
    response.node = _node.self.value();
    completion(response);
}

}  // namespace coralhoist::duty
