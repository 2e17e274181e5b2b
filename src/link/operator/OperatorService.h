/** What a proxy does for operators. Implemented by the daemon; called by OperatorServer. */
#pragma once

#include <functional>
#include <memory>

#include "base/Status.h"
#include "gen/operator_types.h"

namespace coralhoist::operators {

/**
 * Receives the outcome of one request. Call it once, now or later, on the thread that called the
 * service; it does nothing when the operator has gone.
 */
template <typename Response>
using Completion = std::function<void(StatusWith<Response>)>;

/** Receives one change of the settings after another, on the thread that called the service. */
using ChangeListener = std::function<void(const gen::SettingsChangeEvent&)>;

/** A running watch. Its destruction ends the watch: the listener is not called any more. */
class WatchSubscription {
public:
    virtual ~WatchSubscription() = default;
};

/**
 * The operations, all asynchronous. Paths are as in settings::NodePath; a malformed one, and every
 * other bad argument, completes with InvalidArgument.
 */
class OperatorService {
public:
    virtual ~OperatorService() = default;

    /** One node's own record, as this proxy has it in force. */
    virtual void settingsGet(const gen::SettingsGetRequest& request,
                             Completion<gen::SettingsGetResponse> completion) = 0;

    /** The records of a node and all nodes below it, in path order. */
    virtual void settingsList(const gen::SettingsListRequest& request,
                              Completion<gen::SettingsListResponse> completion) = 0;

    /**
     * Validates an edit and, unless it is a dry run, offers it to the platform with compare-and-set
     * on basedOnVersion. The same operation id may come again and takes effect at most once.
     */
    virtual void settingsEdit(const gen::SettingsEditRequest& request,
                              Completion<gen::SettingsEditResponse> completion) = 0;

    /** Every value in force for a path with its source; NotFound for an unknown group. */
    virtual void settingsEffective(const gen::SettingsEffectiveRequest& request,
                                   Completion<gen::SettingsEffectiveResponse> completion) = 0;

    /**
     * Calls the listener for every change that takes effect on this proxy from now on, at or below
     * the path.
     * @return the running watch, or why there is none.
     */
    virtual StatusWith<std::unique_ptr<WatchSubscription>> settingsWatch(
        const gen::SettingsWatchRequest& request, ChangeListener listener) = 0;

    /** Recent changes that this proxy saw take effect. */
    virtual void settingsHistory(const gen::SettingsHistoryRequest& request,
                                 Completion<gen::SettingsHistoryResponse> completion) = 0;

    /** The record that an edit made, looked up in this proxy's tree and history. */
    virtual void settingsFindOperation(
        const gen::SettingsFindOperationRequest& request,
        Completion<gen::SettingsFindOperationResponse> completion) = 0;

    /** Which live members have a version in force; asks the members. */
    virtual void settingsInForce(const gen::SettingsInForceRequest& request,
                                 Completion<gen::SettingsInForceResponse> completion) = 0;

    /** Members, groups, sessions, faults and readiness as this proxy sees them. */
    virtual void status(const gen::StatusRequest& request,
                        Completion<gen::StatusResponse> completion) = 0;

    /** Drains a proxy or a database server, or takes that back. */
    virtual void drain(const gen::DrainRequest& request,
                       Completion<gen::DrainResponse> completion) = 0;

    /** The program's version. */
    virtual void version(const gen::VersionRequest& request,
                         Completion<gen::VersionResponse> completion) = 0;
};

}  // namespace coralhoist::operators
