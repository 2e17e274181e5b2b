/** The start-up phase: from the StartupMessage to a session. */
#pragma once

#include <optional>

#include "link/caller/CallerContext.h"
#include "link/caller/SessionState.h"
#include "link/pgwire/BackendMessageWriter.h"
#include "link/pgwire/FrontendMessages.h"

namespace coralhoist::caller {

/**
 * Fills in the state of a new session and admits it to its service.
 *
 * `dbname` names the group, `application_name` the service. Session parameters come as parameters
 * of their own or as `-c name=value` in `options`; `coralhoist.session_token` is one of them.
 * @return a fatal error when the session can't be opened.
 */
std::optional<pgwire::ResponseFields> openSession(const pgwire::StartupMessage& message,
                                                  const CallerContext& context,
                                                  SessionState& state);

/**
 * @return NegotiateProtocolVersion when the caller asks for a newer minor version or for protocol
 *         options; empty when it does not.
 */
std::string negotiateProtocol(const pgwire::StartupMessage& message);

}  // namespace coralhoist::caller
