#include "link/backend/ResultCollector.h"

#include <array>
#include <utility>

namespace coralhoist::backend {
namespace {

using contract::CommandOutcome;
using contract::ResultUse;
using pgwire::ColumnDescription;
using pgwire::ColumnValue;
using pgwire::ResponseField;

/** All fields of an error or notice; libpq's codes are those of the protocol. */
constexpr std::array<char, 18> kDiagnosticFields = {
    PG_DIAG_SEVERITY,           PG_DIAG_SEVERITY_NONLOCALIZED,
    PG_DIAG_SQLSTATE,           PG_DIAG_MESSAGE_PRIMARY,
    PG_DIAG_MESSAGE_DETAIL,     PG_DIAG_MESSAGE_HINT,
    PG_DIAG_STATEMENT_POSITION, PG_DIAG_INTERNAL_POSITION,
    PG_DIAG_INTERNAL_QUERY,     PG_DIAG_CONTEXT,
    PG_DIAG_SCHEMA_NAME,        PG_DIAG_TABLE_NAME,
    PG_DIAG_COLUMN_NAME,        PG_DIAG_DATATYPE_NAME,
    PG_DIAG_CONSTRAINT_NAME,    PG_DIAG_SOURCE_FILE,
    PG_DIAG_SOURCE_LINE,        PG_DIAG_SOURCE_FUNCTION};

std::string diagnostic(const PGresult* result, char code) {
    const char* value = PQresultErrorField(result, code);
    return value == nullptr ? std::string() : std::string(value);
}

std::vector<ResponseField> diagnostics(const PGresult* result) {
    std::vector<ResponseField> fields;
    fields.reserve(kDiagnosticFields.size());
    for (const char code : kDiagnosticFields) {
        const char* value = PQresultErrorField(result, code);
        if (value != nullptr) {
            fields.push_back({.code = code, .value = value});
        }
    }
    return fields;
}

ColumnDescription column(const PGresult* result, int index) {
    return {.name = PQfname(result, index),
            .tableOid = PQftable(result, index),
            .columnNumber = static_cast<std::int16_t>(PQftablecol(result, index)),
            .typeOid = PQftype(result, index),
            .typeSize = static_cast<std::int16_t>(PQfsize(result, index)),
            .typeModifier = PQfmod(result, index),
            .format = static_cast<contract::ValueFormat>(PQfformat(result, index))};
}

/** @return a view into the result; no value for NULL. */
ColumnValue value(const PGresult* result, int row, int index) {
    if (PQgetisnull(result, row, index) == 1) {
        return std::nullopt;
    }
    return std::string_view(PQgetvalue(result, row, index),
                            static_cast<std::size_t>(PQgetlength(result, row, index)));
}

}  // namespace

void ResultCollector::begin(const contract::BackendCommand& command) {
    _use = command.use;
    _describeRows = command.step.describeRows;
    _outcome = {};
}

void ResultCollector::addResult(const PGresult* result) {
    const ExecStatusType status = PQresultStatus(result);
    const bool hasRows = status == PGRES_SINGLE_TUPLE || status == PGRES_TUPLES_OK;
    if (hasRows && isForwarded()) {
        forwardRows(result);
    } else if (hasRows && _use == ResultUse::Capture) {
        captureRows(result);
    }
    if (status != PGRES_SINGLE_TUPLE) {
        complete(result);
    }
}

void ResultCollector::addDescription(const PGresult* result) {
    if (!isForwarded()) {
        return;
    }
    std::vector<std::uint32_t> types;
    types.reserve(static_cast<std::size_t>(PQnparams(result)));
    for (int index = 0; index < PQnparams(result); ++index) {
        types.push_back(PQparamtype(result, index));
    }
    _writer.parameterDescription(types);
    if (PQnfields(result) == 0) {
        _writer.noData();
    } else {
        describeColumns(result);
    }
}

void ResultCollector::addNotice(const PGresult* notice) {
    if (isForwarded()) {
        _writer.noticeResponse(diagnostics(notice));
    }
}

void ResultCollector::fail(const PGresult* result) {
    _outcome.kind = CommandOutcome::Kind::Failed;
    _outcome.sqlState = diagnostic(result, PG_DIAG_SQLSTATE);
    _outcome.message = diagnostic(result, PG_DIAG_MESSAGE_PRIMARY);
    if (isForwarded()) {
        pgwire::BackendMessageWriter error;
        error.errorResponse(diagnostics(result));
        _outcome.errorBytes = error.take();
    }
}

void ResultCollector::skip() {
    if (_outcome.kind == CommandOutcome::Kind::Succeeded) {
        _outcome.kind = CommandOutcome::Kind::Skipped;
    }
}

std::string ResultCollector::takeBytes() {
    return _writer.take();
}

CommandOutcome ResultCollector::takeOutcome() {
    return std::exchange(_outcome, {});
}

void ResultCollector::forwardRows(const PGresult* result) {
    if (_describeRows) {
        describeColumns(result);
        _describeRows = false;
    }
    const int columns = PQnfields(result);
    for (int row = 0; row < PQntuples(result); ++row) {
        _rowValues.clear();
        for (int index = 0; index < columns; ++index) {
            _rowValues.push_back(value(result, row, index));
        }
        _writer.dataRow(_rowValues);
    }
}

void ResultCollector::captureRows(const PGresult* result) {
    const int columns = PQnfields(result);
    for (int row = 0; row < PQntuples(result) && _outcome.rows.size() < _captureRowLimit; ++row) {
        contract::CapturedRow captured;
        for (int index = 0; index < columns; ++index) {
            captured.values.emplace_back(value(result, row, index));
        }
        _outcome.rows.push_back(std::move(captured));
    }
}

void ResultCollector::complete(const PGresult* result) {
    if (PQresultStatus(result) == PGRES_EMPTY_QUERY) {
        if (isForwarded()) {
            _writer.emptyQueryResponse();
        }
        return;
    }
    // libpq's signature takes a mutable result, but only reads it.
    _outcome.commandTag = PQcmdStatus(const_cast<PGresult*>(result));
    if (isForwarded()) {
        _writer.commandComplete(_outcome.commandTag);
    }
}

void ResultCollector::describeColumns(const PGresult* result) {
    std::vector<ColumnDescription> columns;
    columns.reserve(static_cast<std::size_t>(PQnfields(result)));
    for (int index = 0; index < PQnfields(result); ++index) {
        columns.push_back(column(result, index));
    }
    _writer.rowDescription(columns);
}

}  // namespace coralhoist::backend
