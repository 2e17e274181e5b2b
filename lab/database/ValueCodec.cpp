#include "lab/database/ValueCodec.h"

#include <QByteArray>
#include <QString>
#include <QtEndian>
#include <array>
#include <bit>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace coralhoist::lab::database {
namespace {

using pgwire::TypeOid;

SqlError invalidText(const std::string& text, const char* typeName) {
    SqlError error;
    error.sqlState = sqlstate::kInvalidTextRepresentation;
    error.message = "invalid input syntax for type " + std::string(typeName) + ": \"" + text + "\"";
    return error;
}

SqlError outOfRange() {
    SqlError error;
    error.sqlState = sqlstate::kNumericOutOfRange;
    error.message = "value out of range for the type of its column";
    return error;
}

SqlError wrongBinaryLength() {
    SqlError error;
    error.sqlState = sqlstate::kProtocolViolation;
    error.message = "incorrect binary data format in bind parameter";
    return error;
}

bool isInteger(TypeOid type) {
    return type == TypeOid::Int2 || type == TypeOid::Int4 || type == TypeOid::Int8 ||
           type == TypeOid::Oid;
}

bool isFloat(TypeOid type) {
    return type == TypeOid::Float4 || type == TypeOid::Float8;
}

std::optional<bool> parseBool(const std::string& text) {
    const QString lowered = QString::fromStdString(text).trimmed().toLower();
    for (const char* name : {"t", "true", "y", "yes", "on", "1"}) {
        if (lowered == QLatin1String(name)) {
            return true;
        }
    }
    for (const char* name : {"f", "false", "n", "no", "off", "0"}) {
        if (lowered == QLatin1String(name)) {
            return false;
        }
    }
    return std::nullopt;
}

DecodedParameter decodeText(const std::string& text, TypeOid type) {
    const QByteArray bytes = QByteArray::fromStdString(text);
    bool valid = true;
    if (isInteger(type)) {
        const qlonglong number = bytes.trimmed().toLongLong(&valid);
        return valid ? DecodedParameter(SqlValue(std::int64_t{number}))
                     : DecodedParameter(invalidText(text, "integer"));
    }
    if (isFloat(type)) {
        const double number = bytes.trimmed().toDouble(&valid);
        return valid ? DecodedParameter(SqlValue(number))
                     : DecodedParameter(invalidText(text, "double precision"));
    }
    if (type == TypeOid::Bool) {
        const std::optional<bool> truth = parseBool(text);
        return truth ? DecodedParameter(SqlValue(std::int64_t{*truth ? 1 : 0}))
                     : DecodedParameter(invalidText(text, "boolean"));
    }
    if (type == TypeOid::Bytea) {
        const bool isHex = text.starts_with("\\x");
        return SqlValue(
            BinaryValue{isHex ? QByteArray::fromHex(bytes.mid(2)).toStdString() : text});
    }
    return SqlValue(text);
}

template <typename Integer>
DecodedParameter decodeBinaryInteger(const std::string& bytes) {
    if (bytes.size() != sizeof(Integer)) {
        return wrongBinaryLength();
    }
    return SqlValue(static_cast<std::int64_t>(qFromBigEndian<Integer>(bytes.data())));
}

DecodedParameter decodeBinary(const std::string& bytes, TypeOid type) {
    switch (type) {
        case TypeOid::Int2:
            return decodeBinaryInteger<std::int16_t>(bytes);
        case TypeOid::Int4:
            return decodeBinaryInteger<std::int32_t>(bytes);
        case TypeOid::Oid:
            return decodeBinaryInteger<std::uint32_t>(bytes);
        case TypeOid::Int8:
            return decodeBinaryInteger<std::int64_t>(bytes);
        case TypeOid::Bool:
            return decodeBinaryInteger<std::uint8_t>(bytes);
        case TypeOid::Float4:
            return bytes.size() == sizeof(float)
                       ? DecodedParameter(SqlValue(double{
                             std::bit_cast<float>(qFromBigEndian<std::uint32_t>(bytes.data()))}))
                       : DecodedParameter(wrongBinaryLength());
        case TypeOid::Float8:
            return bytes.size() == sizeof(double)
                       ? DecodedParameter(SqlValue(
                             std::bit_cast<double>(qFromBigEndian<std::uint64_t>(bytes.data()))))
                       : DecodedParameter(wrongBinaryLength());
        case TypeOid::Bytea:
            return SqlValue(BinaryValue{bytes});
        default:
            return SqlValue(bytes);
    }
}

std::string formatFloat(double number) {
    if (std::isnan(number)) {
        return "NaN";
    }
    if (std::isinf(number)) {
        return number > 0 ? "Infinity" : "-Infinity";
    }
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    return {buffer.data(), result.ptr};
}

std::string toText(const SqlValue& value) {
    if (const auto* number = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*number);
    }
    if (const auto* number = std::get_if<double>(&value)) {
        return formatFloat(*number);
    }
    if (const auto* binary = std::get_if<BinaryValue>(&value)) {
        return "\\x" + QByteArray::fromStdString(binary->bytes).toHex().toStdString();
    }
    return std::get<std::string>(value);
}

std::optional<bool> toBool(const SqlValue& value) {
    if (const auto* number = std::get_if<std::int64_t>(&value)) {
        return *number != 0;
    }
    if (const auto* text = std::get_if<std::string>(&value)) {
        return parseBool(*text);
    }
    return std::nullopt;
}

std::optional<std::int64_t> toInteger(const SqlValue& value) {
    if (const auto* number = std::get_if<std::int64_t>(&value)) {
        return *number;
    }
    if (const auto* number = std::get_if<double>(&value)) {
        const bool exact = std::nearbyint(*number) == *number && std::abs(*number) < 9.0e18;
        return exact ? std::optional(static_cast<std::int64_t>(*number)) : std::nullopt;
    }
    if (const auto* text = std::get_if<std::string>(&value)) {
        bool valid = false;
        const qlonglong number = QByteArray::fromStdString(*text).toLongLong(&valid);
        return valid ? std::optional<std::int64_t>(number) : std::nullopt;
    }
    return std::nullopt;
}

std::optional<double> toFloat(const SqlValue& value) {
    if (const auto* number = std::get_if<double>(&value)) {
        return *number;
    }
    if (const auto* number = std::get_if<std::int64_t>(&value)) {
        return static_cast<double>(*number);
    }
    if (const auto* text = std::get_if<std::string>(&value)) {
        bool valid = false;
        const double number = QByteArray::fromStdString(*text).toDouble(&valid);
        return valid ? std::optional(number) : std::nullopt;
    }
    return std::nullopt;
}

template <typename Integer>
std::string bigEndian(Integer number) {
    std::string bytes(sizeof(Integer), '\0');
    qToBigEndian(number, bytes.data());
    return bytes;
}

template <typename Integer>
EncodedValue encodeBinaryInteger(const SqlValue& value) {
    const std::optional<std::int64_t> number = toInteger(value);
    if (!number || !std::in_range<Integer>(*number)) {
        return outOfRange();
    }
    return std::optional(bigEndian(static_cast<Integer>(*number)));
}

EncodedValue encodeBinaryFloat(const SqlValue& value, TypeOid type) {
    const std::optional<double> number = toFloat(value);
    if (!number) {
        return outOfRange();
    }
    if (type == TypeOid::Float4) {
        return std::optional(bigEndian(std::bit_cast<std::uint32_t>(static_cast<float>(*number))));
    }
    return std::optional(bigEndian(std::bit_cast<std::uint64_t>(*number)));
}

EncodedValue encodeBinary(const SqlValue& value, TypeOid type) {
    switch (type) {
        case TypeOid::Int2:
            return encodeBinaryInteger<std::int16_t>(value);
        case TypeOid::Int4:
            return encodeBinaryInteger<std::int32_t>(value);
        case TypeOid::Oid:
            return encodeBinaryInteger<std::uint32_t>(value);
        case TypeOid::Int8:
            return encodeBinaryInteger<std::int64_t>(value);
        case TypeOid::Float4:
        case TypeOid::Float8:
            return encodeBinaryFloat(value, type);
        case TypeOid::Bool: {
            const std::optional<bool> truth = toBool(value);
            return truth ? EncodedValue(std::optional(std::string(1, *truth ? '\1' : '\0')))
                         : EncodedValue(outOfRange());
        }
        default:
            break;
    }
    if (const auto* binary = std::get_if<BinaryValue>(&value)) {
        return std::optional(binary->bytes);
    }
    return std::optional(toText(value));
}

/** Names in lower case, without length and array suffixes. */
constexpr std::array kTypeNames = {
    std::pair("int", TypeOid::Int4),
    std::pair("integer", TypeOid::Int4),
    std::pair("int4", TypeOid::Int4),
    std::pair("serial", TypeOid::Int4),
    std::pair("bigint", TypeOid::Int8),
    std::pair("int8", TypeOid::Int8),
    std::pair("bigserial", TypeOid::Int8),
    std::pair("smallint", TypeOid::Int2),
    std::pair("int2", TypeOid::Int2),
    std::pair("oid", TypeOid::Oid),
    std::pair("real", TypeOid::Float4),
    std::pair("float4", TypeOid::Float4),
    std::pair("double precision", TypeOid::Float8),
    std::pair("double", TypeOid::Float8),
    std::pair("float", TypeOid::Float8),
    std::pair("float8", TypeOid::Float8),
    std::pair("boolean", TypeOid::Bool),
    std::pair("bool", TypeOid::Bool),
    std::pair("bytea", TypeOid::Bytea),
    std::pair("blob", TypeOid::Bytea),
};

}  // namespace

DecodedParameter decodeParameter(const contract::ParameterValue& parameter, TypeOid type) {
    if (!parameter.bytes) {
        return SqlValue();
    }
    return parameter.format == contract::ValueFormat::Binary ? decodeBinary(*parameter.bytes, type)
                                                             : decodeText(*parameter.bytes, type);
}

EncodedValue encodeValue(const SqlValue& value, TypeOid type, contract::ValueFormat format) {
    if (std::holds_alternative<std::monostate>(value)) {
        return std::optional<std::string>();
    }
    if (format == contract::ValueFormat::Binary) {
        return encodeBinary(value, type);
    }
    if (type == TypeOid::Bool) {
        if (const std::optional<bool> truth = toBool(value)) {
            return std::optional(std::string(*truth ? "t" : "f"));
        }
    }
    return std::optional(toText(value));
}

TypeOid typeOfName(std::string_view name) {
    const QString lowered =
        QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())).toLower();
    const QString base = lowered.section('(', 0, 0).trimmed();
    for (const auto& [typeName, type] : kTypeNames) {
        if (base == QLatin1String(typeName)) {
            return type;
        }
    }
    return TypeOid::Text;
}

std::int16_t sizeOfType(TypeOid type) {
    switch (type) {
        case TypeOid::Bool:
            return 1;
        case TypeOid::Int2:
            return 2;
        case TypeOid::Int4:
        case TypeOid::Oid:
        case TypeOid::Float4:
            return 4;
        case TypeOid::Int8:
        case TypeOid::Float8:
            return 8;
        default:
            return -1;
    }
}

}  // namespace coralhoist::lab::database
