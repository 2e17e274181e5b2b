/** Brings a connection into the state that a session's next statement requires. */
#pragma once

#include <cstddef>
#include <vector>

#include "pooling/PooledSession.h"
#include "pooling/ServerLink.h"
#include "pooling/ServerState.h"

namespace coralhoist::pooling {

/**
 * Applies exactly the session's values to the connection, and records that the commands' results
 * are awaited.
 * @param preparedBound number of prepared statements above which all of them are dropped first,
 * outside transactions.
 * @return the commands to send ahead of the statement.
 */
std::vector<ServerCommand> alignValues(ServerConnection& connection, const SessionValues& values,
                                       std::size_t preparedBound);

/** Appends the command that prepares the shape on the connection, unless it is prepared already. */
void alignPrepared(ServerConnection& connection, const PreparedShape& shape,
                   std::vector<ServerCommand>& commands);

}  // namespace coralhoist::pooling
