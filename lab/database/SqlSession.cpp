#include "lab/database/SqlSession.h"

#include <chrono>
#include <utility>

namespace coralhoist::lab::database {
namespace {

using pgwire::TypeOid;

constexpr const char* kCancelMessage = "canceling statement due to user request";

std::int64_t currentMicroseconds() {
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

}  // namespace

SqlSession::SqlSession(SessionHost& host, std::int32_t processId, SessionVariables variables)
    : _host(host), _processId(processId), _variables(std::move(variables)) {}

SqlSession::~SqlSession() {
    stopWaiting();
}

void SqlSession::run(StatementPointer statement, std::vector<SqlValue> parameters, Done done) {
    _running = Running{std::move(statement), std::move(parameters), std::move(done)};
    const AnalyzedStatement& running = *_running->statement;
    _host.countServed(servedKind(running));
    if (refuses(running)) {
        fail(sqlstate::kInFailedTransaction,
             "current transaction is aborted, commands ignored until end of transaction block");
        return;
    }
    startTimers();
    dispatch();
}

void SqlSession::dispatch() {
    switch (_running->statement->kind) {
        case StatementClass::Query:
        case StatementClass::Modify:
        case StatementClass::DataDefinition:
        case StatementClass::Lock:
            return runQuery();
        case StatementClass::Sleep:
            return runSleep();
        case StatementClass::Begin:
            return runBegin();
        case StatementClass::Commit:
            return runCommit();
        case StatementClass::Rollback:
            return runRollback();
        case StatementClass::Savepoint:
        case StatementClass::Release:
        case StatementClass::RollbackTo:
            return runSavepoint();
        case StatementClass::SetTransaction:
            return runSetTransaction();
        case StatementClass::Set:
        case StatementClass::Reset:
        case StatementClass::ResetAll:
            return runSet();
        case StatementClass::Show:
            return runShow();
        case StatementClass::Discard:
            return runDiscard();
        case StatementClass::Deallocate:
            return finish(QueryOutcome::completed("DEALLOCATE"));
        case StatementClass::Unsupported:
            return fail(sqlstate::kFeatureNotSupported,
                        _running->statement->command + " is not supported by the stand-in");
    }
}

bool SqlSession::needsLock(const AnalyzedStatement& statement) {
    return statement.locksRows || statement.kind == StatementClass::Modify ||
           statement.kind == StatementClass::DataDefinition ||
           statement.kind == StatementClass::Lock;
}

ServedKind SqlSession::servedKind(const AnalyzedStatement& statement) {
    if (needsLock(statement)) {
        return ServedKind::Write;
    }
    if (statement.kind == StatementClass::Query) {
        return statement.readsTables ? ServedKind::Read : ServedKind::Status;
    }
    return statement.kind == StatementClass::Sleep ? ServedKind::Status : ServedKind::Control;
}

std::optional<SqlError> SqlSession::refusalOfWrite(const AnalyzedStatement& statement) const {
    if (!_host.state().isInRecovery() && !_readOnly) {
        return std::nullopt;
    }
    return QueryOutcome::failure(
               sqlstate::kReadOnlyTransaction,
               "cannot execute " + statement.command + " in a read-only transaction")
        .error;
}

void SqlSession::runQuery() {
    const AnalyzedStatement& statement = *_running->statement;
    if (_block == Block::None) {
        openBlock(Block::Implicit);
    }
    if (needsLock(statement)) {
        if (auto refusal = refusalOfWrite(statement)) {
            return fail(refusal->sqlState.c_str(), refusal->message);
        }
    }
    enterSlot();
}

void SqlSession::enterSlot() {
    const ServedKind kind = servedKind(*_running->statement);
    const bool isCharged = kind == ServedKind::Read || kind == ServedKind::Write;
    const bool isPrepaid = _serviceTimeAhead == Duration::zero();
    if (!isCharged || isPrepaid) {
        return lockThenExecute();
    }
    const Duration occupied = _serviceTimeAhead > Duration::zero()
                                  ? std::exchange(_serviceTimeAhead, Duration::zero())
                                  : serviceTime(*_running->statement);
    _slot = _host.executionSlots().nextTicket();
    _host.executionSlots().enter(*_slot, occupied, [this] {
        _slot.reset();
        lockThenExecute();
    });
}

Duration SqlSession::serviceTime(const AnalyzedStatement& statement) const {
    switch (servedKind(statement)) {
        case ServedKind::Read:
            return _host.limits().readServiceTime;
        case ServedKind::Write:
            return _host.limits().writeServiceTime;
        default:
            return Duration::zero();
    }
}

void SqlSession::lockThenExecute() {
    if (_write || !needsLock(*_running->statement)) {
        return execute();
    }
    if (_running->statement->failsIfLocked && _host.writeLock().isHeld()) {
        return fail(sqlstate::kLockNotAvailable, "could not obtain lock");
    }
    if (const int timeout = _variables.milliseconds("lock_timeout"); timeout > 0) {
        _lockTimeout = _host.timers().schedule(std::chrono::milliseconds(timeout), [this] {
            _lockTimeout.reset();
            fail(sqlstate::kLockNotAvailable, "canceling statement due to lock timeout");
        });
    }
    const LockToken token = _host.writeLock().nextToken();
    _lockRequest = token;
    _host.writeLock().acquire(token, [this, token] {
        _lockRequest.reset();
        if (_host.state().isInRecovery()) {
            // The server was replaced while the statement waited.
            _host.writeLock().release(token);
            const SqlError refusal = *refusalOfWrite(*_running->statement);
            return fail(refusal.sqlState.c_str(), refusal.message);
        }
        _write = std::make_unique<WriteTransaction>(_host, token, _savepoints);
        execute();
    });
}

void SqlSession::execute() {
    const StatementPointer statement = _running->statement;
    if (statement->kind == StatementClass::Lock) {
        return finish(QueryOutcome::completed(statement->command));
    }
    ExecutionContext context = makeContext();
    if (_write) {
        return finish(_write->execute(statement, _running->parameters, context));
    }
    context.random.seed(_host.nextRandom());
    finish(_host.storage().committed().execute(*statement, _running->parameters, context));
}

ExecutionContext SqlSession::makeContext() {
    ExecutionContext context;
    context.server = &_host.state();
    context.session = this;
    context.nowMicroseconds = _nowMicroseconds;
    return context;
}

void SqlSession::openBlock(Block block) {
    _block = block;
    _nowMicroseconds = currentMicroseconds();
    _readOnly = _variables.get("default_transaction_read_only") == "on";
}

void SqlSession::closeBlock(bool committed) {
    _write.reset();
    _savepoints.clear();
    _variables.endTransaction(committed);
    _block = Block::None;
    _readOnly = false;
}

void SqlSession::commitWork(const std::string& commandTag) {
    std::optional<LogPosition> position;
    if (_write) {
        position = _write->commit(_nowMicroseconds);
    }
    const bool losesAnswer = position && _host.takeAnswerLoss();
    closeBlock(true);
    QueryOutcome outcome = QueryOutcome::completed(commandTag);
    outcome.breaksConnection = losesAnswer;
    if (!position || losesAnswer || _host.mayAnswerCommit(*position)) {
        return finish(std::move(outcome));
    }
    _commitTag = commandTag;
    _commitWait = _host.awaitCommit(*position, [this, outcome] {
        _commitWait.reset();
        finish(outcome);
    });
}

void SqlSession::endImplicit(Done done) {
    _running = Running{nullptr, {}, std::move(done)};
    if (_block == Block::Implicit) {
        return commitWork("");
    }
    finish({});
}

void SqlSession::abortTransaction() {
    if (_block == Block::Implicit) {
        closeBlock(false);
    } else if (_block == Block::Explicit) {
        _block = Block::Failed;
        // Without a savepoint to return to, nothing of the transaction can survive.
        if (_savepoints.empty()) {
            _write.reset();
        }
    }
}

void SqlSession::cancel() {
    if (!_running) {
        return;
    }
    if (_commitWait) {
        // The commit has happened here; only the wait for the others ends.
        QueryOutcome outcome = QueryOutcome::completed(_commitTag);
        outcome.notice.emplace();
        outcome.notice->severity = pgwire::Severity::Warning;
        outcome.notice->sqlState = "01000";
        outcome.notice->message = "canceling wait for synchronous replication due to user request";
        return finish(std::move(outcome));
    }
    fail(sqlstate::kQueryCancelled, kCancelMessage);
}

bool SqlSession::refuses(const AnalyzedStatement& statement) const {
    return _block == Block::Failed && statement.kind != StatementClass::Commit &&
           statement.kind != StatementClass::Rollback &&
           statement.kind != StatementClass::RollbackTo;
}

Duration SqlSession::idleInTransactionTimeout() const {
    return std::chrono::milliseconds(
        _variables.milliseconds("idle_in_transaction_session_timeout"));
}

contract::TransactionStatus SqlSession::status() const {
    if (_block == Block::Failed) {
        return contract::TransactionStatus::Failed;
    }
    return _block == Block::Explicit ? contract::TransactionStatus::InTransaction
                                     : contract::TransactionStatus::Idle;
}

TypeOid SqlSession::resolveType(const ExpressionType& type, const AnalyzedStatement& statement) {
    if (type.type != TypeOid::Unspecified) {
        return type.type;
    }
    SqliteDatabase& database = _write ? _host.storage().working() : _host.storage().committed();
    const TypeOid resolved = database.columnType(statement.relations, type.column);
    return resolved == TypeOid::Unspecified ? TypeOid::Text : resolved;
}

void SqlSession::startTimers() {
    const int timeout = _variables.milliseconds("statement_timeout");
    if (timeout <= 0) {
        return;
    }
    _statementTimeout = _host.timers().schedule(std::chrono::milliseconds(timeout), [this] {
        _statementTimeout.reset();
        fail(sqlstate::kQueryCancelled, "canceling statement due to statement timeout");
    });
}

void SqlSession::stopWaiting() {
    for (std::optional<TimerId>* timer : {&_sleep, &_statementTimeout, &_lockTimeout}) {
        if (*timer) {
            _host.timers().cancel(**timer);
            timer->reset();
        }
    }
    if (_slot) {
        _host.executionSlots().cancel(*std::exchange(_slot, std::nullopt));
    }
    if (_lockRequest) {
        _host.writeLock().release(*std::exchange(_lockRequest, std::nullopt));
    }
    if (_commitWait) {
        _host.cancelAwait(*std::exchange(_commitWait, std::nullopt));
    }
}

void SqlSession::fail(const char* sqlState, const std::string& message) {
    finish(QueryOutcome::failure(sqlState, message));
}

void SqlSession::finish(QueryOutcome outcome) {
    Running finished = std::move(*_running);
    _running.reset();
    stopWaiting();
    if (outcome.error) {
        abortTransaction();
    }
    finished.done(std::move(outcome));
}

}  // namespace coralhoist::lab::database
