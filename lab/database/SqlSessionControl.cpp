/** Statements of SqlSession that SQLite does not run: transactions, settings, pg_sleep. */
#include <utility>

#include "lab/database/SqlSession.h"

namespace coralhoist::lab::database {
namespace {

using pgwire::Severity;
using pgwire::TypeOid;

QueryOutcome completedWithWarning(const std::string& tag, const char* sqlState,
                                  const char* message) {
    QueryOutcome outcome = QueryOutcome::completed(tag);
    outcome.notice.emplace();
    outcome.notice->severity = Severity::Warning;
    outcome.notice->sqlState = sqlState;
    outcome.notice->message = message;
    return outcome;
}

QueryOutcome singleText(const std::string& column, const std::string& value,
                        const std::string& tag) {
    QueryOutcome outcome = QueryOutcome::completed(tag);
    outcome.returnsRows = true;
    outcome.columns = {{column, TypeOid::Text}};
    outcome.rows = {{SqlValue(value)}};
    return outcome;
}

}  // namespace

void SqlSession::runSleep() {
    const AnalyzedStatement& statement = *_running->statement;
    double seconds = statement.sleepSeconds;
    const auto parameter = static_cast<std::size_t>(statement.sleepParameter);
    if (parameter >= 1 && parameter <= _running->parameters.size()) {
        const SqlValue& value = _running->parameters[parameter - 1];
        if (const auto* number = std::get_if<double>(&value)) {
            seconds = *number;
        } else if (const auto* integer = std::get_if<std::int64_t>(&value)) {
            seconds = static_cast<double>(*integer);
        } else if (const auto* text = std::get_if<std::string>(&value)) {
            seconds = std::atof(text->c_str());
        }
    }
    const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    _sleep = _host.timers().schedule(delay, [this] {
        _sleep.reset();
        finish(singleText("pg_sleep", "", "SELECT 1"));
    });
}

void SqlSession::runBegin() {
    const AnalyzedStatement& statement = *_running->statement;
    if (_block == Block::Explicit) {
        return finish(completedWithWarning(statement.command, sqlstate::kActiveTransaction,
                                           "there is already a transaction in progress"));
    }
    if (_block == Block::Implicit) {
        _block = Block::Explicit;
    } else {
        openBlock(Block::Explicit);
    }
    _readOnly = statement.readOnly.value_or(_readOnly);
    finish(QueryOutcome::completed(statement.command));
}

void SqlSession::runCommit() {
    if (_block == Block::Failed) {
        closeBlock(false);
        return finish(QueryOutcome::completed("ROLLBACK"));
    }
    if (_block == Block::None) {
        return finish(completedWithWarning("COMMIT", sqlstate::kNoActiveTransaction,
                                           "there is no transaction in progress"));
    }
    commitWork("COMMIT");
}

void SqlSession::runRollback() {
    if (_block == Block::None) {
        return finish(completedWithWarning("ROLLBACK", sqlstate::kNoActiveTransaction,
                                           "there is no transaction in progress"));
    }
    closeBlock(false);
    finish(QueryOutcome::completed("ROLLBACK"));
}

std::size_t SqlSession::findSavepoint(const std::string& name) const {
    for (std::size_t index = _savepoints.size(); index > 0; --index) {
        if (_savepoints[index - 1] == name) {
            return index - 1;
        }
    }
    return _savepoints.size();
}

void SqlSession::runSavepoint() {
    const AnalyzedStatement& statement = *_running->statement;
    if (_block != Block::Explicit && _block != Block::Failed) {
        return fail(sqlstate::kNoActiveTransaction,
                    statement.command + " can only be used in transaction blocks");
    }
    if (statement.kind == StatementClass::Savepoint) {
        _savepoints.push_back(statement.name);
        if (_write) {
            (void)_write->savepoint(statement.name);
        }
        return finish(QueryOutcome::completed(statement.command));
    }
    const std::size_t index = findSavepoint(statement.name);
    if (index == _savepoints.size()) {
        return fail(sqlstate::kInvalidSavepoint,
                    "savepoint \"" + statement.name + "\" does not exist");
    }
    if (statement.kind == StatementClass::Release) {
        _savepoints.resize(index);
        if (_write) {
            (void)_write->release(statement.name);
        }
        return finish(QueryOutcome::completed(statement.command));
    }
    _savepoints.resize(index + 1);
    _block = Block::Explicit;
    if (_write) {
        (void)_write->rollbackTo(statement.name);
    }
    finish(QueryOutcome::completed(statement.command));
}

void SqlSession::runSetTransaction() {
    const AnalyzedStatement& statement = *_running->statement;
    if (statement.name == "SESSION CHARACTERISTICS") {
        if (statement.readOnly) {
            (void)_variables.set("default_transaction_read_only",
                                 *statement.readOnly ? "on" : "off", false, _block != Block::None);
        }
        return finish(QueryOutcome::completed("SET"));
    }
    if (_block == Block::None || _block == Block::Implicit) {
        return finish(
            completedWithWarning("SET", sqlstate::kNoActiveTransaction,
                                 "SET TRANSACTION can only be used in transaction blocks"));
    }
    _readOnly = statement.readOnly.value_or(_readOnly);
    finish(QueryOutcome::completed("SET"));
}

void SqlSession::runSet() {
    const AnalyzedStatement& statement = *_running->statement;
    const bool inTransaction = _block != Block::None;
    bool known = true;
    if (statement.kind == StatementClass::ResetAll) {
        _variables.resetAll(inTransaction);
    } else if (statement.kind == StatementClass::Reset) {
        known = _variables.reset(statement.name, inTransaction);
    } else if (!statement.isLocal || inTransaction) {
        known = _variables.set(statement.name, statement.value, statement.isLocal, inTransaction);
    }
    if (!known) {
        return fail(sqlstate::kUndefinedObject,
                    "unrecognized configuration parameter \"" + statement.name + "\"");
    }
    finish(QueryOutcome::completed(statement.command));
}

void SqlSession::runShow() {
    const std::string& name = _running->statement->name;
    const std::optional<std::string> value = setting(name);
    if (!value) {
        return fail(sqlstate::kUndefinedObject,
                    "unrecognized configuration parameter \"" + name + "\"");
    }
    finish(singleText(name, *value, "SHOW"));
}

void SqlSession::runDiscard() {
    if (_block != Block::None) {
        return fail(sqlstate::kActiveTransaction,
                    "DISCARD ALL cannot run inside a transaction block");
    }
    _variables.resetAll(false);
    finish(QueryOutcome::completed("DISCARD ALL"));
}

std::optional<std::string> SqlSession::setting(const std::string& name) const {
    if (name == "transaction_read_only") {
        return _readOnly || _host.state().isInRecovery() ? "on" : "off";
    }
    if (name == "in_hot_standby") {
        return _host.state().isInRecovery() ? "on" : "off";
    }
    return _variables.get(name);
}

void SqlSession::applySetting(const std::string& name, const std::string& value, bool local) {
    (void)_variables.set(name, value, local, _block != Block::None);
}

QueryOutcome SqlSession::describe(const AnalyzedStatement& statement) {
    switch (statement.kind) {
        case StatementClass::Query:
        case StatementClass::Modify:
        case StatementClass::DataDefinition:
            return (_write ? _host.storage().working() : _host.storage().committed())
                .describe(statement);
        case StatementClass::Sleep:
            return singleText("pg_sleep", "", "");
        case StatementClass::Show:
            return singleText(statement.name, "", "");
        default:
            return {};
    }
}

}  // namespace coralhoist::lab::database
