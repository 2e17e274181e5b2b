/**
 * Forwarding of units of work from the node that receives them to the node that executes them. A
 * unit is a single statement or one transaction; the session stays on the node that its caller is
 * connected to, so that only units in flight depend on an executing node.
 */
#pragma once

#include <optional>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "pooling/PooledSession.h"
#include "pooling/Statement.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::pooling {

/** Session state that is sent to the executing node when a unit begins. */
struct UnitOpening {
    ServiceName service;
    GroupName group;
    /** Tenant on whose behalf the unit runs; empty for none. */
    TenantName tenant;
    /** Settings that apply to the unit, as the forwarding node knows them. */
    settings::ServiceSettings settings;
    /** Time since the caller first sent the unit, including refusals and pauses. */
    Duration waited{0};
    /** Time for which a response is still useful to the caller. */
    std::optional<Duration> usefulFor = std::nullopt;
    /** Log position that covers all commits of the session. */
    OpTime ownFloor;
    /** BEGIN if the unit is a transaction. */
    std::optional<Statement> begin;
};

/** One statement of a unit, with the session state that it requires. */
struct UnitStatement {
    Statement statement;
    SessionValues values;
    /** The shape of the prepared name, if the statement executes one. */
    std::optional<PreparedShape> shape;
};

/** Outcome of a statement of a unit. */
struct UnitResult {
    StatementResult result;
    OpTime ownFloor;
};

/** What is known of a unit whose response will not arrive. */
enum class UnitLoss {
    NotTaken,   /**< The unit was not executed at all. */
    Unanswered, /**< The unit may have been executed. */
};

/** Receives the events of forwarded units. */
class UnitEvents {
public:
    virtual ~UnitEvents() = default;

    /** The unit's statement has ended. */
    virtual void onUnitResult(UnitId unit, UnitResult result) = 0;

    /**
     * The unit no longer exists. A transaction that it left open on the executing node is rolled
     * back.
     */
    virtual void onUnitLost(UnitId unit, UnitLoss loss) = 0;
};

/** Forwards units to other nodes. No call delivers an event before it returns. */
class UnitForwarder {
public:
    virtual ~UnitForwarder() = default;

    /** @return whether the node appears to accept units now. */
    virtual bool canReach(const NodeName& node) const = 0;

    /** Sends a unit's first statement. */
    virtual void open(UnitId unit, const NodeName& node, const UnitOpening& opening,
                      const UnitStatement& statement) = 0;

    /** Sends a further statement of an open transaction. */
    virtual void submit(UnitId unit, const UnitStatement& statement) = 0;

    /**
     * Abandons the unit: a transaction that it left open is rolled back. No event for the unit
     * follows.
     */
    virtual void end(UnitId unit) = 0;
};

}  // namespace coralhoist::pooling
