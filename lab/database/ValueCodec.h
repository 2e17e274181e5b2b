/** Converts values between SQLite's types and the encodings of the PostgreSQL protocol. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "contract/Statement.h"
#include "lab/database/SqlValue.h"

namespace coralhoist::lab::database {

/** A decoded parameter, or why it can't be decoded. */
using DecodedParameter = std::variant<SqlValue, SqlError>;

/** An encoded value of a DataRow (no value is NULL), or why it can't be encoded. */
using EncodedValue = std::variant<std::optional<std::string>, SqlError>;

/**
 * @param parameter as the client sent it.
 * @param type of the parameter; values of other than the documented types are kept as text.
 */
DecodedParameter decodeParameter(const contract::ParameterValue& parameter, pgwire::TypeOid type);

/**
 * @param type of the result column.
 * @param format that the client asked for.
 */
EncodedValue encodeValue(const SqlValue& value, pgwire::TypeOid type, contract::ValueFormat format);

/** @return the type for a column's type in CREATE TABLE or in a cast; Text for unknown names. */
pgwire::TypeOid typeOfName(std::string_view name);

/** @return bytes of a fixed-size type, -1 for others. */
std::int16_t sizeOfType(pgwire::TypeOid type);

}  // namespace coralhoist::lab::database
