/** PostgreSQL's SQLSTATE codes and command tags that the proxy interprets. */
#pragma once

namespace coralhoist::contract {

inline constexpr const char* kUniqueViolation = "23505";
inline constexpr const char* kReadOnlyTransaction = "25006";
inline constexpr const char* kUndefinedTable = "42P01";
inline constexpr const char* kQueryCanceled = "57014";
/** Class of errors with which a server terminates a session; a commit may have succeeded before. */
inline constexpr const char* kOperatorIntervention = "57P";
/** Tag of COMMIT in a transaction that had already failed. */
inline constexpr const char* kRollbackTag = "ROLLBACK";

}  // namespace coralhoist::contract
