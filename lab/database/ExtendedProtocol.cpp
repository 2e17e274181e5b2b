/** The extended-query messages of ProtocolSession. */
#include <algorithm>
#include <utility>

#include "lab/database/ProtocolSession.h"
#include "lab/database/ValueCodec.h"

namespace coralhoist::lab::database {
namespace {

using pgwire::TypeOid;

constexpr const char* kTransactionAborted =
    "current transaction is aborted, commands ignored until end of transaction block";

}  // namespace

void ProtocolSession::failExtended(const char* sqlState, const std::string& message) {
    SqlError error;
    error.sqlState = sqlState;
    error.message = message;
    failExtended(error);
}

void ProtocolSession::failExtended(const SqlError& error) {
    _session.abortTransaction();
    _writer.errorResponse(error);
    _skipUntilSync = true;
}

void ProtocolSession::handleParse(const pgwire::Parse& parse) {
    if (!parse.statement.empty() && _prepared.contains(parse.statement)) {
        return failExtended(sqlstate::kDuplicateStatement,
                            "prepared statement \"" + parse.statement + "\" already exists");
    }
    const std::shared_ptr<const Analysis> analysis = _host.analyzer().analyze(parse.sql);
    if (analysis->error) {
        return failExtended(*analysis->error);
    }
    if (analysis->statements.size() > 1) {
        return failExtended(sqlstate::kSyntaxError,
                            "cannot insert multiple commands into a prepared statement");
    }
    PreparedStatement prepared;
    if (!analysis->statements.empty()) {
        prepared.statement = analysis->statements.front();
        if (_session.refuses(*prepared.statement)) {
            return failExtended(sqlstate::kInFailedTransaction, kTransactionAborted);
        }
        if (const auto error = _session.describe(*prepared.statement).error) {
            return failExtended(*error);
        }
    }
    for (const std::uint32_t type : parse.parameterTypes) {
        prepared.parameterTypes.push_back(static_cast<TypeOid>(type));
    }
    if (prepared.statement) {
        const auto& inferred = prepared.statement->parameterTypes;
        prepared.parameterTypes.resize(std::max(inferred.size(), prepared.parameterTypes.size()));
        for (std::size_t index = 0; index < inferred.size(); ++index) {
            TypeOid& type = prepared.parameterTypes[index];
            if (type == TypeOid::Unspecified || type == TypeOid::Unknown) {
                type = _session.resolveType(inferred[index], *prepared.statement);
            }
        }
    }
    _prepared[parse.statement] = std::move(prepared);
    _writer.parseComplete();
}

void ProtocolSession::handleBind(pgwire::Bind bind) {
    const auto found = _prepared.find(bind.statement);
    if (found == _prepared.end()) {
        return failExtended(sqlstate::kInvalidStatementName,
                            "prepared statement \"" + bind.statement + "\" does not exist");
    }
    const PreparedStatement& prepared = found->second;
    if (bind.parameters.size() != prepared.parameterTypes.size()) {
        return failExtended(sqlstate::kProtocolViolation,
                            "bind message supplies " + std::to_string(bind.parameters.size()) +
                                " parameters, but prepared statement requires " +
                                std::to_string(prepared.parameterTypes.size()));
    }
    if (prepared.statement && _session.refuses(*prepared.statement)) {
        return failExtended(sqlstate::kInFailedTransaction, kTransactionAborted);
    }
    Portal portal;
    portal.statement = prepared.statement;
    for (std::size_t index = 0; index < bind.parameters.size(); ++index) {
        DecodedParameter decoded =
            decodeParameter(bind.parameters[index], prepared.parameterTypes[index]);
        if (const auto* error = std::get_if<SqlError>(&decoded)) {
            return failExtended(*error);
        }
        portal.parameters.push_back(std::move(std::get<SqlValue>(decoded)));
    }
    bind.parameters.clear();
    const std::string name = bind.portal;
    portal.formats = std::move(bind);
    _portals[name] = std::move(portal);
    _writer.bindComplete();
}

void ProtocolSession::handleDescribe(const pgwire::Describe& describe) {
    if (describe.kind == pgwire::TargetKind::Statement) {
        const auto found = _prepared.find(describe.name);
        if (found == _prepared.end()) {
            return failExtended(sqlstate::kInvalidStatementName,
                                "prepared statement \"" + describe.name + "\" does not exist");
        }
        return describeStatement(found->second);
    }
    const auto found = _portals.find(describe.name);
    if (found == _portals.end()) {
        return failExtended(sqlstate::kInvalidCursorName,
                            "portal \"" + describe.name + "\" does not exist");
    }
    describePortal(found->second);
}

void ProtocolSession::describeStatement(const PreparedStatement& prepared) {
    std::vector<std::uint32_t> types;
    for (const TypeOid type : prepared.parameterTypes) {
        types.push_back(static_cast<std::uint32_t>(type));
    }
    _writer.parameterDescription(types);
    Portal portal;
    portal.statement = prepared.statement;
    describePortal(portal);
}

void ProtocolSession::describePortal(const Portal& portal) {
    QueryOutcome outcome;
    if (portal.statement) {
        outcome = _session.describe(*portal.statement);
    }
    if (outcome.error) {
        return failExtended(*outcome.error);
    }
    if (outcome.returnsRows) {
        writeColumns(outcome.columns, portal.formats);
    } else {
        _writer.noData();
    }
}

void ProtocolSession::handleExecute(const pgwire::Execute& execute) {
    const auto found = _portals.find(execute.portal);
    if (found == _portals.end()) {
        return failExtended(sqlstate::kInvalidCursorName,
                            "portal \"" + execute.portal + "\" does not exist");
    }
    Portal& portal = found->second;
    if (!portal.statement) {
        return _writer.emptyQueryResponse();
    }
    if (portal.outcome) {
        return sendPortalRows(portal, execute.maxRows);
    }
    startWork();
    prepayBatch(*portal.statement);
    _session.run(portal.statement, portal.parameters, [this, execute](QueryOutcome outcome) {
        finishExecute(execute.portal, execute.maxRows, std::move(outcome));
    });
}

void ProtocolSession::finishExecute(const std::string& portalName, std::int32_t maxRows,
                                    QueryOutcome outcome) {
    if (outcome.breaksConnection) {
        _ended = true;
        return _peer.abort();
    }
    if (outcome.notice) {
        _writer.noticeResponse(*outcome.notice);
    }
    if (outcome.error) {
        failExtended(*outcome.error);
        return endWork();
    }
    const auto found = _portals.find(portalName);
    const StatementPointer statement = found->second.statement;
    found->second.outcome = std::move(outcome);
    sendPortalRows(found->second, maxRows);
    afterStatement(*statement, {});
    endWork();
}

void ProtocolSession::sendPortalRows(Portal& portal, std::int32_t maxRows) {
    const QueryOutcome& outcome = *portal.outcome;
    std::size_t end = outcome.rows.size();
    if (maxRows > 0) {
        end = std::min(end, portal.nextRow + static_cast<std::size_t>(maxRows));
    }
    while (portal.nextRow < end) {
        if (!writeRow(outcome.rows[portal.nextRow], outcome.columns, portal.formats)) {
            return;
        }
        ++portal.nextRow;
        flushIfLarge();
    }
    if (end < outcome.rows.size()) {
        _writer.portalSuspended();
    } else {
        _writer.commandComplete(outcome.commandTag);
    }
}

void ProtocolSession::handleClose(const pgwire::Close& close) {
    if (close.kind == pgwire::TargetKind::Statement) {
        _prepared.erase(close.name);
    } else {
        _portals.erase(close.name);
    }
    _writer.closeComplete();
}

void ProtocolSession::handleSync() {
    _skipUntilSync = false;
    startWork();
    _session.endImplicit([this](const QueryOutcome& outcome) {
        if (outcome.breaksConnection) {
            _ended = true;
            return _peer.abort();
        }
        if (_session.status() == contract::TransactionStatus::Idle) {
            _portals.clear();
        }
        readyForQuery();
        endWork();
    });
}

}  // namespace coralhoist::lab::database
