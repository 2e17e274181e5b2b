#include "link/caller/ExtendedQuery.h"

#include <algorithm>
#include <utility>

#include "link/caller/BatchAssembly.h"

namespace coralhoist::caller {
namespace {

using contract::ValueFormat;

constexpr const char* kFeatureNotSupported = "0A000";
constexpr const char* kSyntaxError = "42601";
constexpr const char* kDuplicateStatement = "42P05";
constexpr const char* kDuplicateCursor = "42P03";
constexpr const char* kInvalidStatementName = "26000";
constexpr const char* kInvalidCursorName = "34000";
constexpr const char* kNotInPrerequisiteState = "55000";
constexpr const char* kConfigurationLimit = "53400";

std::string parseCompleteMessage() {
    pgwire::BackendMessageWriter writer;
    writer.parseComplete();
    return writer.take();
}

std::string bindCompleteMessage() {
    pgwire::BackendMessageWriter writer;
    writer.bindComplete();
    return writer.take();
}

std::string closeCompleteMessage() {
    pgwire::BackendMessageWriter writer;
    writer.closeComplete();
    return writer.take();
}

std::string emptyQueryMessage() {
    pgwire::BackendMessageWriter writer;
    writer.emptyQueryResponse();
    return writer.take();
}

std::string localStatementDescription(const LocalAnswer& answer) {
    pgwire::BackendMessageWriter writer;
    writer.parameterDescription({});
    return writer.take() + encodeDescription(answer, ValueFormat::Text);
}

/** @return the one format for all columns, or nothing when they differ. */
std::optional<ValueFormat> commonFormat(const std::vector<ValueFormat>& formats) {
    if (formats.empty()) {
        return ValueFormat::Text;
    }
    const bool same = std::all_of(formats.begin(), formats.end(), [&formats](ValueFormat format) {
        return format == formats.front();
    });
    return same ? std::optional(formats.front()) : std::nullopt;
}

contract::StatementStep stepOf(const PreparedStatement& prepared) {
    contract::StatementStep step;
    step.sql = prepared.text.sql;
    step.parameterTypes = prepared.parameterTypes;
    return step;
}

contract::StatementStep describeStep(const PreparedStatement& prepared) {
    contract::StatementStep step = stepOf(prepared);
    step.action = contract::StepAction::DescribeOnly;
    step.kind = prepared.statement()->kind;
    return step;
}

}  // namespace

ExtendedQuery::Refusal ExtendedQuery::onParse(pgwire::Parse message, PendingBatch& pending) {
    settleDescribe(pending);
    auto prepared = std::make_shared<PreparedStatement>();
    prepared->text = extractTag(std::move(message.sql));
    prepared->parameterTypes = std::move(message.parameterTypes);
    prepared->classification = _context.classifier.classify(prepared->text.sql);
    if (prepared->classification->failure) {
        ++_context.statistics.syntaxErrors;
        return parseFailureResponse(*prepared->classification->failure);
    }
    if (prepared->classification->statements.size() > 1) {
        return notRun(kSyntaxError, "cannot insert multiple commands into a prepared statement");
    }
    if (!message.statement.empty() && _state.prepared.find(message.statement)) {
        return notRun(kDuplicateStatement,
                      "prepared statement \"" + message.statement + "\" already exists");
    }
    const SessionLimits& limits = _context.limits;
    if (!message.statement.empty() &&
        !_state.prepared.hasRoom(prepared->bytes(), limits.preparedStatements,
                                 limits.preparedBytes)) {
        return notRun(kConfigurationLimit, "too many prepared statements");
    }
    _state.prepared.put(message.statement, std::move(prepared), pending.reply.size());
    pending.reply.addLocal(parseCompleteMessage());
    return std::nullopt;
}

ExtendedQuery::Refusal ExtendedQuery::onBind(pgwire::Bind message, PendingBatch& pending) {
    settleDescribe(pending);
    Portal portal;
    portal.statement = _state.prepared.find(message.statement);
    if (!portal.statement) {
        return notRun(kInvalidStatementName,
                      "prepared statement \"" + message.statement + "\" does not exist");
    }
    if (!message.portal.empty() && _state.prepared.findPortal(message.portal) != nullptr) {
        return notRun(kDuplicateCursor, "portal \"" + message.portal + "\" already exists");
    }
    if (_state.prepared.portalCount() >= _context.limits.portals) {
        return notRun(kConfigurationLimit, "too many portals");
    }
    const std::optional<ValueFormat> format = commonFormat(message.resultFormats);
    if (!format) {
        return notRun(kFeatureNotSupported,
                      "different result formats for the columns of one statement are not "
                      "supported; use one format for all");
    }
    portal.resultFormat = *format;
    portal.parameters = std::move(message.parameters);
    for (const contract::ParameterValue& parameter : portal.parameters) {
        pending.bytes += parameter.bytes ? parameter.bytes->size() : 0;
    }
    _state.prepared.putPortal(message.portal, std::move(portal));
    pending.reply.addLocal(bindCompleteMessage());
    return std::nullopt;
}

ExtendedQuery::Refusal ExtendedQuery::onDescribe(const pgwire::Describe& message,
                                                 PendingBatch& pending) {
    settleDescribe(pending);
    return message.kind == pgwire::TargetKind::Statement ? describeStatement(message.name, pending)
                                                         : describePortal(message.name, pending);
}

ExtendedQuery::Refusal ExtendedQuery::describeStatement(const std::string& name,
                                                        PendingBatch& pending) {
    const PreparedStatementPointer prepared = _state.prepared.find(name);
    if (!prepared) {
        return notRun(kInvalidStatementName, "prepared statement \"" + name + "\" does not exist");
    }
    const ClassifiedStatement* statement = prepared->statement();
    const std::optional<LocalAnswer> local =
        statement == nullptr ? LocalAnswer{} : _planner.describe(*statement, pending);
    if (local) {
        pending.reply.addLocal(localStatementDescription(*local));
    } else {
        appendStep(describeStep(*prepared), StepReply::StatementDescription, pending);
    }
    return std::nullopt;
}

ExtendedQuery::Refusal ExtendedQuery::describePortal(const std::string& name,
                                                     PendingBatch& pending) {
    const Portal* portal = _state.prepared.findPortal(name);
    if (portal == nullptr) {
        return notRun(kInvalidCursorName, "portal \"" + name + "\" does not exist");
    }
    const ClassifiedStatement* statement = portal->statement->statement();
    const std::optional<LocalAnswer> local =
        statement == nullptr ? LocalAnswer{} : _planner.describe(*statement, pending);
    if (local) {
        pending.reply.addLocal(encodeDescription(*local, portal->resultFormat));
    } else if (!statement->returnsRows) {
        pending.reply.addLocal(encodeDescription(LocalAnswer{}, portal->resultFormat));
    } else {
        _describedPortal = name;
    }
    return std::nullopt;
}

void ExtendedQuery::settleDescribe(PendingBatch& pending) {
    const std::optional<std::string> name = std::exchange(_describedPortal, std::nullopt);
    if (!name) {
        return;
    }
    const Portal* portal = _state.prepared.findPortal(*name);
    if (portal == nullptr) {
        return;
    }
    contract::StatementStep step = describeStep(*portal->statement);
    step.resultFormat = portal->resultFormat;
    appendStep(std::move(step), StepReply::PortalDescription, pending);
}

ExtendedQuery::Refusal ExtendedQuery::checkExecute(const pgwire::Execute& message,
                                                   const Portal* portal) const {
    if (portal == nullptr) {
        return notRun(kInvalidCursorName, "portal \"" + message.portal + "\" does not exist");
    }
    if (portal->executed) {
        return notRun(kNotInPrerequisiteState,
                      "portal \"" + message.portal + "\" cannot be run again");
    }
    const ClassifiedStatement* statement = portal->statement->statement();
    if (message.maxRows != 0 && statement != nullptr && statement->returnsRows) {
        return notRun(kFeatureNotSupported,
                      "a row limit in Execute is not supported; use LIMIT or DECLARE CURSOR");
    }
    return std::nullopt;
}

ExtendedQuery::Refusal ExtendedQuery::onExecute(const pgwire::Execute& message,
                                                PendingBatch& pending) {
    const bool described = _describedPortal == message.portal;
    if (described) {
        _describedPortal.reset();
    } else {
        settleDescribe(pending);
    }
    Portal* portal = _state.prepared.findPortal(message.portal);
    if (auto refusal = checkExecute(message, portal)) {
        return refusal;
    }
    portal->executed = true;
    if (auto refusal = _planner.applyTag(portal->statement->text, pending)) {
        return refusal;
    }
    const ClassifiedStatement* statement = portal->statement->statement();
    if (statement == nullptr) {
        pending.reply.addLocal(emptyQueryMessage());
        return std::nullopt;
    }
    return executeStatement(*statement, *portal, described, pending);
}

ExtendedQuery::Refusal ExtendedQuery::executeStatement(const ClassifiedStatement& statement,
                                                       Portal& portal, bool described,
                                                       PendingBatch& pending) {
    StatementPlan plan = _planner.plan(statement, pending);
    if (auto* refusal = std::get_if<pgwire::ResponseFields>(&plan)) {
        return std::move(*refusal);
    }
    if (const auto* answer = std::get_if<LocalAnswer>(&plan)) {
        pending.reply.addLocal(encodeAnswer(*answer, AnswerDescription::None, portal.resultFormat));
        return std::nullopt;
    }
    auto& planned = std::get<StepPlan>(plan);
    _planner.follow(statement, planned, pending);
    contract::StatementStep step = stepOf(*portal.statement);
    step.kind = planned.kind;
    step.changesSession = planned.changesSession;
    if (planned.kind != statement.kind) {
        step.sql = std::move(planned.sql);
    }
    step.parameters = std::move(portal.parameters);
    step.resultFormat = portal.resultFormat;
    step.describeRows = described;
    appendStep(std::move(step), described ? StepReply::DescribedPortal : StepReply::Portal,
               pending);
    return std::nullopt;
}

ExtendedQuery::Refusal ExtendedQuery::onClose(const pgwire::Close& message, PendingBatch& pending) {
    settleDescribe(pending);
    if (message.kind == pgwire::TargetKind::Statement) {
        _state.prepared.erase(message.name, pending.reply.size());
    } else {
        _state.prepared.erasePortal(message.name);
    }
    pending.reply.addLocal(closeCompleteMessage());
    return std::nullopt;
}

}  // namespace coralhoist::caller
