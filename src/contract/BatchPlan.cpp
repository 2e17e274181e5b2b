#include "contract/BatchPlan.h"

#include <algorithm>

namespace coralhoist::contract {
namespace {

void applyStep(const StatementStep& step, BatchPlan& plan) {
    switch (step.kind) {
        case StatementKind::Write:
            plan.writes = true;
            break;
        case StatementKind::Begin:
        case StatementKind::BeginReadOnly:
            plan.begins = true;
            plan.openAtEnd = true;
            plan.readOnlyTransaction = step.kind == StatementKind::BeginReadOnly;
            plan.hasTransactionControl = true;
            break;
        case StatementKind::Commit:
            plan.commits = true;
            plan.openAtEnd = false;
            plan.hasTransactionControl = true;
            break;
        case StatementKind::Rollback:
            plan.openAtEnd = false;
            plan.hasTransactionControl = true;
            break;
        case StatementKind::Savepoint:
            plan.hasTransactionControl = true;
            break;
        case StatementKind::Unsupported:
            plan.unsupported = true;
            break;
        case StatementKind::Read:
        case StatementKind::SessionSetting:
            break;
    }
}

bool isTransactionEnd(StatementKind kind) {
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

}  // namespace

BatchPlan planBatch(const StatementBatch& batch, bool inTransaction) {
    BatchPlan plan;
    plan.flush = batch.end == BatchEnd::Flush;
    plan.openAtEnd = inTransaction;
    plan.describeOnly = !batch.steps.empty();
    for (const StatementStep& step : batch.steps) {
        if (step.action == StepAction::DescribeOnly) {
            plan.unsupported = plan.unsupported || step.kind == StatementKind::Unsupported;
            continue;
        }
        plan.describeOnly = false;
        plan.changesSession = plan.changesSession || step.changesSession ||
                              step.kind == StatementKind::SessionSetting;
        applyStep(step, plan);
    }
    plan.endsTransaction = !batch.steps.empty() &&
                           batch.steps.front().action == StepAction::Execute &&
                           isTransactionEnd(batch.steps.front().kind);
    plan.readOnly = !plan.writes && !plan.hasTransactionControl && !plan.changesSession &&
                    (!plan.flush || plan.describeOnly);
    return plan;
}

}  // namespace coralhoist::contract
