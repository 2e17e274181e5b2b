/** Answers to operators' requests about settings, from one proxy's tree and history. */
#pragma once

#include <optional>

#include "base/Status.h"
#include "gen/operator_types.h"
#include "settings/ChangeHistory.h"
#include "settings/SettingsObject.h"
#include "settings/SettingsTree.h"

namespace coralhoist::operators {

/** @return the record as it travels. */
gen::SettingsNodeRecord toMessage(const settings::SettingsObjectRecord& record);
/** @return the change as it travels. */
gen::SettingsChangeEvent toMessage(const settings::SettingsChange& change);

/**
 * Pure functions behind OperatorService's requests about settings, so that a daemon's service only
 * adds the platform and the peers. A malformed path gives InvalidArgument.
 */
class SettingsAnswers {
public:
    /** @param tree, history outlive this object and belong to the same thread. */
    SettingsAnswers(settings::SettingsTree& tree, const settings::ChangeHistory& history)
        : _tree(tree), _history(history) {}

    StatusWith<gen::SettingsGetResponse> get(const gen::SettingsGetRequest& request) const;
    StatusWith<gen::SettingsListResponse> list(const gen::SettingsListRequest& request) const;
    StatusWith<gen::SettingsEffectiveResponse> effective(
        const gen::SettingsEffectiveRequest& request) const;
    StatusWith<gen::SettingsHistoryResponse> history(
        const gen::SettingsHistoryRequest& request) const;
    StatusWith<gen::SettingsFindOperationResponse> findOperation(
        const gen::SettingsFindOperationRequest& request) const;

    /**
     * Decides an edit as far as this proxy can.
     * @return the answer: Accepted for an edit that has taken effect already and for a valid dry
     * run, Refused with the faults, Conflict when this proxy has a newer version than the edit is
     * based on. Nothing when the platform must decide: offer recordOf(request) to it with
     * compare-and-set on basedOnVersion.
     */
    std::optional<gen::SettingsEditResponse> decideEdit(
        const gen::SettingsEditRequest& request) const;

    /** @return the record that the edit makes; the platform gives the version. */
    static settings::SettingsObjectRecord recordOf(const gen::SettingsEditRequest& request);

private:
    settings::SettingsTree& _tree;
    const settings::ChangeHistory& _history;
};

}  // namespace coralhoist::operators
