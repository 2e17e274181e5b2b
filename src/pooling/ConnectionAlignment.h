/** Brings a connection into the state that a session's statement must find. */
#pragma once

#include <cstddef>
#include <vector>

#include "pooling/PooledSession.h"
#include "pooling/ServerLink.h"
#include "pooling/ServerState.h"

namespace coralhoist::pooling {

/**
 * Puts exactly the session's values in force on the connection, and notes that the commands are
 * awaited.
 * @param preparedBound prepared names above which all are dropped first, outside transactions.
 * @return the commands to send ahead of the statement.
 */
std::vector<ServerCommand> alignValues(ServerConnection& connection, const SessionValues& values,
                                       std::size_t preparedBound);

/** Appends the command that prepares the shape there, unless it is prepared already. */
void alignPrepared(ServerConnection& connection, const PreparedShape& shape,
                   std::vector<ServerCommand>& commands);

}  // namespace coralhoist::pooling
