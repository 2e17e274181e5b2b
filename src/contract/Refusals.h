/** Catalogue of all errors that the proxy itself returns to callers. */
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "contract/Execution.h"

namespace coralhoist::contract {

/** Reasons for which the proxy, rather than the database, fails a request. */
enum class Refusal {
    Unsupported,
    QueueFull,
    DeadlineBeforeRun,
    NoMajority,
    NoPrimary,
    Draining,
    NotOwner,
    CancelledBeforeRun,
    RetriesExhausted,
    UnknownTransaction,
    TransactionAborted,
    TokenFromFuture,
    RequestKeyRequired,
    RequestKeyMismatch,
    RequestKeyAlreadyCommitted,
    RequestKeyUnsupportedBatch,
    RequestKeyResultTooLarge,
    RequestKeyFailed,
    StatementTimedOut,
    ResultInterrupted,
    TransactionConnectionLost,
    TransactionPrimaryReplaced,
    TransactionTimedOut,
    IdleTransactionTimedOut,
    OutcomeUnknown,
    OwnerUnreachable,
    BatchTooLargeToForward,
    AnswerTooLargeToForward,
};

/** The documented properties of a refusal. */
struct RefusalEntry {
    Refusal refusal;
    const char* sqlState;
    RunState runState;
    const char* message;
    /** Recommended action of the caller. */
    const char* hint;
    /** Suggested delay before the request is repeated; zero when a repeat does not help. */
    Duration retryAfter;
};

/**
 * @return all refusals in the order of the enumeration; the generated documentation uses this
 *         table.
 */
const std::vector<RefusalEntry>& refusalTable();

/**
 * @param refusal the reason.
 * @param detail description of this occurrence; may be empty.
 * @return the error; its routing failure follows from the reason.
 */
ExecutionError makeError(Refusal refusal, std::string detail = {});

/** @return the result of a failed request outside a transaction. */
inline ExecutionResult makeFailure(ExecutionError error) {
    ExecutionResult result;
    result.error = std::move(error);
    return result;
}

}  // namespace coralhoist::contract
