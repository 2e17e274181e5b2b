/** Effects that a batch can leave in the database, derived from the kinds of its statements. */
#pragma once

#include "contract/Execution.h"
#include "contract/Statement.h"

namespace coralhoist::contract {

/** Kind of transaction that is open in a session between two batches. */
enum class OpenTransaction {
    None,
    Implicit, /**< Opened by a batch that ended with Flush; the next Sync commits it. */
    Explicit, /**< Opened by BEGIN; only COMMIT commits it. */
};

/** @return the kind of transaction that is open after a batch with this result. */
OpenTransaction openTransactionAfter(const ExecutionResult& result);

/**
 * @return whether no statement of the batch can change data, so that the batch can be repeated
 *         safely.
 */
bool changesNothing(const StatementBatch& batch);

/**
 * @param open the transaction in which the batch runs.
 * @return whether the batch can make a change permanent. When it can't and its transaction is
 *         abandoned, all its changes are rolled back.
 */
bool canCommitChanges(const StatementBatch& batch, OpenTransaction open);

}  // namespace coralhoist::contract
