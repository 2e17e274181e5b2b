/** The open write transaction of a server. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/database/SessionHost.h"

namespace coralhoist::lab::database {

/**
 * The part of a transaction that changes data. It exists while the session holds the write lock and
 * works on the `working` database; destroying it rolls back and gives the lock up. After the server
 * has revoked the lock it does nothing.
 */
class WriteTransaction {
public:
    /**
     * @param token held by the session.
     * @param savepoints that the transaction set before its first write.
     */
    WriteTransaction(SessionHost& host, LockToken token,
                     const std::vector<std::string>& savepoints);
    ~WriteTransaction();
    WriteTransaction(const WriteTransaction&) = delete;
    WriteTransaction& operator=(const WriteTransaction&) = delete;

    /** Runs a statement and remembers it for the log if it changed anything. */
    QueryOutcome execute(const StatementPointer& statement, const std::vector<SqlValue>& parameters,
                         ExecutionContext& context);

    std::optional<SqlError> savepoint(const std::string& name);
    std::optional<SqlError> release(const std::string& name);
    std::optional<SqlError> rollbackTo(const std::string& name);

    /**
     * Commits. The lock is given up with the object.
     * @return the position of the commit in the log, or no value when nothing was changed.
     */
    std::optional<LogPosition> commit(std::int64_t nowMicroseconds);

private:
    struct Mark {
        std::string name;
        std::size_t statementCount = 0;
    };

    bool isHeld() const { return _host.writeLock().isHeldBy(_token); }
    std::optional<SqlError> run(const char* verb, const std::string& name);
    std::size_t findMark(const std::string& name) const;

    SessionHost& _host;
    LockToken _token;
    bool _isOpen = true;
    std::vector<LoggedStatement> _statements;
    std::vector<Mark> _marks;
};

}  // namespace coralhoist::lab::database
