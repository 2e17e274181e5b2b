#include "link/caller/BatchAssembly.h"

#include <utility>

namespace coralhoist::caller {
namespace {

pgwire::ColumnDescription textColumn(const std::string& name, contract::ValueFormat format) {
    pgwire::ColumnDescription column;
    column.name = name;
    column.format = format;
    return column;
}

void writeDescription(const LocalAnswer& answer, contract::ValueFormat format,
                      pgwire::BackendMessageWriter& writer) {
    const std::vector<pgwire::ColumnDescription> columns = {textColumn(*answer.column, format)};
    writer.rowDescription(columns);
}

void appendSimpleStep(const ClassifiedStatement& statement, StepPlan plan,
                      StatementPlanner& planner, PendingBatch& pending) {
    planner.follow(statement, plan, pending);
    contract::StatementStep step;
    step.kind = plan.kind;
    step.sql = std::move(plan.sql);
    step.changesSession = plan.changesSession;
    appendStep(std::move(step), StepReply::SimpleQuery, pending);
}

}  // namespace

void appendStep(contract::StatementStep step, StepReply reply, PendingBatch& pending) {
    pending.bytes += step.sql.size();
    for (const contract::ParameterValue& parameter : step.parameters) {
        pending.bytes += parameter.bytes ? parameter.bytes->size() : 0;
    }
    pending.reply.addStep(reply, step.resultFormat);
    pending.batch.steps.push_back(std::move(step));
}

std::string encodeDescription(const LocalAnswer& answer, contract::ValueFormat format) {
    pgwire::BackendMessageWriter writer;
    if (answer.column) {
        writeDescription(answer, format, writer);
    } else {
        writer.noData();
    }
    return writer.take();
}

std::string encodeAnswer(const LocalAnswer& answer, AnswerDescription description,
                         contract::ValueFormat format) {
    pgwire::BackendMessageWriter writer;
    if (answer.notice) {
        writer.noticeResponse(*answer.notice);
    }
    if (answer.column) {
        if (description == AnswerDescription::WithRows) {
            writeDescription(answer, format, writer);
        }
        const std::vector<pgwire::ColumnValue> row = {std::string_view(answer.value)};
        writer.dataRow(row);
    }
    writer.commandComplete(answer.commandTag);
    return writer.take();
}

pgwire::ResponseFields parseFailureResponse(const ParseFailure& failure) {
    return notRun(failure.sqlState, failure.message);
}

std::optional<pgwire::ResponseFields> appendSimpleQuery(std::string sql,
                                                        const CallerContext& context,
                                                        StatementPlanner& planner,
                                                        PendingBatch& pending) {
    const TaggedStatement text = extractTag(std::move(sql));
    if (auto refusal = planner.applyTag(text, pending)) {
        return refusal;
    }
    const ClassificationPointer classification = context.classifier.classify(text.sql);
    if (classification->failure) {
        ++context.statistics.syntaxErrors;
        return parseFailureResponse(*classification->failure);
    }
    if (classification->statements.empty()) {
        pgwire::BackendMessageWriter writer;
        writer.emptyQueryResponse();
        pending.reply.addLocal(writer.take());
    }
    for (const ClassifiedStatement& statement : classification->statements) {
        StatementPlan plan = planner.plan(statement, pending);
        if (auto* refusal = std::get_if<pgwire::ResponseFields>(&plan)) {
            return std::move(*refusal);
        }
        if (const auto* answer = std::get_if<LocalAnswer>(&plan)) {
            pending.reply.addLocal(
                encodeAnswer(*answer, AnswerDescription::WithRows, contract::ValueFormat::Text));
            continue;
        }
        appendSimpleStep(statement, std::get<StepPlan>(std::move(plan)), planner, pending);
    }
    return std::nullopt;
}

}  // namespace coralhoist::caller
