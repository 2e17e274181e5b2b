/** What a session needs of its server. */
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/Identifier.h"
#include "lab/database/ExecutionContext.h"
#include "lab/database/LogEntry.h"
#include "lab/database/Options.h"
#include "lab/database/SlotScheduler.h"
#include "lab/database/Storage.h"
#include "lab/database/TimerQueue.h"
#include "lab/database/WriteLock.h"

namespace coralhoist::lab::database {

/** Kinds of statements that a server counts. */
enum class ServedKind {
    Read,    /**< Reads tables. */
    Write,   /**< May change data. */
    Status,  /**< Reads no table. */
    Control, /**< Transaction control and settings. */
};

/** Number of one wait for a majority. */
using MajorityWaitId = Identifier<struct MajorityWaitIdTag, std::uint64_t>;

/** The server as its sessions see it. */
class SessionHost {
public:
    virtual ~SessionHost() = default;

    virtual const ServerState& state() const = 0;
    virtual Storage& storage() = 0;
    virtual WriteLock& writeLock() = 0;
    virtual SlotScheduler& executionSlots() = 0;
    virtual TimerQueue& timers() = 0;
    virtual StatementAnalyzer& analyzer() = 0;
    virtual const ServerLimits& limits() const = 0;
    virtual std::uint64_t nextRandom() = 0;

    /** Counts a statement that was started. */
    virtual void countServed(ServedKind kind) = 0;

    /**
     * Makes a transaction that `working` has committed visible and sends it to the replicas.
     * @param statements not empty.
     * @return the position of its end.
     */
    virtual LogPosition commit(std::vector<LoggedStatement> statements,
                               std::int64_t nowMicroseconds) = 0;

    /** @return whether the answer to the commit just made has to be lost, by a fault. */
    virtual bool takeAnswerLoss() = 0;

    /** @return whether a commit may be answered now; always true with CommitMode::Local. */
    virtual bool mayAnswerCommit(LogPosition position) const = 0;

    /** Waits until a commit may be answered; reached is called later, never during this call. */
    virtual MajorityWaitId awaitCommit(LogPosition position, std::function<void()> reached) = 0;
    virtual void cancelAwait(MajorityWaitId wait) = 0;
};

}  // namespace coralhoist::lab::database
