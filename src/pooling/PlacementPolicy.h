/**
 * Placement policy: decides, in addition to load and freshness, which servers and nodes may receive
 * a unit of work.
 */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/**
 * A unit of work as a policy sees it. The references are valid for the duration of the call only.
 */
struct PlacedUnit {
    const GroupName& group;
    const ServiceName& service;
    /** Empty if the unit belongs to no tenant. */
    const TenantName& tenant;
    /** Rank of the unit's service; lower ranks are served first. */
    std::uint32_t rank = 0;
    /** Only the group's primary can run the unit. */
    bool needsPrimary = false;
    /** The unit begins or continues a transaction: further statements follow. */
    bool isTransaction = false;
};

/** A server as a policy sees it. */
struct PlacedServer {
    const ServerName& server;
    const ZoneName& zone;
    /** The server is taken to be the group's primary. */
    bool isPrimary = false;
};

/** Whether a statement may be sent to a server. */
struct PlacementVerdict {
    enum class Kind {
        Allowed,
        Deferred,  /**< Not now; it may be allowed later. */
        Forbidden, /**< Not allowed as long as the known state does not change. */
    };
    Kind kind = Kind::Allowed;
    /** Deferred only: expected time until the statement is allowed. */
    Duration expectedIn{0};
    /**
     * Reason of a deferral or prohibition, one word for logs and refusals. Points to static
     * storage.
     */
    const char* reason = "none";

    static PlacementVerdict allowed() { return {}; }
    static PlacementVerdict deferred(Duration expectedIn, const char* reason) {
        return {Kind::Deferred, expectedIn, reason};
    }
    static PlacementVerdict forbidden(const char* reason) {
        return {Kind::Forbidden, Duration(0), reason};
    }
    bool isAllowed() const { return kind == Kind::Allowed; }
    bool isForbidden() const { return kind == Kind::Forbidden; }
};

/**
 * A rule that restricts where units may be sent. The pooler queries it for each statement that it
 * is about to place or to send, so no method may block or call the pooler. A policy whose verdicts
 * have changed must cause a call of `StatementPooler::reviewPlacement`.
 */
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    /** @return whether the first statement of a unit may be sent to the server now. */
    virtual PlacementVerdict mayBegin(const PlacedUnit& unit, const PlacedServer& server) = 0;

    /**
     * @return whether a further statement of a transaction that is open on the server may be sent
     * now.
     */
    virtual PlacementVerdict mayContinue(const PlacedUnit& unit, const PlacedServer& server) = 0;

    /**
     * @return whether a transaction that is open on the server may stay open while it is idle, that
     * is, while none of its statements is to be sent. Only a prohibition counts; a deferral has no
     * effect.
     */
    virtual PlacementVerdict mayStayIdle(const PlacedUnit& unit, const PlacedServer& server) {
        return mayContinue(unit, server);
    }

    /**
     * @return whether nothing at all may be sent to the server, not even a rollback of an open
     * transaction.
     */
    virtual bool isClosed(const PlacedServer& /*server*/) { return false; }

    /**
     * @return whether the unit's statements may be forwarded for execution to a node of the zone.
     */
    virtual bool mayForwardTo(const PlacedUnit& unit, const ZoneName& zone) = 0;

    /**
     * @return whether logs may contain a server's error messages for the unit's statements: the
     * messages may repeat the text of the statements.
     */
    virtual bool mayLogAnswers(const PlacedUnit& /*unit*/) { return true; }

    /** Called when a caller's statement is sent to the server. */
    virtual void noteSent(const PlacedUnit& unit, const PlacedServer& server) = 0;

    /**
     * Called when the last connection of this node to the server broke, or none could be opened.
     */
    virtual void noteServerLost(const GroupName& /*group*/, const ServerName& /*server*/) {}

    /** Called when a connection to the server was opened. */
    virtual void noteServerOpened(const GroupName& /*group*/, const ServerName& /*server*/) {}
};

}  // namespace coralhoist::pooling
