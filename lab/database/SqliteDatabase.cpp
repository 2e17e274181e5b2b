#include "lab/database/SqliteDatabase.h"

#include <new>
#include <utility>

#include "lab/database/SqlFunctions.h"
#include "lab/database/SqliteError.h"
#include "lab/database/ValueCodec.h"

namespace coralhoist::lab::database {
namespace {

using pgwire::TypeOid;

constexpr std::size_t kCachedStatements = 1000;

std::string bytesOfColumn(sqlite3_stmt* prepared, int index) {
    const void* bytes = sqlite3_column_blob(prepared, index);
    const int size = sqlite3_column_bytes(prepared, index);
    return size == 0 ? std::string()
                     : std::string(static_cast<const char*>(bytes), static_cast<std::size_t>(size));
}

SqlValue readColumn(sqlite3_stmt* prepared, int index) {
    switch (sqlite3_column_type(prepared, index)) {
        case SQLITE_INTEGER:
            return std::int64_t{sqlite3_column_int64(prepared, index)};
        case SQLITE_FLOAT:
            return sqlite3_column_double(prepared, index);
        case SQLITE_TEXT:
            return bytesOfColumn(prepared, index);
        case SQLITE_BLOB:
            return BinaryValue{bytesOfColumn(prepared, index)};
        default:
            return {};
    }
}

void bindValue(sqlite3_stmt* prepared, int index, const SqlValue& value) {
    if (const auto* integer = std::get_if<std::int64_t>(&value)) {
        sqlite3_bind_int64(prepared, index, *integer);
    } else if (const auto* number = std::get_if<double>(&value)) {
        sqlite3_bind_double(prepared, index, *number);
    } else if (const auto* text = std::get_if<std::string>(&value)) {
        sqlite3_bind_text64(prepared, index, text->data(), text->size(), SQLITE_STATIC,
                            SQLITE_UTF8);
    } else if (const auto* binary = std::get_if<BinaryValue>(&value)) {
        sqlite3_bind_blob64(prepared, index, binary->bytes.data(), binary->bytes.size(),
                            SQLITE_STATIC);
    } else {
        sqlite3_bind_null(prepared, index);
    }
}

/** Binds $1, $2 ...; SQLite takes them as names, so their numbers don't follow their indices. */
void bindParameters(sqlite3_stmt* prepared, const std::vector<SqlValue>& parameters) {
    const int count = sqlite3_bind_parameter_count(prepared);
    for (int index = 1; index <= count; ++index) {
        const char* name = sqlite3_bind_parameter_name(prepared, index);
        const int number = name == nullptr ? 0 : std::atoi(name + 1);
        if (number >= 1 && static_cast<std::size_t>(number) <= parameters.size()) {
            bindValue(prepared, index, parameters[static_cast<std::size_t>(number) - 1]);
        }
    }
}

/** Leaves a cached statement ready for its next use, whichever way its run ends. */
class StatementReset {
public:
    explicit StatementReset(sqlite3_stmt* prepared) : _prepared(prepared) {}
    ~StatementReset() {
        sqlite3_reset(_prepared);
        sqlite3_clear_bindings(_prepared);
    }
    StatementReset(const StatementReset&) = delete;
    StatementReset& operator=(const StatementReset&) = delete;

private:
    sqlite3_stmt* _prepared;
};

std::string commandTag(const AnalyzedStatement& statement, std::size_t rows, std::int64_t changes) {
    if (statement.kind == StatementClass::DataDefinition ||
        statement.command.find(' ') != std::string::npos) {
        return statement.command;
    }
    if (statement.kind == StatementClass::Query) {
        return "SELECT " + std::to_string(rows);
    }
    const std::string prefix =
        statement.command == "INSERT" ? "INSERT 0 " : statement.command + " ";
    return prefix + std::to_string(changes);
}

}  // namespace

SqliteDatabase::SqliteDatabase() {
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
    if (sqlite3_open_v2(":memory:", &_handle, flags, nullptr) != SQLITE_OK) {
        sqlite3_close(_handle);
        throw std::bad_alloc();
    }
    sqlite3_extended_result_codes(_handle, 1);
    registerFunctions(_handle, &_context);
    (void)run("PRAGMA foreign_keys = ON");
}

SqliteDatabase::~SqliteDatabase() {
    finalizeAll();
    sqlite3_close(_handle);
}

void SqliteDatabase::finalizeAll() {
    for (const auto& [sql, statement] : _statements) {
        sqlite3_finalize(statement);
    }
    _statements.clear();
}

SqlError SqliteDatabase::lastError() const {
    return describeSqliteError(sqlite3_extended_errcode(_handle), sqlite3_errmsg(_handle));
}

SqliteDatabase::Prepared SqliteDatabase::prepare(const std::string& sql) {
    const auto found = _statements.find(sql);
    if (found != _statements.end()) {
        return {found->second, std::nullopt};
    }
    if (_statements.size() >= kCachedStatements) {
        finalizeAll();
    }
    sqlite3_stmt* statement = nullptr;
    const int code = sqlite3_prepare_v3(_handle, sql.data(), static_cast<int>(sql.size()),
                                        SQLITE_PREPARE_PERSISTENT, &statement, nullptr);
    if (code != SQLITE_OK || statement == nullptr) {
        return {nullptr, code == SQLITE_OK ? describeSqliteError(SQLITE_ERROR, "empty statement")
                                           : lastError()};
    }
    _statements.emplace(sql, statement);
    return {statement, std::nullopt};
}

QueryOutcome SqliteDatabase::execute(const AnalyzedStatement& statement,
                                     const std::vector<SqlValue>& parameters,
                                     ExecutionContext& context) {
    QueryOutcome outcome;
    const Prepared prepared = prepare(statement.sql);
    if (prepared.error) {
        outcome.error = prepared.error;
        return outcome;
    }
    const StatementReset reset(prepared.statement);
    bindParameters(prepared.statement, parameters);
    const std::int64_t changesBefore = totalChanges();
    _context = &context;
    int code = SQLITE_ROW;
    while ((code = sqlite3_step(prepared.statement)) == SQLITE_ROW) {
        std::vector<SqlValue>& row = outcome.rows.emplace_back();
        for (int index = 0; index < sqlite3_column_count(prepared.statement); ++index) {
            row.push_back(readColumn(prepared.statement, index));
        }
    }
    _context = nullptr;
    if (code != SQLITE_DONE) {
        outcome.rows.clear();
        outcome.error = lastError();
        return outcome;
    }
    // Described after the first step, which prepares anew when the schema has changed.
    outcome.columns = describeColumns(prepared.statement, statement);
    outcome.returnsRows = !outcome.columns.empty();
    outcome.commandTag = commandTag(statement, outcome.rows.size(), totalChanges() - changesBefore);
    return outcome;
}

std::optional<SqlError> SqliteDatabase::run(const std::string& sql) {
    if (sqlite3_exec(_handle, sql.c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) {
        return lastError();
    }
    return std::nullopt;
}

QueryOutcome SqliteDatabase::describe(const AnalyzedStatement& statement) {
    QueryOutcome outcome;
    const Prepared prepared = prepare(statement.sql);
    if (prepared.error) {
        outcome.error = prepared.error;
        return outcome;
    }
    outcome.columns = describeColumns(prepared.statement, statement);
    outcome.returnsRows = !outcome.columns.empty();
    return outcome;
}

bool SqliteDatabase::isReadOnly(const AnalyzedStatement& statement) {
    const Prepared prepared = prepare(statement.sql);
    return prepared.statement == nullptr || sqlite3_stmt_readonly(prepared.statement) != 0;
}

std::vector<ResultColumn> SqliteDatabase::describeColumns(
    sqlite3_stmt* prepared, const AnalyzedStatement& statement) const {
    std::vector<ResultColumn> columns;
    const int count = sqlite3_column_count(prepared);
    columns.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        columns.push_back(describeColumn(prepared, index, statement));
    }
    return columns;
}

ResultColumn SqliteDatabase::describeColumn(sqlite3_stmt* prepared, int index,
                                            const AnalyzedStatement& statement) const {
    ResultColumn column;
    const char* name = sqlite3_column_name(prepared, index);
    column.name = name == nullptr ? "" : name;
    const auto position = static_cast<std::size_t>(index);
    const bool hasTarget = position < statement.targets.size();
    if (hasTarget) {
        column.name = statement.targets[position].name;
    }
    if (const char* declared = sqlite3_column_decltype(prepared, index)) {
        column.type = typeOfName(declared);
        return column;
    }
    std::string source = column.name;
    if (hasTarget) {
        const ExpressionType& type = statement.targets[position].type;
        if (type.type != TypeOid::Unspecified) {
            column.type = type.type;
            return column;
        }
        source = type.column;
    }
    const TypeOid type = columnType(statement.relations, source);
    column.type = type == TypeOid::Unspecified ? TypeOid::Text : type;
    return column;
}

TypeOid SqliteDatabase::columnType(const std::vector<std::string>& relations,
                                   const std::string& column) const {
    if (column.empty()) {
        return TypeOid::Unspecified;
    }
    for (const std::string& relation : relations) {
        const char* declared = nullptr;
        const int code =
            sqlite3_table_column_metadata(_handle, nullptr, relation.c_str(), column.c_str(),
                                          &declared, nullptr, nullptr, nullptr, nullptr);
        if (code == SQLITE_OK && declared != nullptr) {
            return typeOfName(declared);
        }
    }
    return TypeOid::Unspecified;
}

std::optional<SqlError> SqliteDatabase::copyFrom(const SqliteDatabase& source) {
    finalizeAll();
    sqlite3_backup* backup = sqlite3_backup_init(_handle, "main", source._handle, "main");
    if (backup == nullptr) {
        return lastError();
    }
    constexpr int kAllPages = -1;
    sqlite3_backup_step(backup, kAllPages);
    if (sqlite3_backup_finish(backup) != SQLITE_OK) {
        return lastError();
    }
    return std::nullopt;
}

}  // namespace coralhoist::lab::database
