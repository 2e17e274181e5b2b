#include "contract/Refusals.h"

#include <cassert>
#include <utility>

namespace coralhoist::contract {
namespace {

using std::chrono::milliseconds;

constexpr Duration kNoRetry{0};
constexpr Duration kShortRetryDelay = milliseconds(50);
constexpr Duration kLongRetryDelay = milliseconds(250);

/** @return the routing failure that a router derives from a refusal. */
RoutingFailure routingFailure(Refusal refusal) {
    switch (refusal) {
        case Refusal::NotOwner:
        case Refusal::Draining:
            return RoutingFailure::NotOwner;
        case Refusal::OwnerUnreachable:
            return RoutingFailure::OwnerUnreachable;
        default:
            return RoutingFailure::None;
    }
}

}  // namespace

const std::vector<RefusalEntry>& refusalTable() {
    static const std::vector<RefusalEntry> table = {
        {Refusal::Unsupported, "0A000", RunState::NotRun, "statement is not supported by the proxy",
         "Use a direct connection for this statement.", kNoRetry},
        {Refusal::QueueFull, "53000", RunState::NotRun, "too many statements are waiting",
         "Repeat the request after the suggested pause.", kLongRetryDelay},
        {Refusal::DeadlineBeforeRun, "57014", RunState::NotRun,
         "statement timeout while waiting to run", "Repeat the request; it did not run.",
         kLongRetryDelay},
        {Refusal::NoMajority, "57P03", RunState::NotRun,
         "no majority of the group's servers answers", "Repeat the request; it did not run.",
         kLongRetryDelay},
        {Refusal::NoPrimary, "57P03", RunState::NotRun, "the group has no confirmed primary",
         "Repeat the request; it did not run.", kLongRetryDelay},
        {Refusal::Draining, "57P01", RunState::NotRun, "the proxy is stopping",
         "Connect to another proxy and repeat the request.", kShortRetryDelay},
        {Refusal::NotOwner, "57P03", RunState::NotRun,
         "this proxy does not execute statements for the group",
         "Repeat the request; placement of the group is changing.", kShortRetryDelay},
        {Refusal::CancelledBeforeRun, "57014", RunState::NotRun,
         "statement cancelled before it ran", "", kNoRetry},
        {Refusal::RetriesExhausted, "08006", RunState::NotRun,
         "no connection to the database took the statement", "Repeat the request; it did not run.",
         kLongRetryDelay},
        {Refusal::UnknownTransaction, "25000", RunState::NotRun,
         "the transaction is not open on this proxy", "Start the transaction again.", kNoRetry},
        {Refusal::TransactionAborted, "25P02", RunState::NotRun,
         "the transaction was rolled back; statements are ignored until its end",
         "Roll back and start the transaction again.", kNoRetry},
        {Refusal::TokenFromFuture, "22023", RunState::NotRun,
         "the session token is ahead of everything the group has written",
         "The token is not of this group or was altered; connect without it.", kNoRetry},
        {Refusal::RequestKeyRequired, "22023", RunState::NotRun,
         "the service's settings require a request key for writes",
         "Set coralhoist.request_key and repeat the request.", kNoRetry},
        {Refusal::RequestKeyMismatch, "22023", RunState::NotRun,
         "the request key was used with a different statement",
         "Use a new key for each new request.", kNoRetry},
        {Refusal::RequestKeyAlreadyCommitted, "RK001", RunState::NotRun,
         "a transaction has already committed under this request key",
         "Take the earlier transaction as done; do not repeat it.", kNoRetry},
        {Refusal::RequestKeyUnsupportedBatch, "0A000", RunState::NotRun,
         "a request key needs one batch of statements, or BEGIN on its own",
         "Send the statements as one batch, or in a transaction whose BEGIN carries the key.",
         kNoRetry},
        {Refusal::RequestKeyResultTooLarge, "54000", RunState::RolledBack,
         "the result is too large to be recorded under a request key",
         "Return fewer rows from the write.", kNoRetry},
        {Refusal::RequestKeyFailed, "58000", RunState::RolledBack,
         "the request key could not be recorded",
         "Check that the proxy's database user may use coralhoist_request_keys.", kNoRetry},
        {Refusal::StatementTimedOut, "57014", RunState::RolledBack,
         "statement timeout; it changed nothing", "Repeat the request.", kLongRetryDelay},
        {Refusal::ResultInterrupted, "08006", RunState::RolledBack,
         "the connection to the database was lost in the middle of the result",
         "Repeat the request; it changed nothing.", kShortRetryDelay},
        {Refusal::TransactionConnectionLost, "08006", RunState::RolledBack,
         "the connection of the transaction was lost; it was rolled back",
         "Roll back and start the transaction again.", kShortRetryDelay},
        {Refusal::TransactionPrimaryReplaced, "40001", RunState::RolledBack,
         "the transaction's primary was replaced; it was rolled back",
         "Start the transaction again.", kShortRetryDelay},
        {Refusal::TransactionTimedOut, "25P04", RunState::RolledBack,
         "transaction timeout; it was rolled back", "Use shorter transactions.", kNoRetry},
        {Refusal::IdleTransactionTimedOut, "25P03", RunState::RolledBack,
         "the transaction was idle for too long; it was rolled back",
         "Start the transaction again.", kNoRetry},
        {Refusal::OutcomeUnknown, "08007", RunState::Unknown,
         "the outcome of the request is unknown",
         "With a request key, repeat it under the same key; else look up what happened.",
         kLongRetryDelay},
        {Refusal::OwnerUnreachable, "57P03", RunState::NotRun,
         "no proxy that executes statements for the group can be reached",
         "Repeat the request; it did not run.", kLongRetryDelay},
        {Refusal::BatchTooLargeToForward, "54000", RunState::NotRun,
         "the batch is too large to be forwarded to another proxy", "Send smaller batches.",
         kNoRetry},
        {Refusal::AnswerTooLargeToForward, "54000", RunState::Ran,
         "the statement ran, but a part of its answer is too large to be forwarded",
         "Return smaller values.", kNoRetry},
    };
    return table;
}

ExecutionError makeError(Refusal refusal, std::string detail) {
    const auto index = static_cast<std::size_t>(refusal);
    assert(index < refusalTable().size());
    const RefusalEntry& entry = refusalTable()[index];
    assert(entry.refusal == refusal);
    return {entry.sqlState, entry.message,    std::move(detail),      entry.hint,
            entry.runState, entry.retryAfter, routingFailure(refusal)};
}

}  // namespace coralhoist::contract
