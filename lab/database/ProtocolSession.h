/** The simple and extended query protocols over a SqlSession. */
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "lab/database/SqlSession.h"
#include "link/pgwire/BackendMessageWriter.h"
#include "link/pgwire/FrontendMessages.h"

namespace coralhoist::lab::database {

/** The connection as its protocol session sees it. */
class ProtocolPeer {
public:
    virtual ~ProtocolPeer() = default;

    /** Sends encoded messages. */
    virtual void send(std::string bytes) = 0;
    /** @return false while the client is slow to read, and once the connection is closing. */
    virtual bool acceptsWork() const = 0;
    /** All messages were handled; more may be read. */
    virtual void onDrained() = 0;
    /** Breaks the connection without another byte. */
    virtual void abort() = 0;
    /** Closes the connection after what was sent. */
    virtual void finish() = 0;
};

/**
 * Handles the messages of one client after start-up, strictly in order. Answers are collected and
 * sent at ReadyForQuery and Flush, or when they have grown large, as PostgreSQL does.
 */
class ProtocolSession {
public:
    ProtocolSession(ProtocolPeer& peer, SessionHost& host, std::int32_t processId,
                    SessionVariables variables);
    ~ProtocolSession();
    ProtocolSession(const ProtocolSession&) = delete;
    ProtocolSession& operator=(const ProtocolSession&) = delete;

    /** Takes the next message of the client. */
    void enqueue(pgwire::FrontendMessage message);

    /** Goes on after the client has read what congested the connection. */
    void pump();

    /** Announces a fatal error; nothing is handled afterwards. */
    void terminate(const SqlError& error);

    void cancel() { _session.cancel(); }
    bool hasUnfinishedWrite() const { return _session.hasUnfinishedWrite(); }
    /** @return whether nothing runs and no transaction is open. */
    bool isIdle() const;
    std::size_t queuedMessages() const { return _queue.size(); }

private:
    /** One statement of a simple query. */
    struct SimpleStatement {
        StatementPointer statement;
        bool isLast = false;
    };
    /** The end of a simple query: commits and reports readiness. */
    struct SimpleEnd {};
    using WorkItem = std::variant<pgwire::FrontendMessage, SimpleStatement, SimpleEnd>;

    struct PreparedStatement {
        /** Null for an empty query string. */
        StatementPointer statement;
        std::vector<pgwire::TypeOid> parameterTypes;
    };
    struct Portal {
        StatementPointer statement;
        std::vector<SqlValue> parameters;
        pgwire::Bind formats;
        std::optional<QueryOutcome> outcome;
        std::size_t nextRow = 0;
    };

    void handle(WorkItem item);
    void handleMessage(pgwire::FrontendMessage message);
    void handleQuery(const pgwire::Query& query);
    void handleSimple(const SimpleStatement& simple);
    void handleParse(const pgwire::Parse& parse);
    void handleBind(pgwire::Bind bind);
    void handleDescribe(const pgwire::Describe& describe);
    void handleExecute(const pgwire::Execute& execute);
    void handleClose(const pgwire::Close& close);
    void handleSync();

    void describeStatement(const PreparedStatement& prepared);
    void describePortal(const Portal& portal);
    void finishExecute(const std::string& portalName, std::int32_t maxRows, QueryOutcome outcome);
    void sendPortalRows(Portal& portal, std::int32_t maxRows);
    void finishSimple(QueryOutcome outcome);
    void afterStatement(const AnalyzedStatement& statement, const QueryOutcome& outcome);
    void startWork() { _busy = true; }
    void endWork();
    void prepayBatch(const AnalyzedStatement& first);
    std::vector<StatementPointer> upcomingStatements() const;

    /** Encodes a row; false after it has failed the query instead. */
    bool writeRow(const std::vector<SqlValue>& row, const std::vector<ResultColumn>& columns,
                  const pgwire::Bind& formats);
    void writeColumns(const std::vector<ResultColumn>& columns, const pgwire::Bind& formats);
    void failExtended(const char* sqlState, const std::string& message);
    void failExtended(const SqlError& error);
    void readyForQuery();
    void watchIdleness();
    void stopWatchingIdleness();
    void flush();
    void flushIfLarge();

    ProtocolPeer& _peer;
    SessionHost& _host;
    SqlSession _session;
    pgwire::BackendMessageWriter _writer;
    std::deque<WorkItem> _queue;
    std::unordered_map<std::string, PreparedStatement> _prepared;
    std::unordered_map<std::string, Portal> _portals;
    std::optional<TimerId> _idleTimeout;
    bool _pumping = false;
    bool _busy = false;
    bool _skipUntilSync = false;
    bool _ended = false;
    /** The time of service of the current batch was charged. */
    bool _isPrepaid = false;
};

}  // namespace coralhoist::lab::database
