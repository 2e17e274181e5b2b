/** What decides, beside load and freshness, to which servers and nodes a unit of work may go. */
#pragma once

#include <cstdint>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** A unit of work as a policy sees it. References outlive the call only. */
struct PlacedUnit {
    const GroupName& group;
    const ServiceName& service;
    /** Empty for none. */
    const TenantName& tenant;
    /** Rank of its service; lower ones go first. */
    std::uint32_t rank = 0;
    /** Only the group's primary can run it. */
    bool needsPrimary = false;
    /** It begins or continues a transaction: further statements follow. */
    bool isTransaction = false;
};

/** A server as a policy sees it. */
struct PlacedServer {
    const ServerName& server;
    const ZoneName& zone;
    /** It is taken for the group's primary. */
    bool isPrimary = false;
};

/** Whether something may be sent to a server. */
struct PlacementVerdict {
    enum class Kind {
        Allowed,
        Deferred,  /**< Not now; it may be allowed after a while. */
        Forbidden, /**< Not while things stay as they are known. */
    };
    Kind kind = Kind::Allowed;
    /** Deferred only: expected time until it is allowed. */
    Duration expectedIn{0};
    /** Why not, a word for logs and refusals. Of static storage. */
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
 * One reason for which units must not go somewhere. The pooler asks for each statement that it is
 * about to place or to send, so that no method may block or call the pooler. A policy whose
 * verdicts have changed has `StatementPooler::reviewPlacement` called.
 */
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    /** @return whether the first statement of a unit may be sent to the server now. */
    virtual PlacementVerdict mayBegin(const PlacedUnit& unit, const PlacedServer& server) = 0;

    /** @return whether a further statement of a transaction that is open there may be sent now. */
    virtual PlacementVerdict mayContinue(const PlacedUnit& unit, const PlacedServer& server) = 0;

    /** @return whether a transaction that is open there may stay open while none of its statements
     * is to be sent: nothing is asked for on its behalf. Only a prohibition counts. */
    virtual PlacementVerdict mayRest(const PlacedUnit& unit, const PlacedServer& server) {
        return mayContinue(unit, server);
    }

    /** @return whether nothing at all may be sent to the server, not even to end what is open. */
    virtual bool isClosed(const PlacedServer& /*server*/) { return false; }

    /** @return whether a node of the zone may be shown the unit's statements, to execute them. */
    virtual bool mayForwardTo(const PlacedUnit& unit, const ZoneName& zone) = 0;

    /** @return whether logs may show what a server says of the unit's statements: its words may
     * repeat them. */
    virtual bool mayLogAnswers(const PlacedUnit& /*unit*/) { return true; }

    /** A caller's statement is sent to the server now. */
    virtual void noteSent(const PlacedUnit& unit, const PlacedServer& server) = 0;

    /** The last connection of this node to the server broke, or none could be opened. */
    virtual void noteServerLost(const GroupName& /*group*/, const ServerName& /*server*/) {}

    /** A connection to the server was opened. */
    virtual void noteServerOpened(const GroupName& /*group*/, const ServerName& /*server*/) {}
};

}  // namespace coralhoist::pooling
