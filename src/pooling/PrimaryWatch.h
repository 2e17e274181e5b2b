/** Detects signs that a group's primary has failed, from the outcomes of statements sent to it. */
#pragma once

#include <optional>
#include <unordered_map>

#include "base/Identifier.h"
#include "base/Time.h"
#include "pooling/ServerState.h"

namespace coralhoist::pooling {

/** Why a server is assumed to have failed. */
enum class SuspicionReason {
    Silent,
    Unreachable,
    WritesUnanswered,
    StatementsLost, /**< The server accepts connections and resets each of them instead of
                       responding. */
};

/** @return a word for logs. */
const char* describe(SuspicionReason reason);

/** Watches the unanswered writes of one group, and the primary's state. */
class PrimaryWatch {
public:
    /** A write or a COMMIT was sent to the server on the connection. */
    void noteWrite(ConnectionId connection, const ServerName& server, TimePoint at) {
        _writes[connection] = {server, at};
    }

    /** The server responded on the connection, or the connection is gone. */
    void noteAnswered(ConnectionId connection) { _writes.erase(connection); }

    /**
     * @param suspectAfter a server that has not responded for this time is silent.
     * @return the sign of failure that the primary shows, if any.
     */
    std::optional<SuspicionReason> review(const ServerState& primary, Duration suspectAfter,
                                          TimePoint now) const;

private:
    bool leavesWritesUnanswered(const ServerState& primary, TimePoint now) const;

    struct Write {
        ServerName server;
        TimePoint at{};
    };

    std::unordered_map<ConnectionId, Write> _writes;
};

}  // namespace coralhoist::pooling
