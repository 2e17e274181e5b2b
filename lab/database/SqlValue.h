/** Values and results of SQL statements. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "link/pgwire/BackendMessageWriter.h"

namespace coralhoist::lab::database {

/** Bytes of a bytea. */
struct BinaryValue {
    std::string bytes;

    bool operator==(const BinaryValue&) const = default;
};

/** A value as SQLite stores it; std::monostate is NULL. */
using SqlValue = std::variant<std::monostate, std::int64_t, double, std::string, BinaryValue>;

/** An error for the client. */
using SqlError = pgwire::ResponseFields;

/** One column of a result. */
struct ResultColumn {
    std::string name;
    pgwire::TypeOid type = pgwire::TypeOid::Text;
};

/** How a statement ended. */
struct QueryOutcome {
    std::optional<SqlError> error;
    /** Whether the statement returns rows, possibly none. */
    bool returnsRows = false;
    std::vector<ResultColumn> columns;
    std::vector<std::vector<SqlValue>> rows;
    /** CommandComplete tag. */
    std::string commandTag;
    std::optional<SqlError> notice;
    /** The connection breaks instead of delivering this outcome. */
    bool breaksConnection = false;

    static QueryOutcome failure(std::string sqlState, std::string message) {
        QueryOutcome outcome;
        outcome.error.emplace();
        outcome.error->sqlState = std::move(sqlState);
        outcome.error->message = std::move(message);
        return outcome;
    }

    static QueryOutcome completed(std::string commandTag) {
        QueryOutcome outcome;
        outcome.commandTag = std::move(commandTag);
        return outcome;
    }
};

/** SQLSTATEs that the stand-in raises. */
namespace sqlstate {
inline constexpr const char* kProtocolViolation = "08P01";
inline constexpr const char* kFeatureNotSupported = "0A000";
inline constexpr const char* kNumericOutOfRange = "22003";
inline constexpr const char* kInvalidTextRepresentation = "22P02";
inline constexpr const char* kNotNullViolation = "23502";
inline constexpr const char* kForeignKeyViolation = "23503";
inline constexpr const char* kUniqueViolation = "23505";
inline constexpr const char* kCheckViolation = "23514";
inline constexpr const char* kActiveTransaction = "25001";
inline constexpr const char* kReadOnlyTransaction = "25006";
inline constexpr const char* kNoActiveTransaction = "25P01";
inline constexpr const char* kIdleInTransactionTimeout = "25P03";
inline constexpr const char* kInFailedTransaction = "25P02";
inline constexpr const char* kInvalidStatementName = "26000";
inline constexpr const char* kInvalidCursorName = "34000";
inline constexpr const char* kInvalidSavepoint = "3B001";
inline constexpr const char* kSyntaxError = "42601";
inline constexpr const char* kUndefinedColumn = "42703";
inline constexpr const char* kUndefinedObject = "42704";
inline constexpr const char* kUndefinedFunction = "42883";
inline constexpr const char* kDuplicateStatement = "42P05";
inline constexpr const char* kDuplicateTable = "42P07";
inline constexpr const char* kUndefinedTable = "42P01";
inline constexpr const char* kTooManyConnections = "53300";
inline constexpr const char* kLockNotAvailable = "55P03";
inline constexpr const char* kQueryCancelled = "57014";
inline constexpr const char* kAdminShutdown = "57P01";
inline constexpr const char* kCannotConnectNow = "57P03";
inline constexpr const char* kInternalError = "XX000";
}  // namespace sqlstate

}  // namespace coralhoist::lab::database
