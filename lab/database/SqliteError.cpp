#include "lab/database/SqliteError.h"

#include <sqlite3.h>

#include <array>
#include <string_view>

namespace coralhoist::lab::database {
namespace {

struct MessageState {
    std::string_view part;
    const char* sqlState;
};

/** Errors that SQLite reports with its generic code. */
constexpr std::array kMessageStates = {
    MessageState{"no such table", sqlstate::kUndefinedTable},
    MessageState{"no such column", sqlstate::kUndefinedColumn},
    MessageState{"has no column named", sqlstate::kUndefinedColumn},
    MessageState{"no such function", sqlstate::kUndefinedFunction},
    MessageState{"wrong number of arguments", sqlstate::kUndefinedFunction},
    MessageState{"already exists", sqlstate::kDuplicateTable},
    MessageState{"no such savepoint", sqlstate::kInvalidSavepoint},
    MessageState{"no such index", sqlstate::kUndefinedObject},
    MessageState{"unrecognized configuration parameter", sqlstate::kUndefinedObject},
    MessageState{"recovery is in progress", "55000"},
};

SqlError makeError(const char* sqlState, const std::string& message) {
    SqlError error;
    error.sqlState = sqlState;
    error.message = message;
    return error;
}

const char* stateOfConstraint(int extendedCode) {
    switch (extendedCode) {
        case SQLITE_CONSTRAINT_UNIQUE:
        case SQLITE_CONSTRAINT_PRIMARYKEY:
        case SQLITE_CONSTRAINT_ROWID:
            return sqlstate::kUniqueViolation;
        case SQLITE_CONSTRAINT_NOTNULL:
            return sqlstate::kNotNullViolation;
        case SQLITE_CONSTRAINT_FOREIGNKEY:
            return sqlstate::kForeignKeyViolation;
        default:
            return sqlstate::kCheckViolation;
    }
}

}  // namespace

SqlError describeSqliteError(int extendedCode, const std::string& message) {
    constexpr int kPrimaryCodeMask = 0xFF;
    const int primaryCode = extendedCode & kPrimaryCodeMask;
    if (primaryCode == SQLITE_CONSTRAINT) {
        const char* state = stateOfConstraint(extendedCode);
        const bool isUnique = state == std::string_view(sqlstate::kUniqueViolation);
        SqlError error =
            makeError(state, isUnique ? "duplicate key value violates unique constraint" : message);
        error.detail = message;
        return error;
    }
    if (primaryCode == SQLITE_INTERRUPT) {
        return makeError(sqlstate::kQueryCancelled, "canceling statement due to user request");
    }
    if (primaryCode == SQLITE_MISMATCH) {
        return makeError(sqlstate::kInvalidTextRepresentation, message);
    }
    if (primaryCode != SQLITE_ERROR) {
        return makeError(sqlstate::kInternalError, message);
    }
    for (const MessageState& candidate : kMessageStates) {
        if (message.find(candidate.part) != std::string::npos) {
            return makeError(candidate.sqlState, message);
        }
    }
    return makeError(sqlstate::kSyntaxError, message);
}

}  // namespace coralhoist::lab::database
