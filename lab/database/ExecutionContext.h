/** What SQL functions see of the server and session that run a statement. */
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "base/OpTime.h"

namespace coralhoist::lab::database {

/** State of the server for the status functions. */
class ServerState {
public:
    virtual ~ServerState() = default;
    virtual bool isInRecovery() const = 0;
    virtual Term term() const = 0;
    virtual LogPosition receivedPosition() const = 0;
    virtual LogPosition replayedPosition() const = 0;
};

/** Settings of the session for set_config and current_setting. */
class SessionState {
public:
    virtual ~SessionState() = default;
    virtual std::int32_t processId() const = 0;
    virtual std::optional<std::string> setting(const std::string& name) const = 0;
    virtual void applySetting(const std::string& name, const std::string& value, bool local) = 0;
};

/**
 * Context of one execution. The time and the seed go into the log with the statement, so that it
 * yields the same rows wherever it is replayed; server and session are absent during replay.
 */
struct ExecutionContext {
    const ServerState* server = nullptr;
    SessionState* session = nullptr;
    std::int64_t nowMicroseconds = 0;
    std::mt19937_64 random;
};

/** @return a log position as PostgreSQL writes it, e.g. "1/A0". */
std::string formatLogPosition(LogPosition position);

}  // namespace coralhoist::lab::database
