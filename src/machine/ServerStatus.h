/** What a database server reports about itself. */
#pragma once

#include "base/Identifier.h"
#include "base/OpTime.h"

namespace coralhoist::machine {

/** One answer to the status query. */
struct ServerStatus {
    /** A replica, or a server that knows it has been replaced. */
    bool inRecovery = true;
    Term term = 0;
    /** Log received and durable; counts for acknowledgement and elections. */
    LogPosition receivedPosition = 0;
    /** Log visible to reads; at most receivedPosition. */
    LogPosition replayedPosition = 0;

    bool operator==(const ServerStatus&) const = default;

    OpTime received() const { return {term, receivedPosition}; }
    OpTime replayed() const { return {term, replayedPosition}; }
};

}  // namespace coralhoist::machine
