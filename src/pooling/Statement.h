/**
 * Statements of callers whose sessions are pooled over servers that evaluate conditions on their
 * log themselves: what is asked, and how it ends. Free of any wire format.
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

/** What a caller's statement does. */
enum class StatementVerb {
    Begin,         /**< Opens a transaction that may write. */
    BeginReadOnly, /**< Opens a transaction that only reads. */
    Commit,
    Rollback,
    Read,
    Write,
    Set,     /**< Changes a value of the session. */
    Prepare, /**< Names a shape of reads or writes. */
    Execute, /**< Runs a prepared shape. */
    Close,   /**< Forgets a prepared name. */
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
    /** Set: the value's name. Prepare, Execute, Close: the prepared name. */
    std::string name;
    /** Set: the value. Prepare: the shape. Execute: what follows the name. */
    std::string argument;
    /** Prepare only. */
    ShapeKind shapeKind = ShapeKind::Read;
};

/** @return a number that the same statement has under another id too. */
std::size_t contentHash(const Statement& statement);

/** Why a statement did not succeed. The comment says what the caller may conclude. */
enum class StatementFault {
    Busy,            /**< Not run: no capacity now. */
    Aborted,         /**< Nothing of the transaction is kept. */
    Lagging,         /**< Not run: the server's log lacks the position asked for. */
    ReadOnly,        /**< Not run: the server is no primary. */
    WrongServer,     /**< Not run: another server answers at the address. */
    ConnectionLimit, /**< Not run: the server takes no further connection. */
    Failed,          /**< It ran and failed. */
    UnknownName,     /**< Not run: the prepared name is not known. */
    Timeout,         /**< No promise: it took too long. */
    Unauthorized,    /**< Not run. */
    UnknownDatabase, /**< Not run: no such database. */
    TooLarge,        /**< Not run: the message is too large. */
    Malformed,       /**< Not run: the message can't be understood or is not possible now. */
    InDoubt,         /**< No promise: it may have committed. */
};

/** Number of faults. */
constexpr std::size_t kStatementFaults = static_cast<std::size_t>(StatementFault::InDoubt) + 1;

/** @return the name of the fault in logs, e.g. "in_doubt". */
const char* describe(StatementFault fault);

/** @return whether the fault proves that the statement did not run. */
bool provesNotRun(StatementFault fault);

/** A failed statement, for the caller and for logs. */
struct StatementError {
    StatementFault fault = StatementFault::Failed;
    std::string message;
    /** When a repetition has a chance, as the message tells the caller too. */
    std::optional<Duration> retryAfter = std::nullopt;
};

/**
 * @return the refusal of a statement that did not run.
 * @param reason a word or a few, for callers and logs.
 * @param retryAfter time from now on after which a repetition has a chance.
 */
StatementError notRun(const std::string& reason, Duration retryAfter);

/** Transaction state of a session or a server connection. */
enum class SessionState { Idle, InTransaction, Failed };

/** How a statement ended at a server, or how it ends for the caller. */
struct StatementResult {
    std::vector<std::string> rows;
    /** The server's proof of having run the statement; empty for answers of the proxy itself. */
    std::string signature;
    std::optional<StatementError> error;
    SessionState state = SessionState::Idle;
    /** Position of the server's log; term 0 when none was told. */
    OpTime position;

    bool succeeded() const { return !error.has_value(); }
};

}  // namespace coralhoist::pooling
