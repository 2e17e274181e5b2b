/** Splits, classifies and rewrites the statements of a query string. */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/database/ExpressionTyping.h"
#include "lab/database/SqlValue.h"

namespace coralhoist::lab::database {

/** What the session has to do for a statement. */
enum class StatementClass {
    Query,          /**< Returns rows; runs in SQLite. */
    Modify,         /**< INSERT, UPDATE or DELETE. */
    DataDefinition, /**< CREATE, ALTER or DROP. */
    Lock,           /**< LOCK TABLE. */
    Sleep,          /**< SELECT pg_sleep(seconds). */
    Begin,
    Commit,
    Rollback,
    Savepoint,
    Release,
    RollbackTo,
    SetTransaction,
    Set,
    Reset,
    ResetAll,
    Show,
    Discard,
    Deallocate,
    Unsupported,
};

/** One statement; immutable once analysed, so that sessions share it. */
struct AnalyzedStatement {
    StatementClass kind = StatementClass::Unsupported;
    /** Text for SQLite. */
    std::string sql;
    /** First words of the command tag and of messages, e.g. "INSERT". */
    std::string command;
    /** Reads from a table; statements that don't take no execution slot. */
    bool readsTables = false;
    /** Has FOR UPDATE or FOR SHARE. */
    bool locksRows = false;
    /** Has NOWAIT: fails if the lock is taken. */
    bool failsIfLocked = false;
    /** BEGIN and SET TRANSACTION: the access mode, if given. */
    std::optional<bool> readOnly;
    /** Name of the savepoint, setting or prepared statement; empty for all. */
    std::string name;
    /** Value of SET. */
    std::string value;
    /** SET LOCAL. */
    bool isLocal = false;
    /** Result expressions in order; empty when the statement has none or a star. */
    std::vector<TargetExpression> targets;
    /** Tables named anywhere in the statement. */
    std::vector<std::string> relations;
    std::vector<ExpressionType> parameterTypes;
    /** Seconds of Sleep when constant; else its parameter. */
    double sleepSeconds = 0;
    int sleepParameter = 0;
};

using StatementPointer = std::shared_ptr<const AnalyzedStatement>;

/** The statements of a query string, or the error that none of them runs for. */
struct Analysis {
    std::vector<StatementPointer> statements;
    std::optional<SqlError> error;
};

/** Analyses query strings and remembers the latest ones. One instance belongs to one thread. */
class StatementAnalyzer {
public:
    std::shared_ptr<const Analysis> analyze(const std::string& sql);

private:
    std::unordered_map<std::string, std::shared_ptr<const Analysis>> _cache;
};

}  // namespace coralhoist::lab::database
