/** Transactions and statements of one connection. */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "contract/Execution.h"
#include "lab/database/SessionHost.h"
#include "lab/database/SessionVariables.h"
#include "lab/database/WriteTransaction.h"

namespace coralhoist::lab::database {

/**
 * Runs statements one at a time. A statement passes up to four waits: for an execution slot, for
 * the write lock, for a pg_sleep, and for the majority that has to receive a commit. All of them
 * end early on cancel, on a timeout, and without a call of Done when the session is destroyed.
 */
class SqlSession final : public SessionState {
public:
    using Done = std::function<void(QueryOutcome)>;

    SqlSession(SessionHost& host, std::int32_t processId, SessionVariables variables);
    ~SqlSession() override;
    SqlSession(const SqlSession&) = delete;
    SqlSession& operator=(const SqlSession&) = delete;

    /**
     * Runs a statement. Outside of a transaction block it opens an implicit transaction.
     * @param done called once, during this call or later.
     */
    void run(StatementPointer statement, std::vector<SqlValue> parameters, Done done);

    /** Commits an implicit transaction, if one is open. */
    void endImplicit(Done done);

    /** An error outside of run happened: aborts the transaction as an error of a statement does. */
    void abortTransaction();

    /** Ends the running statement with 57014, if it still waits. */
    void cancel();

    /** @return names and types of the result columns, or the error of preparing the statement. */
    QueryOutcome describe(const AnalyzedStatement& statement);

    /** @return the type of a parameter. */
    pgwire::TypeOid resolveType(const ExpressionType& type, const AnalyzedStatement& statement);

    /** @return whether the transaction failed and refuses this statement. */
    bool refuses(const AnalyzedStatement& statement) const;

    /** Time of service that was charged in advance for the next statements. */
    void prepay(Duration serviceTime) { _serviceTimeAhead = serviceTime; }

    /** @return how long the client may idle in a transaction; zero for ever. */
    Duration idleInTransactionTimeout() const;

    contract::TransactionStatus status() const;
    /** @return whether a write is open or its commit not yet answered. */
    bool hasUnfinishedWrite() const { return _write != nullptr || _commitWait.has_value(); }

    /** @return how long the statement would occupy an execution slot. */
    Duration serviceTime(const AnalyzedStatement& statement) const;
    /** @return whether the statement needs the write lock. */
    static bool needsLock(const AnalyzedStatement& statement);

    std::int32_t processId() const override { return _processId; }
    std::optional<std::string> setting(const std::string& name) const override;
    void applySetting(const std::string& name, const std::string& value, bool local) override;

private:
    enum class Block { None, Implicit, Explicit, Failed };

    struct Running {
        StatementPointer statement;
        std::vector<SqlValue> parameters;
        Done done;
    };

    void dispatch();
    void runQuery();
    void enterSlot();
    void lockThenExecute();
    void execute();
    void runSleep();
    void runBegin();
    void runCommit();
    void runRollback();
    void runSavepoint();
    void runSetTransaction();
    void runSet();
    void runShow();
    void runDiscard();

    void openBlock(Block block);
    void commitWork(const std::string& commandTag);
    void closeBlock(bool committed);
    std::optional<SqlError> refusalOfWrite(const AnalyzedStatement& statement) const;
    static ServedKind servedKind(const AnalyzedStatement& statement);
    ExecutionContext makeContext();
    std::size_t findSavepoint(const std::string& name) const;
    void startTimers();
    void stopWaiting();
    void fail(const char* sqlState, const std::string& message);
    void finish(QueryOutcome outcome);

    SessionHost& _host;
    std::int32_t _processId;
    SessionVariables _variables;
    Block _block = Block::None;
    bool _readOnly = false;
    std::int64_t _nowMicroseconds = 0;
    std::vector<std::string> _savepoints;
    std::unique_ptr<WriteTransaction> _write;
    Duration _serviceTimeAhead{-1};

    std::optional<Running> _running;
    std::optional<SlotTicket> _slot;
    std::optional<LockToken> _lockRequest;
    std::optional<TimerId> _sleep;
    std::optional<MajorityWaitId> _commitWait;
    std::string _commitTag;
    std::optional<TimerId> _statementTimeout;
    std::optional<TimerId> _lockTimeout;
};

}  // namespace coralhoist::lab::database
