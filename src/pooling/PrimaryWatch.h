/** Signs that a group's primary has failed, from what becomes of statements sent to it. */
#pragma once

#include <optional>
#include <unordered_map>

#include "base/Identifier.h"
#include "base/Time.h"
#include "pooling/ServerState.h"

namespace coralhoist::pooling {

/** Why a server is taken for failed. */
enum class SuspicionReason {
    Silent,
    Unreachable,
    WritesUnanswered,
    StatementsLost, /**< It takes connections and breaks each in place of an answer. */
};

/** @return a word for logs. */
const char* describe(SuspicionReason reason);

/** Watches the writes of one group that are unanswered, and the primary's state. */
class PrimaryWatch {
public:
    /** A write or a COMMIT was sent on the connection to the server. */
    void noteWrite(ConnectionId connection, const ServerName& server, TimePoint at) {
        _writes[connection] = {server, at};
    }

    /** The connection has answered, or is gone. */
    void noteAnswered(ConnectionId connection) { _writes.erase(connection); }

    /**
     * @param suspectAfter a server that has answered nothing for so long is silent.
     * @return the sign that the primary shows, if any.
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
