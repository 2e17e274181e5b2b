/** One in-memory SQLite database. */
#pragma once

#include <sqlite3.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/database/ExecutionContext.h"
#include "lab/database/StatementAnalysis.h"

namespace coralhoist::lab::database {

/** An in-memory database with the stand-in's SQL functions and a cache of prepared statements. */
class SqliteDatabase {
public:
    /** @throws std::bad_alloc when SQLite can't open it. */
    SqliteDatabase();
    ~SqliteDatabase();
    SqliteDatabase(const SqliteDatabase&) = delete;
    SqliteDatabase& operator=(const SqliteDatabase&) = delete;

    /**
     * Runs one statement to its end.
     * @param parameters values of $1, $2 ...; missing ones are NULL.
     */
    QueryOutcome execute(const AnalyzedStatement& statement,
                         const std::vector<SqlValue>& parameters, ExecutionContext& context);

    /** Runs a statement of the stand-in's own, such as BEGIN. */
    std::optional<SqlError> run(const std::string& sql);

    /** @return names and types of the result columns, or the error that preparing it gives. */
    QueryOutcome describe(const AnalyzedStatement& statement);

    /** @return whether the statement changes nothing; true also for what can't be prepared. */
    bool isReadOnly(const AnalyzedStatement& statement);

    /** @return the type of a column of the first of the tables that has it, else Unspecified. */
    pgwire::TypeOid columnType(const std::vector<std::string>& relations,
                               const std::string& column) const;

    /** Replaces the whole content by that of another database. Neither has a transaction open. */
    std::optional<SqlError> copyFrom(const SqliteDatabase& source);

    /** @return rows changed since the database was opened. */
    std::int64_t totalChanges() const { return sqlite3_total_changes64(_handle); }

private:
    struct Prepared {
        sqlite3_stmt* statement = nullptr;
        std::optional<SqlError> error;
    };

    Prepared prepare(const std::string& sql);
    void finalizeAll();
    SqlError lastError() const;
    std::vector<ResultColumn> describeColumns(sqlite3_stmt* prepared,
                                              const AnalyzedStatement& statement) const;
    ResultColumn describeColumn(sqlite3_stmt* prepared, int index,
                                const AnalyzedStatement& statement) const;

    sqlite3* _handle = nullptr;
    /** What the SQL functions see; set while a statement runs. */
    ExecutionContext* _context = nullptr;
    std::unordered_map<std::string, sqlite3_stmt*> _statements;
};

}  // namespace coralhoist::lab::database
