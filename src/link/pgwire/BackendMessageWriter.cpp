#include "link/pgwire/BackendMessageWriter.h"

#include <QtEndian>
#include <utility>

namespace coralhoist::pgwire {
namespace {

constexpr std::int32_t kNullLength = -1;
constexpr std::int32_t kAuthenticationOkCode = 0;

char statusByte(contract::TransactionStatus status) {
    switch (status) {
        case contract::TransactionStatus::Idle:
            return 'I';
        case contract::TransactionStatus::InTransaction:
            return 'T';
        case contract::TransactionStatus::Failed:
            return 'E';
    }
    return 'I';
}

std::string_view severityName(Severity severity) {
    switch (severity) {
        case Severity::Error:
            return "ERROR";
        case Severity::Fatal:
            return "FATAL";
        case Severity::Panic:
            return "PANIC";
        case Severity::Warning:
            return "WARNING";
        case Severity::Notice:
            return "NOTICE";
    }
    return "ERROR";
}

}  // namespace

template <typename Integer>
void BackendMessageWriter::integer(Integer value) {
    const Integer encoded = qToBigEndian(value);
    _bytes.append(reinterpret_cast<const char*>(&encoded), sizeof encoded);
}

std::size_t BackendMessageWriter::begin(char type) {
    _bytes.push_back(type);
    const std::size_t lengthPosition = _bytes.size();
    integer(std::int32_t{0});
    return lengthPosition;
}

void BackendMessageWriter::end(std::size_t lengthPosition) {
    const auto length = static_cast<std::int32_t>(_bytes.size() - lengthPosition);
    qToBigEndian(length, _bytes.data() + lengthPosition);
}

void BackendMessageWriter::empty(char type) {
    end(begin(type));
}

void BackendMessageWriter::cString(std::string_view value) {
    _bytes.append(value.substr(0, value.find('\0')));
    _bytes.push_back('\0');
}

std::string BackendMessageWriter::take() {
    return std::exchange(_bytes, {});
}

void BackendMessageWriter::authenticationOk() {
    const std::size_t position = begin('R');
    integer(kAuthenticationOkCode);
    end(position);
}

void BackendMessageWriter::parameterStatus(std::string_view name, std::string_view value) {
    const std::size_t position = begin('S');
    cString(name);
    cString(value);
    end(position);
}

void BackendMessageWriter::backendKeyData(std::int32_t processId, std::int32_t secretKey) {
    const std::size_t position = begin('K');
    integer(processId);
    integer(secretKey);
    end(position);
}

void BackendMessageWriter::readyForQuery(contract::TransactionStatus status) {
    const std::size_t position = begin('Z');
    _bytes.push_back(statusByte(status));
    end(position);
}

void BackendMessageWriter::rowDescription(std::span<const ColumnDescription> columns) {
    const std::size_t position = begin('T');
    integer(static_cast<std::int16_t>(columns.size()));
    for (const ColumnDescription& column : columns) {
        cString(column.name);
        integer(column.tableOid);
        integer(column.columnNumber);
        integer(column.typeOid);
        integer(column.typeSize);
        integer(column.typeModifier);
        integer(static_cast<std::int16_t>(column.format));
    }
    end(position);
}

void BackendMessageWriter::dataRow(std::span<const ColumnValue> values) {
    const std::size_t position = begin('D');
    integer(static_cast<std::int16_t>(values.size()));
    for (const ColumnValue& value : values) {
        if (!value) {
            integer(kNullLength);
            continue;
        }
        integer(static_cast<std::int32_t>(value->size()));
        _bytes.append(*value);
    }
    end(position);
}

void BackendMessageWriter::commandComplete(std::string_view tag) {
    const std::size_t position = begin('C');
    cString(tag);
    end(position);
}

void BackendMessageWriter::emptyQueryResponse() {
    empty('I');
}
void BackendMessageWriter::parseComplete() {
    empty('1');
}
void BackendMessageWriter::bindComplete() {
    empty('2');
}
void BackendMessageWriter::closeComplete() {
    empty('3');
}
void BackendMessageWriter::noData() {
    empty('n');
}
void BackendMessageWriter::portalSuspended() {
    empty('s');
}

void BackendMessageWriter::negotiateProtocolVersion(std::int32_t minorVersion,
                                                    std::span<const std::string> unknownOptions) {
    const std::size_t position = begin('v');
    integer(minorVersion);
    integer(static_cast<std::int32_t>(unknownOptions.size()));
    for (const std::string& option : unknownOptions) {
        cString(option);
    }
    end(position);
}

void BackendMessageWriter::errorResponse(const ResponseFields& fields) {
    this->fields('E', fields);
}
void BackendMessageWriter::noticeResponse(const ResponseFields& fields) {
    this->fields('N', fields);
}

void BackendMessageWriter::fields(char type, const ResponseFields& fields) {
    const std::size_t position = begin(type);
    field('S', severityName(fields.severity));
    field('V', severityName(fields.severity));
    field('C', fields.sqlState);
    field('M', fields.message);
    field('D', fields.detail);
    field('H', fields.hint);
    _bytes.push_back('\0');
    end(position);
}

void BackendMessageWriter::errorResponse(std::span<const ResponseField> fields) {
    this->fields('E', fields);
}
void BackendMessageWriter::noticeResponse(std::span<const ResponseField> fields) {
    this->fields('N', fields);
}

void BackendMessageWriter::fields(char type, std::span<const ResponseField> fields) {
    const std::size_t position = begin(type);
    for (const ResponseField& each : fields) {
        field(each.code, each.value);
    }
    _bytes.push_back('\0');
    end(position);
}

void BackendMessageWriter::field(char code, std::string_view value) {
    if (value.empty()) {
        return;
    }
    _bytes.push_back(code);
    cString(value);
}

void BackendMessageWriter::parameterDescription(std::span<const std::uint32_t> typeOids) {
    const std::size_t position = begin('t');
    integer(static_cast<std::int16_t>(typeOids.size()));
    for (const std::uint32_t typeOid : typeOids) {
        integer(typeOid);
    }
    end(position);
}

std::string encodeErrorResponse(const ResponseFields& fields) {
    BackendMessageWriter writer;
    writer.errorResponse(fields);
    return writer.take();
}

}  // namespace coralhoist::pgwire
