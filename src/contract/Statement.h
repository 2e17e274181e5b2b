/**
 * A batch of steps up to a synchronisation point, as submitted by a caller.
 *
 * A batch is the unit of execution. It comes from one simple Query message (split into its
 * statements) or from the extended-protocol messages up to Sync or Flush. The steps of one batch
 * form one implicit transaction, as in PostgreSQL, when no explicit transaction is open.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coralhoist::contract {

/** Effect of a statement, as far as routing depends on it. */
enum class StatementKind {
    Read,  /**< Certainly changes nothing; may run on a replica. */
    Write, /**< May change data; also the kind of every statement that can't be classified. */
    Begin, /**< BEGIN or START TRANSACTION. */
    BeginReadOnly,  /**< BEGIN READ ONLY. */
    Commit,         /**< COMMIT or END. */
    Rollback,       /**< ROLLBACK or ABORT of the whole transaction. */
    Savepoint,      /**< SAVEPOINT, RELEASE, ROLLBACK TO. */
    SessionSetting, /**< SET or RESET of a session parameter that the proxy replays. */
    Unsupported,    /**< Refused as not run, e.g. COPY, LISTEN, WITH HOLD. */
};

/** Text or binary encoding of a value. */
enum class ValueFormat : std::int16_t { Text = 0, Binary = 1 };

/** One parameter of a statement; absent bytes mean NULL. */
struct ParameterValue {
    std::optional<std::string> bytes;
    ValueFormat format = ValueFormat::Text;

    bool operator==(const ParameterValue&) const = default;
};

/** Operation that a step requests from the back end. */
enum class StepAction {
    Execute,      /**< Run the statement and return its rows. */
    DescribeOnly, /**< Return parameter types and row description without running the statement. */
};

/** One statement of a batch. */
struct StatementStep {
    StepAction action = StepAction::Execute;
    StatementKind kind = StatementKind::Write;
    std::string sql;
    /** Type OIDs given in Parse; may be shorter than parameters; 0 means unspecified. */
    std::vector<std::uint32_t> parameterTypes;
    std::vector<ParameterValue> parameters;
    ValueFormat resultFormat = ValueFormat::Text;
    /**
     * Send a RowDescription before the rows: always in the simple protocol, otherwise only after
     * Describe of the portal.
     */
    bool describeRows = true;
    /** May leave session state behind on the connection (DDL of temporary objects, SET, ...). */
    bool changesSession = false;
};

/** How a batch ends. */
enum class BatchEnd {
    Sync,  /**< The implicit transaction ends here; ReadyForQuery follows. */
    Flush, /**< More steps of the same implicit transaction follow; the connection stays pinned. */
};

/** The unit of execution. */
struct StatementBatch {
    std::vector<StatementStep> steps;
    BatchEnd end = BatchEnd::Sync;
};

}  // namespace coralhoist::contract
