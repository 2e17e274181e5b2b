#include "lab/database/WriteTransaction.h"

#include <utility>

namespace coralhoist::lab::database {

WriteTransaction::WriteTransaction(SessionHost& host, LockToken token,
                                   const std::vector<std::string>& savepoints)
    : _host(host), _token(token) {
    (void)_host.storage().working().run("BEGIN");
    for (const std::string& name : savepoints) {
        (void)savepoint(name);
    }
}

WriteTransaction::~WriteTransaction() {
    if (!isHeld()) {
        return;
    }
    if (_isOpen) {
        (void)_host.storage().working().run("ROLLBACK");
    }
    _host.writeLock().release(_token);
}

QueryOutcome WriteTransaction::execute(const StatementPointer& statement,
                                       const std::vector<SqlValue>& parameters,
                                       ExecutionContext& context) {
    if (!isHeld()) {
        return QueryOutcome::failure(sqlstate::kAdminShutdown,
                                     "terminating connection due to administrator command");
    }
    SqliteDatabase& database = _host.storage().working();
    const std::uint64_t seed = _host.nextRandom();
    context.random.seed(seed);
    const std::int64_t changesBefore = database.totalChanges();
    QueryOutcome outcome = database.execute(*statement, parameters, context);
    const bool changed = database.totalChanges() != changesBefore ||
                         statement->kind == StatementClass::DataDefinition;
    if (!outcome.error && changed) {
        _statements.push_back({statement, parameters, seed});
    }
    return outcome;
}

std::optional<SqlError> WriteTransaction::run(const char* verb, const std::string& name) {
    // Doubled quotes keep any name inside its identifier.
    std::string quoted = "\"";
    for (const char character : name) {
        quoted.append(character == '"' ? 2 : 1, character);
    }
    quoted.push_back('"');
    return isHeld() ? _host.storage().working().run(verb + quoted) : std::nullopt;
}

std::size_t WriteTransaction::findMark(const std::string& name) const {
    for (std::size_t index = _marks.size(); index > 0; --index) {
        if (_marks[index - 1].name == name) {
            return index - 1;
        }
    }
    return _marks.size();
}

std::optional<SqlError> WriteTransaction::savepoint(const std::string& name) {
    _marks.push_back({name, _statements.size()});
    return run("SAVEPOINT ", name);
}

std::optional<SqlError> WriteTransaction::release(const std::string& name) {
    _marks.resize(findMark(name));
    return run("RELEASE ", name);
}

std::optional<SqlError> WriteTransaction::rollbackTo(const std::string& name) {
    const std::size_t index = findMark(name);
    if (index < _marks.size()) {
        _statements.resize(_marks[index].statementCount);
        _marks.resize(index + 1);
    }
    return run("ROLLBACK TO ", name);
}

std::optional<LogPosition> WriteTransaction::commit(std::int64_t nowMicroseconds) {
    if (!isHeld() || _statements.empty()) {
        return std::nullopt;
    }
    (void)_host.storage().working().run("COMMIT");
    _isOpen = false;
    return _host.commit(std::move(_statements), nowMicroseconds);
}

}  // namespace coralhoist::lab::database
