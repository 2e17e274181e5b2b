/** Turns of the flows that compete for slots within one rank. */
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
 * Answers the flood of one flow: it sends many times what it usually sends, and what the others
 * send must not wait behind it.
 *
 * A flow is the tenant on whose behalf a statement runs. Sessions are not flows: a flood comes over
 * many of them, so that a fair share of each would give the flood most of the slots. Tenants always
 * share a rank fairly. The services of an estate without tenants are one flow, ordered by what
 * leaves the fewest unserved, unless an operator asks for a fair share of each: among services
 * whose slot times differ, shortest first serves more of them in an overload than equal shares do.
 *
 * Start-time fair queueing by slot time: each flow has a virtual finish, which grows by the slot
 * time of each of its statements that is placed. The flow whose next statement has the earliest
 * virtual start goes first, and within a flow the statement that occupies a slot for the least
 * time. Starts are compared in steps: of flows that were served alike the shortest goes first too,
 * since most tenants have one statement waiting at a time. With one flow that is shortest first.
 * Virtual time is the start of what was placed last. A flow that begins to wait starts there at the
 * earliest: having been idle gives no credit. One that waits while others are placed, because its
 * statements need another server, keeps a bounded credit.
 */
class FairShares {
public:
    /** A statement that waits. Compares as it goes within a flow. */
    struct Waiting {
        Duration slotTime{0};
        /** Of two alike the lower goes first. */
        std::uint64_t number = 0;
        SessionId session;

        // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the comparison for a null.
        auto operator<=>(const Waiting&) const = default;
    };

    /** @return what a statement is charged, also while its slot time is unknown, which is 0. */
    static Duration chargeOf(Duration slotTime);

    void add(const std::string& flow, const Waiting& waiting);

    /** Takes out a statement that no longer waits here, whatever became of it. */
    void remove(const std::string& flow, const Waiting& waiting);

    /** A statement of the flow was placed, whether it waited here or not. */
    void charge(const std::string& flow, Duration slotTime);

    /** Appends the sessions of all that wait, in their order. */
    void appendOrder(std::vector<SessionId>& order) const;

private:
    struct Flow {
        /** Sorted. */
        std::vector<Waiting> waiting;
        /** Virtual time up to which it has been served. */
        Duration finish{0};
    };
    /** The place of a flow's next statement among those of other flows. */
    struct Turn {
        Duration start{0};
        const Waiting* next = nullptr;
        const Waiting* end = nullptr;

        /** @return whether the other goes first; for a heap with the first at its front. */
        bool operator<(const Turn& other) const;
    };

    Duration startOf(const Flow& flow) const;
    std::vector<Turn> turns() const;
    void dropIdle();

    /** Flows that wait, and those served beyond the virtual time. */
    std::map<std::string, Flow> _flows;
    Duration _virtualTime{0};
};

}  // namespace coralhoist::admission
