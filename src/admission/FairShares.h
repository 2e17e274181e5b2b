/** Fair queueing of the flows that compete for slots within one rank. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::admission {

/**
 * Protects the other flows when one flow floods the queue with many times its usual number of
 * statements: their statements must not wait behind the flood.
 *
 * A flow is the tenant on whose behalf a statement runs. Sessions are not flows: a flood arrives
 * over many sessions, so that a fair share per session would give the flood most of the slots.
 * Tenants always share a rank fairly. The services of an estate without tenants form one flow,
 * ordered so that the fewest statements are left unserved, unless an operator configures a fair
 * share for each service: among services whose slot times differ, shortest first serves more
 * statements in an overload than equal shares do.
 *
 * The algorithm is start-time fair queueing by slot time. Each flow has a virtual finish, which
 * grows by the slot time of each of its statements that is placed. The flow whose next statement
 * has the earliest virtual start goes first, and within a flow the statement with the smallest slot
 * time. Starts are compared in steps: among flows that were served equally the shortest statement
 * goes first as well, since most tenants have one queued statement at a time. With a single flow
 * the order is shortest first.
 *
 * The virtual time is the start of the statement placed last. A flow that becomes active starts no
 * earlier than the virtual time: idle time earns no credit. A flow that waits while others are
 * placed, because its statements need another server, keeps a bounded credit.
 */
class FairShares {
public:
    /** A queued statement. The comparison gives the order within a flow. */
    struct Waiting {
        Duration slotTime{0};
        /** Of two statements with the same slot time the one with the lower number goes first. */
        std::uint64_t number = 0;
        SessionId session;

        // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the comparison for a null.
        auto operator<=>(const Waiting&) const = default;
    };

    /**
     * @return the charge for a statement, also when its slot time is unknown, which is given as 0.
     */
    static Duration chargeOf(Duration slotTime);

    void add(const std::string& flow, const Waiting& waiting);

    /** Removes a statement that is no longer queued here, whatever the reason. */
    void remove(const std::string& flow, const Waiting& waiting);

    /** Charges the flow for a placed statement, whether or not the statement was queued here. */
    void charge(const std::string& flow, Duration slotTime);

    /** Appends the sessions of all queued statements, in the order of service. */
    void appendOrder(std::vector<SessionId>& order) const;

private:
    struct Flow {
        /** Sorted. */
        std::vector<Waiting> waiting;
        /** Virtual time up to which the flow has been served. */
        Duration finish{0};
    };
    /** The position of a flow's next statement relative to other flows. */
    struct FlowPosition {
        Duration start{0};
        const Waiting* next = nullptr;
        const Waiting* end = nullptr;

        /** @return whether the other goes first; orders a heap with the first one at its front. */
        bool operator<(const FlowPosition& other) const;
    };

    Duration startOf(const Flow& flow) const;
    std::vector<FlowPosition> flowHeap() const;
    void dropIdle();

    /** Flows with queued statements, and flows that were served beyond the virtual time. */
    std::map<std::string, Flow> _flows;
    Duration _virtualTime{0};
};

}  // namespace coralhoist::admission
