/**
 * Interface of the group executor to back-end connections. Implemented over libpq by link/backend
 * and over simulated servers by the deterministic simulation.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Status.h"
#include "contract/Statement.h"

namespace coralhoist::contract {

/** How the result of a command is handled. */
enum class ResultUse {
    Forward, /**< Encoded as back-end messages and streamed to the caller as the rows arrive. */
    Capture, /**< The first rows are returned as text values. */
    Discard, /**< Only success or failure is reported. */
};

/** One command of a pipeline. */
struct BackendCommand {
    StatementStep step;
    ResultUse use = ResultUse::Discard;
    /** A synchronisation point follows; an error skips only the commands up to this point. */
    bool syncAfter = false;
};

/** Commands sent to a connection as one pipeline. */
struct BackendProgram {
    std::vector<BackendCommand> commands;
};

/** Rows of a captured result; a missing value is NULL. */
struct CapturedRow {
    std::vector<std::optional<std::string>> values;
};

/** Outcome of one command. */
struct CommandOutcome {
    enum class Kind {
        Succeeded,
        Failed,  /**< The database returned an error; sqlState and message are set. */
        Skipped, /**< The command did not run because an earlier command of the same segment failed.
                  */
    };
    Kind kind = Kind::Succeeded;
    std::string sqlState;
    std::string message;
    /** Encoded ErrorResponse of a forwarded command that failed. */
    std::string errorBytes;
    std::vector<CapturedRow> rows;
    /** CommandComplete tag, e.g. "UPDATE 1"; empty for rows that were only described. */
    std::string commandTag;
};

/** Transaction state of a connection as the client library reports it. */
enum class ConnectionState { Idle, InTransaction, InFailedTransaction, Unknown };

/** Receives connection events. Called on the executor's thread, in order for each connection. */
class BackendEvents {
public:
    virtual ~BackendEvents() = default;

    /** The connection is ready for its first program. */
    virtual void onOpened(ConnectionId connection) = 0;

    /**
     * The connection could not be opened and is closed.
     * @param sqlState the server's error code, e.g. 53300; empty when the server was not reached.
     */
    virtual void onOpenFailed(ConnectionId connection, const std::string& sqlState,
                              const std::string& message) = 0;

    /**
     * Part of a forwarded result.
     * @param commandIndex index within the running program.
     * @param bytes whole back-end messages.
     */
    virtual void onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                                std::string bytes) = 0;

    /** A command of the running program has ended; called for every command, in order. */
    virtual void onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                                CommandOutcome outcome) = 0;

    /** The whole program has ended; the connection can run the next one. */
    virtual void onProgramEnded(ConnectionId connection, ConnectionState state) = 0;

    /**
     * An open connection broke and is closed.
     * @param sent whether any byte of the running program may have reached the server.
     */
    virtual void onLost(ConnectionId connection, bool sent, const std::string& message) = 0;
};

/** Opens connections and runs programs on them. No call delivers an event before it returns. */
class BackendConnector {
public:
    virtual ~BackendConnector() = default;

    /**
     * Starts to open a connection; onOpened or onOpenFailed follows.
     * @param server one of the group's servers.
     * @return the identifier of the connection.
     */
    virtual ConnectionId open(const ServerName& server) = 0;

    /**
     * Sends a program on an idle connection.
     * @param connection a connection without a running program.
     */
    virtual void run(ConnectionId connection, BackendProgram program) = 0;

    /** Asks the server to cancel the statement that runs on the connection. Best effort. */
    virtual void cancel(ConnectionId connection) = 0;

    /** Pauses or resumes reading results from the connection. */
    virtual void setReading(ConnectionId connection, bool reading) = 0;

    /** Closes the connection at once; no event for it follows. */
    virtual void close(ConnectionId connection) = 0;
};

}  // namespace coralhoist::contract
