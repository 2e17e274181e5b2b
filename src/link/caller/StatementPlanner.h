/** Decides for each statement whether the session answers it, refuses it or has it executed. */
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "link/caller/CallerContext.h"
#include "link/caller/SessionState.h"
#include "link/pgwire/BackendMessageWriter.h"

namespace coralhoist::caller {

/** The session's own answer to a statement: at most one column and one row, both text. */
struct LocalAnswer {
    std::optional<std::string> column;
    std::string value;
    std::string commandTag;
    std::optional<pgwire::ResponseFields> notice;
};

/** The statement becomes a step of the batch; kind and text may differ from what was sent. */
struct StepPlan {
    contract::StatementKind kind = contract::StatementKind::Write;
    std::string sql;
    bool changesSession = false;
};

using StatementPlan = std::variant<LocalAnswer, StepPlan, pgwire::ResponseFields>;

/** Plans the statements of one session. */
class StatementPlanner {
public:
    /** @param context, state outlive the planner. */
    StatementPlanner(const CallerContext& context, SessionState& state)
        : _context(context), _state(state) {}

    /**
     * Plans the execution of a statement and carries out what concerns the session alone.
     * @param pending the batch so far.
     */
    StatementPlan plan(const ClassifiedStatement& statement, const PendingBatch& pending);

    /** @return whether Describe of the statement needs no back end: its column, if it has one. */
    std::optional<LocalAnswer> describe(const ClassifiedStatement& statement,
                                        const PendingBatch& pending) const;

    /**
     * Takes session token and request key of a statement's tag into the batch.
     * @return why they are refused.
     */
    std::optional<pgwire::ResponseFields> applyTag(const TaggedStatement& text,
                                                   PendingBatch& pending);

    /** Follows a step into the projected state of batch and session. */
    void follow(const ClassifiedStatement& statement, const StepPlan& step, PendingBatch& pending);

private:
    StatementPlan planCommand(const ClassifiedStatement& statement, const PendingBatch& pending);
    StatementPlan planSet(const ClassifiedStatement& statement, const SetParameter& command,
                          const PendingBatch& pending);
    StatementPlan planDeallocate(const DeallocateStatement& command, const PendingBatch& pending);
    StatementPlan planDiscardAll(const PendingBatch& pending);
    StatementPlan setProxyParameter(const SetParameter& command);
    std::optional<pgwire::ResponseFields> takeToken(const std::string& text,
                                                    std::optional<OpTime>& target);
    std::optional<std::string> shownValue(const std::string& name,
                                          const PendingBatch& pending) const;
    bool changesLater(const PendingBatch& pending) const;

    const CallerContext& _context;
    SessionState& _state;
};

/** @return an error whose detail says that nothing ran. */
pgwire::ResponseFields notRun(std::string sqlState, std::string message, std::string hint = {});

}  // namespace coralhoist::caller
