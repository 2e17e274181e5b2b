/** Execution requirements of a batch, derived from the kinds of its steps. */
#pragma once

#include "contract/Statement.h"

namespace coralhoist::contract {

/** Properties of a batch that determine how it is executed. */
struct BatchPlan {
    /** Some step is of a kind that the proxy never supports. */
    bool unsupported = false;
    /**
     * Changes nothing and opens no transaction; the batch may run on a replica and may be repeated.
     */
    bool readOnly = false;
    /** Only describes statements; the batch needs no read floor and pins no connection. */
    bool describeOnly = false;
    /** Some step may change data. */
    bool writes = false;
    /** Contains BEGIN. */
    bool begins = false;
    /** Contains COMMIT. */
    bool commits = false;
    /** The first step is COMMIT or ROLLBACK. */
    bool endsTransaction = false;
    /** An explicit transaction is open after the batch if every step succeeds. */
    bool openAtEnd = false;
    /** The transaction that the batch opens is declared read-only. */
    bool readOnlyTransaction = false;
    /** More steps of the same implicit transaction follow. */
    bool flush = false;
    bool changesSession = false;
    bool hasTransactionControl = false;
};

/**
 * @param batch the batch that the caller submitted.
 * @param inTransaction whether a transaction is open before the batch.
 */
BatchPlan planBatch(const StatementBatch& batch, bool inTransaction);

}  // namespace coralhoist::contract
