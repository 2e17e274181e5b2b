/**
 * Units of work that one node takes from its callers and another one executes. A unit is a single
 * statement or one transaction; the session stays at the node that its caller is connected to, so
 * that nothing but units in flight depends on an executing node.
 */
#pragma once

#include <optional>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "pooling/PooledSession.h"
#include "pooling/Statement.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::pooling {

/** What the executing node is told of the session when a unit begins. */
struct UnitOpening {
    ServiceName service;
    GroupName group;
    /** On whose behalf it runs; empty for none. */
    TenantName tenant;
    /** Settings by which the unit is decided, as the forwarding node knows them. */
    settings::ServiceSettings settings;
    /** Time since the caller first asked for it, refusals and pauses included. */
    Duration waited{0};
    /** Time for which an answer is still of use to the caller. */
    std::optional<Duration> usefulFor = std::nullopt;
    /** Position of the log that has all commits of the session. */
    OpTime ownFloor;
    /** BEGIN when the unit is a transaction. */
    std::optional<Statement> begin;
};

/** One statement of a unit, with the state of the session that it must find. */
struct UnitStatement {
    Statement statement;
    SessionValues values;
    /** What a prepared name stands for, when the statement executes one. */
    std::optional<PreparedShape> shape;
};

/** How a statement of a unit ended. */
struct UnitResult {
    StatementResult result;
    OpTime ownFloor;
};

/** What is known of a unit whose answer will not come. */
enum class UnitLoss {
    NotTaken,   /**< Nothing of it was done. */
    Unanswered, /**< It may have been executed. */
};

/** Receives what becomes of forwarded units. */
class UnitEvents {
public:
    virtual ~UnitEvents() = default;

    /** The unit's statement has ended. */
    virtual void onUnitResult(UnitId unit, UnitResult result) = 0;

    /** The unit is gone. What it left open at the executing node is rolled back. */
    virtual void onUnitLost(UnitId unit, UnitLoss loss) = 0;
};

/** Passes units to other nodes. No call delivers an event before it returns. */
class UnitForwarder {
public:
    virtual ~UnitForwarder() = default;

    /** @return whether the node seems to take units now. */
    virtual bool canReach(const NodeName& node) const = 0;

    /** Sends a unit's first statement. */
    virtual void open(UnitId unit, const NodeName& node, const UnitOpening& opening,
                      const UnitStatement& statement) = 0;

    /** Sends a further statement of an open transaction. */
    virtual void submit(UnitId unit, const UnitStatement& statement) = 0;

    /** Gives the unit up: what it left open is rolled back. No event for it follows. */
    virtual void end(UnitId unit) = 0;
};

}  // namespace coralhoist::pooling
