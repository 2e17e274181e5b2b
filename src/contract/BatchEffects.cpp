#include "contract/BatchEffects.h"

#include "contract/BatchPlan.h"

namespace coralhoist::contract {

OpenTransaction openTransactionAfter(const ExecutionResult& result) {
    if (!result.transaction) {
        return OpenTransaction::None;
    }
    return result.transactionStatus == TransactionStatus::Idle ? OpenTransaction::Implicit
                                                               : OpenTransaction::Explicit;
}

bool changesNothing(const StatementBatch& batch) {
    const BatchPlan plan = planBatch(batch, false);
    return !plan.writes && !plan.commits && !plan.unsupported;
}

bool canCommitChanges(const StatementBatch& batch, OpenTransaction open) {
    bool insideExplicit = open == OpenTransaction::Explicit;
    bool uncommittedImplicit = open == OpenTransaction::Implicit;
    for (const StatementStep& step : batch.steps) {
        if (step.action == StepAction::DescribeOnly) {
            continue;
        }
        switch (step.kind) {
            case StatementKind::Commit:
                return true;
            case StatementKind::Begin:
            case StatementKind::BeginReadOnly:
                insideExplicit = true;
                break;
            case StatementKind::Rollback:
                insideExplicit = false;
                break;
            case StatementKind::Write:
            case StatementKind::Unsupported:
                uncommittedImplicit = uncommittedImplicit || !insideExplicit;
                break;
            case StatementKind::Read:
            case StatementKind::Savepoint:
            case StatementKind::SessionSetting:
                break;
        }
    }
    return uncommittedImplicit && batch.end == BatchEnd::Sync;
}

}  // namespace coralhoist::contract
