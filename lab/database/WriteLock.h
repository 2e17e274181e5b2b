/** The right to change a server's data. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "base/Identifier.h"

namespace coralhoist::lab::database {

/** Number of one acquisition of the lock. */
using LockToken = Identifier<struct LockTokenTag, std::uint64_t>;

/**
 * A lock that one transaction holds at a time, granted in the order of requests. There is one lock
 * for the whole server, so a transaction that holds it waits for no other and no deadlock arises.
 */
class WriteLock {
public:
    using Granted = std::function<void()>;

    /** @return a token for one acquisition. */
    LockToken nextToken() { return LockToken(++_lastToken); }

    /**
     * Asks for the lock.
     * @param token a new one.
     * @param granted called when it is held: during this call if it is free, else later.
     */
    void acquire(LockToken token, Granted granted);

    /** Gives the lock back or withdraws the request; unknown tokens are ignored. */
    void release(LockToken token);

    bool isHeldBy(LockToken token) const { return _holder == token; }
    bool isHeld() const { return _holder.has_value(); }

    /** While suspended the lock is not granted. */
    void setSuspended(bool suspended);

    /** Forgets the holder; waiting requests stay. */
    void revoke();

private:
    struct Request {
        LockToken token;
        Granted granted;
    };

    void grantNext();

    std::uint64_t _lastToken = 0;
    bool _suspended = false;
    std::optional<LockToken> _holder;
    std::deque<Request> _waiting;
};

}  // namespace coralhoist::lab::database
