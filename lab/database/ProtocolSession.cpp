#include "lab/database/ProtocolSession.h"

#include <utility>

#include "lab/database/ValueCodec.h"

namespace coralhoist::lab::database {
namespace {

using contract::ValueFormat;
using pgwire::TypeOid;

constexpr std::size_t kFlushBytes = 64UL * 1024;

}  // namespace

ProtocolSession::ProtocolSession(ProtocolPeer& peer, SessionHost& host, std::int32_t processId,
                                 SessionVariables variables)
    : _peer(peer), _host(host), _session(host, processId, std::move(variables)) {}

ProtocolSession::~ProtocolSession() {
    stopWatchingIdleness();
}

void ProtocolSession::enqueue(pgwire::FrontendMessage message) {
    stopWatchingIdleness();
    _queue.emplace_back(std::move(message));
}

void ProtocolSession::pump() {
    if (_pumping) {
        return;
    }
    _pumping = true;
    while (!_busy && !_ended && !_queue.empty() && _peer.acceptsWork()) {
        WorkItem item = std::move(_queue.front());
        _queue.pop_front();
        handle(std::move(item));
    }
    _pumping = false;
    if (_queue.empty()) {
        _peer.onDrained();
    }
}

void ProtocolSession::endWork() {
    _busy = false;
    pump();
}

bool ProtocolSession::isIdle() const {
    return !_busy && _queue.empty() && _session.status() == contract::TransactionStatus::Idle;
}

void ProtocolSession::terminate(const SqlError& error) {
    if (_ended) {
        return;
    }
    _ended = true;
    _writer.errorResponse(error);
    flush();
    _peer.finish();
}

void ProtocolSession::handle(WorkItem item) {
    if (auto* message = std::get_if<pgwire::FrontendMessage>(&item)) {
        return handleMessage(std::move(*message));
    }
    if (const auto* simple = std::get_if<SimpleStatement>(&item)) {
        return handleSimple(*simple);
    }
    startWork();
    _session.endImplicit([this](const QueryOutcome& outcome) {
        if (outcome.breaksConnection) {
            _ended = true;
            return _peer.abort();
        }
        readyForQuery();
        endWork();
    });
}

void ProtocolSession::handleMessage(pgwire::FrontendMessage message) {
    if (std::holds_alternative<pgwire::Terminate>(message)) {
        _ended = true;
        return _peer.finish();
    }
    if (std::holds_alternative<pgwire::Sync>(message)) {
        return handleSync();
    }
    if (_skipUntilSync) {
        return;
    }
    if (const auto* query = std::get_if<pgwire::Query>(&message)) {
        handleQuery(*query);
    } else if (const auto* parse = std::get_if<pgwire::Parse>(&message)) {
        handleParse(*parse);
    } else if (auto* bind = std::get_if<pgwire::Bind>(&message)) {
        handleBind(std::move(*bind));
    } else if (const auto* describe = std::get_if<pgwire::Describe>(&message)) {
        handleDescribe(*describe);
    } else if (const auto* execute = std::get_if<pgwire::Execute>(&message)) {
        handleExecute(*execute);
    } else if (const auto* close = std::get_if<pgwire::Close>(&message)) {
        handleClose(*close);
    } else if (std::holds_alternative<pgwire::Flush>(message)) {
        flush();
    } else if (std::holds_alternative<pgwire::FunctionCall>(message)) {
        failExtended(sqlstate::kFeatureNotSupported, "function calls are not supported");
    }
}

void ProtocolSession::handleQuery(const pgwire::Query& query) {
    _portals.erase("");
    const std::shared_ptr<const Analysis> analysis = _host.analyzer().analyze(query.sql);
    if (analysis->error) {
        _session.abortTransaction();
        _writer.errorResponse(*analysis->error);
        return readyForQuery();
    }
    if (analysis->statements.empty()) {
        _writer.emptyQueryResponse();
        return readyForQuery();
    }
    _queue.emplace_front(SimpleEnd{});
    bool isLast = true;
    for (auto next = analysis->statements.rbegin(); next != analysis->statements.rend(); ++next) {
        _queue.emplace_front(SimpleStatement{*next, isLast});
        isLast = false;
    }
}

void ProtocolSession::handleSimple(const SimpleStatement& simple) {
    startWork();
    prepayBatch(*simple.statement);
    _session.run(simple.statement, {}, [this, simple](QueryOutcome outcome) {
        if (outcome.error) {
            return finishSimple(std::move(outcome));
        }
        afterStatement(*simple.statement, outcome);
        if (!simple.isLast) {
            return finishSimple(std::move(outcome));
        }
        // As in PostgreSQL, the last statement is answered after its implicit transaction.
        _session.endImplicit([this, outcome = std::move(outcome)](const QueryOutcome& end) mutable {
            outcome.breaksConnection = outcome.breaksConnection || end.breaksConnection;
            if (!outcome.notice) {
                outcome.notice = end.notice;
            }
            finishSimple(std::move(outcome));
        });
    });
}

void ProtocolSession::finishSimple(QueryOutcome outcome) {
    if (outcome.breaksConnection) {
        _ended = true;
        return _peer.abort();
    }
    if (outcome.notice) {
        _writer.noticeResponse(*outcome.notice);
    }
    const pgwire::Bind allText;
    if (!outcome.error && outcome.returnsRows) {
        writeColumns(outcome.columns, allText);
        for (const std::vector<SqlValue>& row : outcome.rows) {
            // Text encoding fails for no value.
            (void)writeRow(row, outcome.columns, allText);
            flushIfLarge();
        }
    }
    if (outcome.error) {
        _writer.errorResponse(*outcome.error);
        while (!_queue.empty() && !std::holds_alternative<SimpleEnd>(_queue.front())) {
            _queue.pop_front();
        }
    } else {
        _writer.commandComplete(outcome.commandTag);
    }
    endWork();
}

void ProtocolSession::afterStatement(const AnalyzedStatement& statement,
                                     const QueryOutcome& outcome) {
    (void)outcome;
    if (statement.kind == StatementClass::Discard) {
        _prepared.clear();
        _portals.clear();
    } else if (statement.kind == StatementClass::Deallocate && statement.name.empty()) {
        _prepared.clear();
    } else if (statement.kind == StatementClass::Deallocate) {
        _prepared.erase(statement.name);
    } else if (statement.kind == StatementClass::Set && statement.name == "application_name") {
        _writer.parameterStatus("application_name", statement.value);
    }
}

bool ProtocolSession::writeRow(const std::vector<SqlValue>& row,
                               const std::vector<ResultColumn>& columns,
                               const pgwire::Bind& formats) {
    std::vector<std::optional<std::string>> encoded;
    encoded.reserve(row.size());
    for (std::size_t index = 0; index < row.size(); ++index) {
        EncodedValue value =
            encodeValue(row[index], columns[index].type, formats.resultFormat(index));
        if (const auto* error = std::get_if<SqlError>(&value)) {
            failExtended(*error);
            return false;
        }
        encoded.push_back(std::move(std::get<std::optional<std::string>>(value)));
    }
    std::vector<pgwire::ColumnValue> values(encoded.begin(), encoded.end());
    _writer.dataRow(values);
    return true;
}

void ProtocolSession::writeColumns(const std::vector<ResultColumn>& columns,
                                   const pgwire::Bind& formats) {
    std::vector<pgwire::ColumnDescription> descriptions;
    for (std::size_t index = 0; index < columns.size(); ++index) {
        pgwire::ColumnDescription& description = descriptions.emplace_back();
        description.name = columns[index].name;
        description.typeOid = static_cast<std::uint32_t>(columns[index].type);
        description.typeSize = sizeOfType(columns[index].type);
        description.format = formats.resultFormat(index);
    }
    _writer.rowDescription(descriptions);
}

void ProtocolSession::readyForQuery() {
    _isPrepaid = false;
    _session.prepay(Duration(-1));
    _writer.readyForQuery(_session.status());
    flush();
    watchIdleness();
}

void ProtocolSession::watchIdleness() {
    const Duration limit = _session.idleInTransactionTimeout();
    if (limit <= Duration::zero() || !_queue.empty() ||
        _session.status() == contract::TransactionStatus::Idle) {
        return;
    }
    _idleTimeout = _host.timers().schedule(limit, [this] {
        _idleTimeout.reset();
        SqlError error;
        error.severity = pgwire::Severity::Fatal;
        error.sqlState = sqlstate::kIdleInTransactionTimeout;
        error.message = "terminating connection due to idle-in-transaction timeout";
        terminate(error);
    });
}

void ProtocolSession::stopWatchingIdleness() {
    if (_idleTimeout) {
        _host.timers().cancel(*std::exchange(_idleTimeout, std::nullopt));
    }
}

void ProtocolSession::flush() {
    if (!_writer.bytes().empty()) {
        _peer.send(_writer.take());
    }
}

void ProtocolSession::flushIfLarge() {
    if (_writer.bytes().size() >= kFlushBytes) {
        flush();
    }
}

}  // namespace coralhoist::lab::database
