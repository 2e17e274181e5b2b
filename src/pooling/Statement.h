/**
 * Statements and results of callers whose sessions are pooled over servers that evaluate conditions
 * on their log position themselves. Independent of any wire format.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Kind of a caller's statement. */
enum class StatementVerb {
    Begin,         /**< Opens a transaction that may write. */
    BeginReadOnly, /**< Opens a transaction that only reads. */
    Commit,
    Rollback,
    Read,
    Write,
    Set,     /**< Changes a session value. */
    Prepare, /**< Gives a name to a shape of reads or writes. */
    Execute, /**< Runs a prepared shape. */
    Close,   /**< Drops a prepared name. */
};

/** Whether a prepared shape reads or writes. */
enum class ShapeKind { Read, Write };

/** One statement of a caller. */
struct Statement {
    /** The caller's id of this request; passed on unchanged. */
    std::string id;
    StatementVerb verb = StatementVerb::Read;
    /** Text as the caller sent it. */
    std::string text;
    /** Set: name of the value. Prepare, Execute, Close: the prepared name. */
    std::string name;
    /** Set: the value. Prepare: the shape. Execute: the text after the name. */
    std::string argument;
    /** Prepare only. */
    ShapeKind shapeKind = ShapeKind::Read;
};

/** @return a hash of the statement's content; it does not depend on the statement's id. */
std::size_t contentHash(const Statement& statement);

/**
 * Why a statement did not succeed. The comment of each value states what the caller may conclude.
 */
enum class StatementFault {
    Busy,            /**< Not run: no capacity now. */
    Aborted,         /**< No change of the transaction is kept. */
    Lagging,         /**< Not run: the server's log lacks the requested position. */
    ReadOnly,        /**< Not run: the server is not a primary. */
    WrongServer,     /**< Not run: another server listens at the address. */
    ConnectionLimit, /**< Not run: the server accepts no further connection. */
    Failed,          /**< The statement ran and failed. */
    UnknownName,     /**< Not run: unknown prepared name. */
    Timeout,         /**< Outcome unknown: the statement took too long. */
    Unauthorized,    /**< Not run. */
    UnknownDatabase, /**< Not run: no such database. */
    TooLarge,        /**< Not run: the message is too large. */
    Malformed, /**< Not run: the message can't be parsed or is not possible in the current state. */
    InDoubt,   /**< Outcome unknown: the statement may have committed. */
};

/** Number of StatementFault values. */
constexpr std::size_t kStatementFaults = static_cast<std::size_t>(StatementFault::InDoubt) + 1;

/** @return the name of the fault in logs, e.g. "in_doubt". */
const char* describe(StatementFault fault);

/** @return whether the fault proves that the statement did not run. */
bool provesNotRun(StatementFault fault);

/** Error of a failed statement, for the caller and for logs. */
struct StatementError {
    StatementFault fault = StatementFault::Failed;
    std::string message;
    /** Delay after which a retry may succeed; the message states it to the caller too. */
    std::optional<Duration> retryAfter = std::nullopt;
};

/**
 * @return the refusal of a statement that did not run.
 * @param reason one or a few words, for callers and logs.
 * @param retryAfter time from now on after which a retry may succeed.
 */
StatementError notRun(const std::string& reason, Duration retryAfter);

/** Transaction state of a session or a server connection. */
enum class SessionState { Idle, InTransaction, Failed };

/** Outcome of a statement on a server, or the outcome reported to the caller. */
struct StatementResult {
    std::vector<std::string> rows;
    /** The server's proof that it ran the statement; empty for responses of the proxy itself. */
    std::string signature;
    std::optional<StatementError> error;
    SessionState state = SessionState::Idle;
    /** Position of the server's log; term 0 if the server reported none. */
    OpTime position;

    bool succeeded() const { return !error.has_value(); }
};

}  // namespace coralhoist::pooling
