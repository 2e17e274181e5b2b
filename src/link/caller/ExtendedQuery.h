/** The extended query protocol's messages, turned into steps and replies of a batch. */
#pragma once

#include <optional>
#include <string>

#include "link/caller/CallerContext.h"
#include "link/caller/SessionState.h"
#include "link/caller/StatementPlanner.h"
#include "link/pgwire/FrontendMessages.h"

namespace coralhoist::caller {

/**
 * Handles Parse, Bind, Describe, Execute and Close. Nothing is sent to a back end before Sync or
 * Flush, so prepared statements live in the session alone and any connection can run them.
 */
class ExtendedQuery {
public:
    /** Why a message was refused; nothing when it was taken. */
    using Refusal = std::optional<pgwire::ResponseFields>;

    /** @param context, state, planner outlive the object. */
    ExtendedQuery(const CallerContext& context, SessionState& state, StatementPlanner& planner)
        : _context(context), _state(state), _planner(planner) {}

    Refusal onParse(pgwire::Parse message, PendingBatch& pending);
    Refusal onBind(pgwire::Bind message, PendingBatch& pending);
    Refusal onDescribe(const pgwire::Describe& message, PendingBatch& pending);
    Refusal onExecute(const pgwire::Execute& message, PendingBatch& pending);
    Refusal onClose(const pgwire::Close& message, PendingBatch& pending);

    /** A Describe waits for the Execute of its portal; this adds it on its own. */
    void settleDescribe(PendingBatch& pending);
    /** Forgets a waiting Describe: the batch was refused. */
    void forgetDescribe() { _describedPortal.reset(); }

private:
    Refusal describeStatement(const std::string& name, PendingBatch& pending);
    Refusal describePortal(const std::string& name, PendingBatch& pending);
    Refusal checkExecute(const pgwire::Execute& message, const Portal* portal) const;
    Refusal executeStatement(const ClassifiedStatement& statement, Portal& portal, bool described,
                             PendingBatch& pending);

    const CallerContext& _context;
    SessionState& _state;
    StatementPlanner& _planner;
    /** Portal whose Describe has not been answered or added yet. */
    std::optional<std::string> _describedPortal;
};

}  // namespace coralhoist::caller
