/** What a session carries from one batch to the next, and the batch under construction. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "contract/Execution.h"
#include "link/caller/PreparedStatements.h"
#include "link/caller/ReplySequence.h"
#include "link/caller/SessionParameters.h"

namespace coralhoist::caller {

/** State of one session after start-up. */
struct SessionState {
    SessionId id;
    GroupName group;
    ServiceName service;
    std::string user;
    SessionParameters parameters;
    PreparedStatements prepared;

    /** Newest point that the session has presented, seen or written. */
    std::optional<OpTime> token;
    /** Presented by SET since the last batch; the next batch may take it as its floor. */
    std::optional<OpTime> presentedToken;
    /** From SET; for the next write or transaction. */
    std::optional<std::string> requestKey;
    /** Key under which the open transaction began. */
    std::optional<std::string> transactionKey;

    /** Parameters as handed over last; those of the open transaction while there is one. */
    std::vector<contract::SessionParameter> sentParameters;

    /** Status at the back end. */
    contract::TransactionStatus status = contract::TransactionStatus::Idle;
    std::optional<TransactionId> transaction;
    /** The session refused a statement of the open transaction, which the back end does not know:
     * nothing but its end or ROLLBACK TO may follow. */
    bool failedLocally = false;
    /** An implicit transaction is open and must be rolled back at Sync. */
    bool abortAtSync = false;

    /** @return the status as the caller sees it. */
    contract::TransactionStatus visibleStatus() const {
        return failedLocally ? contract::TransactionStatus::Failed : status;
    }
    /** @return whether an implicit transaction of earlier parts of a batch is unfinished. */
    bool hasImplicitTransaction() const {
        return transaction && status == contract::TransactionStatus::Idle;
    }
};

/** Steps and replies collected since the last synchronisation point. */
struct PendingBatch {
    contract::StatementBatch batch;
    ReplySequence reply;
    /** Bytes of statements and parameters. */
    std::size_t bytes = 0;
    /** Whether an explicit transaction is open after the steps so far, if they succeed. */
    bool inTransaction = false;
    bool writes = false;
    bool begins = false;
    bool rollsBackToSavepoint = false;
    /** From tags of its statements. */
    std::optional<OpTime> presentedToken;
    std::optional<std::string> requestKey;
    /** Parameters that hold when its first step runs; those now in force when it has no step that
     * could change them. */
    std::optional<std::vector<contract::SessionParameter>> sessionParameters;
    /** Parameters before the batch, for the case that it fails. */
    SessionParameters parametersBefore;
};

}  // namespace coralhoist::caller
