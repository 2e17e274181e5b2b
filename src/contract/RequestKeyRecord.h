/** Data stored with a request key: the fingerprint of the request and its complete response. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "contract/ResponseOutbox.h"
#include "contract/Statement.h"

namespace coralhoist::contract {

/** Fingerprint recorded for the key of an explicit transaction. */
inline constexpr const char* kTransactionFingerprint = "transaction";

/** @return a hash of everything that identifies the batch: SQL, parameters and formats. */
std::string fingerprintOf(const StatementBatch& batch);

/** @return the pieces of a response encoded as one value. */
std::string encodeOutcome(const std::vector<ResponsePiece>& pieces);

/**
 * @param value of the outcome column: raw bytes, or PostgreSQL's hexadecimal text form.
 * @return the pieces; nothing when the value is not an encoded outcome.
 */
std::optional<std::vector<ResponsePiece>> decodeOutcome(const std::string& value);

}  // namespace coralhoist::contract
