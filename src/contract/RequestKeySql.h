/** SQL statements for the table of request keys, which is stored in the database of each group. */
#pragma once

namespace coralhoist::contract {

/** Creates the table; run once, when a statement on it fails with undefined_table (42P01). */
inline constexpr const char* kCreateRequestKeyTable =
    "CREATE TABLE IF NOT EXISTS coralhoist_request_keys (service text NOT NULL, request_key text "
    "NOT NULL, fingerprint text NOT NULL, outcome bytea, created_at timestamptz NOT NULL DEFAULT "
    "now(), PRIMARY KEY (service, request_key))";

/** Parameters: service, key, fingerprint. Fails with unique_violation (23505) on a repeat. */
inline constexpr const char* kInsertRequestKey =
    "INSERT INTO coralhoist_request_keys (service, request_key, fingerprint) VALUES ($1, $2, $3)";

/** Parameters: service, key, outcome (binary bytea). */
inline constexpr const char* kRecordOutcome =
    "UPDATE coralhoist_request_keys SET outcome = $3 WHERE service = $1 AND request_key = $2";

/** Parameters: service, key. Columns: fingerprint, outcome. */
inline constexpr const char* kSelectRequestKey =
    "SELECT fingerprint, outcome FROM coralhoist_request_keys WHERE service = $1 AND request_key "
    "= $2";

/** Parameters: age in seconds (text), maximum number of rows (text). */
inline constexpr const char* kDeleteExpiredRequestKeys =
    "DELETE FROM coralhoist_request_keys WHERE ctid IN (SELECT ctid FROM coralhoist_request_keys "
    "WHERE created_at < now() - $1::interval LIMIT $2::bigint)";

}  // namespace coralhoist::contract
