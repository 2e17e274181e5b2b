/** Submits one edit and finds out what became of it. */
#pragma once

#include <string>

#include "gen/operator_types.h"
#include "program/coralhoistctl/CommandContext.h"
#include "settings/NodeDocument.h"

namespace coralhoist::ctl {

/** A node as an edit finds it. */
struct EditBase {
    settings::NodePath path;
    /** 0 when the node does not exist. */
    std::int64_t version = 0;
    settings::NodeDocument document;
};

/** What became of an edit. */
struct SubmittedEdit {
    ExitCode code = ExitCode::Ok;
    /** Meaningful when code is Ok, Failed or Conflict. */
    gen::SettingsEditResponse response;
    /** Why the outcome is unknown or the proxy unreachable. */
    std::string reason;
};

/** @return the node as the proxy has it; the failure is reported when there is none. */
StatusWith<EditBase> readEditBase(const CommandContext& context, const std::string& path);

/** @return a request with a fresh operation id that replaces the base by the document. */
gen::SettingsEditRequest makeEdit(const CommandContext& context, const EditBase& base,
                                  const settings::NodeDocument& document);

/**
 * Sends the edit. When an answer is lost, the operation id is looked up and the same edit is sent
 * again until the time-out: compare-and-set and the operation id make that safe.
 */
SubmittedEdit submitEdit(const CommandContext& context, const gen::SettingsEditRequest& edit);

/** Reports an edit that did not get accepted, a conflict with both versions. */
ExitCode reportFailedEdit(const CommandContext& context, const EditBase& base,
                          const gen::SettingsEditRequest& edit, const SubmittedEdit& submitted);

/**
 * Waits until every live proxy has confirmed the version, at most for the time-out.
 * @param answer the last answer; empty when none came.
 * @return Ok or NotInForceEverywhere.
 */
ExitCode waitUntilInForce(const CommandContext& context, const std::string& path,
                          std::int64_t version, gen::SettingsInForceResponse& answer);

}  // namespace coralhoist::ctl
