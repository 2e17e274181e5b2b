#include "link/caller/StatementPlanner.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/Error.h"
#include "link/caller/SessionToken.h"

namespace coralhoist::caller {
namespace {

using contract::StatementKind;

constexpr std::string_view kProxyPrefix = "coralhoist.";
constexpr const char* kTokenParameter = "coralhoist.session_token";
constexpr const char* kRequestKeyParameter = "coralhoist.request_key";
constexpr std::size_t kLongestRequestKey = 200;

constexpr const char* kFeatureNotSupported = "0A000";
constexpr const char* kInvalidParameterValue = "22023";
constexpr const char* kActiveTransaction = "25001";
constexpr const char* kNoActiveTransaction = "25P01";
constexpr const char* kFailedTransaction = "25P02";
constexpr const char* kInvalidStatementName = "26000";
constexpr const char* kUndefinedObject = "42704";
constexpr const char* kConfigurationLimit = "53400";

bool isProxyParameter(const std::string& name) {
    return name.starts_with(kProxyPrefix);
}

bool endsTransaction(StatementKind kind) {
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

bool isRollbackTo(const ClassifiedStatement& statement) {
    const auto* savepoint = std::get_if<SavepointCommand>(&statement.command);
    return savepoint != nullptr && savepoint->action == SavepointCommand::Action::RollbackTo;
}

bool isValidRequestKey(const std::string& key) {
    return !key.empty() && key.size() <= kLongestRequestKey;
}

pgwire::ResponseFields invalidRequestKey() {
    return notRun(kInvalidParameterValue,
                  "request key must have 1 to " + std::to_string(kLongestRequestKey) + " bytes");
}

LocalAnswer tagged(std::string commandTag) {
    LocalAnswer answer;
    answer.commandTag = std::move(commandTag);
    return answer;
}

LocalAnswer shown(const std::string& column, std::string value) {
    LocalAnswer answer;
    answer.column = column;
    answer.value = std::move(value);
    answer.commandTag = "SHOW";
    return answer;
}

StepPlan asStep(const ClassifiedStatement& statement) {
    return {statement.kind, statement.sql, statement.changesSession};
}

}  // namespace

pgwire::ResponseFields notRun(std::string sqlState, std::string message, std::string hint) {
    pgwire::ResponseFields fields;
    fields.sqlState = std::move(sqlState);
    fields.message = std::move(message);
    fields.detail = "The request did not run.";
    fields.hint = std::move(hint);
    return fields;
}

/** SET takes effect at the session at once only where no earlier step could still see it. */
bool StatementPlanner::changesLater(const PendingBatch& pending) const {
    return pending.inTransaction || pending.reply.hasSteps() || _state.transaction.has_value();
}

StatementPlan StatementPlanner::plan(const ClassifiedStatement& statement,
                                     const PendingBatch& pending) {
    if (statement.kind == StatementKind::Unsupported) {
        return notRun(kFeatureNotSupported, statement.refusal);
    }
    if (_state.failedLocally && pending.inTransaction) {
        if (statement.kind == StatementKind::Commit) {
            return StepPlan{StatementKind::Rollback, "ROLLBACK", false};
        }
        if (!endsTransaction(statement.kind) && !isRollbackTo(statement)) {
            return notRun(kFailedTransaction,
                          "current transaction is aborted, commands ignored until end of "
                          "transaction block");
        }
    }
    return planCommand(statement, pending);
}

StatementPlan StatementPlanner::planCommand(const ClassifiedStatement& statement,
                                            const PendingBatch& pending) {
    if (const auto* set = std::get_if<SetParameter>(&statement.command)) {
        return planSet(statement, *set, pending);
    }
    if (const auto* show = std::get_if<ShowParameter>(&statement.command)) {
        if (const auto value = shownValue(show->name, pending)) {
            return shown(show->name, *value);
        }
        if (isProxyParameter(show->name)) {
            return notRun(kUndefinedObject,
                          "unrecognized configuration parameter \"" + show->name + "\"");
        }
    }
    if (std::holds_alternative<ResetAllParameters>(statement.command) && !changesLater(pending)) {
        _state.parameters.resetAll();
        return tagged("RESET");
    }
    if (const auto* deallocate = std::get_if<DeallocateStatement>(&statement.command)) {
        return planDeallocate(*deallocate, pending);
    }
    if (std::holds_alternative<DiscardAll>(statement.command)) {
        return planDiscardAll(pending);
    }
    if (const auto* nothing = std::get_if<NoOperation>(&statement.command)) {
        return tagged(nothing->commandTag);
    }
    return asStep(statement);
}

StatementPlan StatementPlanner::planSet(const ClassifiedStatement& statement,
                                        const SetParameter& command, const PendingBatch& pending) {
    if (isProxyParameter(command.name)) {
        return setProxyParameter(command);
    }
    const bool later = changesLater(pending);
    if (command.isLocal) {
        if (later) {
            return asStep(statement);
        }
        LocalAnswer answer = tagged("SET");
        answer.notice =
            pgwire::ResponseFields{pgwire::Severity::Warning, kNoActiveTransaction,
                                   "SET LOCAL can only be used in transaction blocks", "", ""};
        return answer;
    }
    const Status status = SessionParameters::check(command.name, command.value);
    if (!status.isOk()) {
        const bool unsupported = status.code() == ErrorCode::Unsupported;
        return notRun(unsupported ? kFeatureNotSupported : kInvalidParameterValue,
                      status.message());
    }
    const std::size_t size = command.name.size() + (command.value ? command.value->size() : 0);
    if (_state.parameters.bytes() + size > SessionParameters::kLargestBytes) {
        return notRun(kConfigurationLimit, "too many session parameters");
    }
    if (later) {
        return asStep(statement);
    }
    _state.parameters.set(command.name, command.value);
    return tagged(command.value ? "SET" : "RESET");
}

StatementPlan StatementPlanner::setProxyParameter(const SetParameter& command) {
    const std::string value = command.value.value_or("");
    if (command.name == kTokenParameter) {
        if (value.empty()) {
            _state.presentedToken.reset();
            return tagged("SET");
        }
        if (auto refusal = takeToken(value, _state.presentedToken)) {
            return *std::move(refusal);
        }
        return tagged("SET");
    }
    if (command.name != kRequestKeyParameter) {
        return notRun(kUndefinedObject,
                      "unrecognized configuration parameter \"" + command.name + "\"");
    }
    if (!value.empty() && !isValidRequestKey(value)) {
        return invalidRequestKey();
    }
    _state.requestKey = value.empty() ? std::nullopt : std::optional(value);
    return tagged("SET");
}

StatementPlan StatementPlanner::planDeallocate(const DeallocateStatement& command,
                                               const PendingBatch& pending) {
    if (!command.name) {
        _state.prepared.eraseAll(pending.reply.size());
        return tagged("DEALLOCATE ALL");
    }
    if (!_state.prepared.find(*command.name)) {
        return notRun(kInvalidStatementName,
                      "prepared statement \"" + *command.name + "\" does not exist");
    }
    _state.prepared.erase(*command.name, pending.reply.size());
    return tagged("DEALLOCATE");
}

StatementPlan StatementPlanner::planDiscardAll(const PendingBatch& pending) {
    if (changesLater(pending)) {
        return notRun(kActiveTransaction, "DISCARD ALL cannot run inside a transaction block");
    }
    _state.parameters.resetAll();
    _state.prepared.eraseAll(pending.reply.size());
    _state.requestKey.reset();
    return tagged("DISCARD ALL");
}

std::optional<pgwire::ResponseFields> StatementPlanner::takeToken(const std::string& text,
                                                                  std::optional<OpTime>& target) {
    const StatusWith<SessionToken> token = SessionToken::fromText(text);
    if (!token.isOk()) {
        ++_context.statistics.tokensRefused;
        return notRun(kInvalidParameterValue, token.status().message());
    }
    if (token.value().group != _state.group) {
        ++_context.statistics.tokensRefused;
        return notRun(kInvalidParameterValue, "session token belongs to group \"" +
                                                  token.value().group.value() + "\", not to \"" +
                                                  _state.group.value() + "\"");
    }
    target = std::max(target.value_or(OpTime{}), token.value().opTime);
    return std::nullopt;
}

std::optional<pgwire::ResponseFields> StatementPlanner::applyTag(const TaggedStatement& text,
                                                                 PendingBatch& pending) {
    if (text.sessionToken) {
        if (auto refusal = takeToken(*text.sessionToken, pending.presentedToken)) {
            return refusal;
        }
    }
    if (!text.requestKey) {
        return std::nullopt;
    }
    if (!isValidRequestKey(*text.requestKey)) {
        return invalidRequestKey();
    }
    if (_state.transaction && _state.transactionKey != text.requestKey) {
        return notRun(kInvalidParameterValue,
                      "the request key of a transaction comes with its BEGIN");
    }
    if (pending.requestKey && pending.requestKey != text.requestKey) {
        return notRun(kInvalidParameterValue, "one batch carries two request keys");
    }
    pending.requestKey = text.requestKey;
    return std::nullopt;
}

std::optional<std::string> StatementPlanner::shownValue(const std::string& name,
                                                        const PendingBatch& pending) const {
    if (name == kTokenParameter) {
        const auto newest = std::max(_state.token, _state.presentedToken);
        return newest ? SessionToken{_state.group, *newest}.toText() : std::string();
    }
    if (name == kRequestKeyParameter) {
        return _state.requestKey.value_or("");
    }
    if (changesLater(pending)) {
        return std::nullopt;
    }
    if (name == "server_version") {
        return _context.serverVersion;
    }
    if (name == "client_encoding" || name == "server_encoding") {
        return "UTF8";
    }
    if (name == "transaction_read_only" || name == "in_hot_standby") {
        return "off";
    }
    return _state.parameters.value(name);
}

std::optional<LocalAnswer> StatementPlanner::describe(const ClassifiedStatement& statement,
                                                      const PendingBatch& pending) const {
    if (const auto* show = std::get_if<ShowParameter>(&statement.command)) {
        if (shownValue(show->name, pending) || isProxyParameter(show->name)) {
            return shown(show->name, {});
        }
        return std::nullopt;
    }
    const bool command = !std::holds_alternative<std::monostate>(statement.command);
    const bool control =
        statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly ||
        statement.kind == StatementKind::Unsupported || endsTransaction(statement.kind);
    if (command || control) {
        return LocalAnswer{};
    }
    return std::nullopt;
}

void StatementPlanner::follow(const ClassifiedStatement& statement, const StepPlan& step,
                              PendingBatch& pending) {
    if (!pending.sessionParameters) {
        pending.sessionParameters = _state.parameters.all();
    }
    pending.writes = pending.writes || step.kind == StatementKind::Write;
    if (step.kind == StatementKind::Begin || step.kind == StatementKind::BeginReadOnly) {
        pending.begins = pending.begins || step.kind == StatementKind::Begin;
        pending.inTransaction = true;
    } else if (step.kind == StatementKind::Rollback) {
        pending.inTransaction = false;
        _state.parameters.rollback();
    } else if (step.kind == StatementKind::Commit) {
        pending.inTransaction = false;
        const bool failed = _state.status == contract::TransactionStatus::Failed;
        failed ? _state.parameters.rollback() : _state.parameters.commit();
    }
    if (const auto* savepoint = std::get_if<SavepointCommand>(&statement.command)) {
        pending.rollsBackToSavepoint = pending.rollsBackToSavepoint || isRollbackTo(statement);
        _state.parameters.applySavepoint(*savepoint);
    } else if (const auto* set = std::get_if<SetParameter>(&statement.command)) {
        if (!set->isLocal) {
            _state.parameters.set(set->name, set->value);
        }
    } else if (std::holds_alternative<ResetAllParameters>(statement.command)) {
        _state.parameters.resetAll();
    }
}

}  // namespace coralhoist::caller
