/** Turns "this database server leaves" into an edit of the settings. */
#pragma once

#include "base/Status.h"
#include "gen/operator_types.h"
#include "settings/SettingsSnapshot.h"

namespace coralhoist::duty {

/**
 * @param request a drain with group and server.
 * @param snapshot the settings in force.
 * @return the edit of the group's node that adds the server to, or with undo removes it from, the
 *         leaving servers; NotFound when the group or the server is unknown, AlreadyExists when
 *         nothing would change.
 */
StatusWith<gen::SettingsEditRequest> leavingServerEdit(const gen::DrainRequest& request,
                                                       const settings::SettingsSnapshot& snapshot);

}  // namespace coralhoist::duty
