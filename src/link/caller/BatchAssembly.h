/** Adds planned statements to a batch under construction. */
#pragma once

#include <optional>
#include <string>

#include "link/caller/CallerContext.h"
#include "link/caller/SessionState.h"
#include "link/caller/StatementPlanner.h"

namespace coralhoist::caller {

/** Adds a step and the place of its answer. */
void appendStep(contract::StatementStep step, StepReply reply, PendingBatch& pending);

/** How a local answer is described to the caller. */
enum class AnswerDescription { None, WithRows };

/** Encodes the session's own answer to an execution. */
std::string encodeAnswer(const LocalAnswer& answer, AnswerDescription description,
                         contract::ValueFormat format);

/** Encodes the row description of the session's own answer, or NoData. */
std::string encodeDescription(const LocalAnswer& answer, contract::ValueFormat format);

/**
 * Adds all statements of a simple query.
 * @return why the query is refused; nothing of it is run then.
 */
std::optional<pgwire::ResponseFields> appendSimpleQuery(std::string sql,
                                                        const CallerContext& context,
                                                        StatementPlanner& planner,
                                                        PendingBatch& pending);

/** @return the caller's error for a query string that the parser has refused. */
pgwire::ResponseFields parseFailureResponse(const ParseFailure& failure);

}  // namespace coralhoist::caller
