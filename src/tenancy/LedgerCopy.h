/** A standby's copy of the ledgers of a shard's leader. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "tenancy/QuotaLedger.h"
#include "tenancy/QuotaMessages.h"

namespace coralhoist::tenancy {

/**
 * Takes a leader's updates until it is sealed. It learns no settlements, so more counts in it than
 * in the original, never less.
 */
class LedgerCopy {
public:
    /** @return the window of a tenant's ledger. */
    using WindowOf = std::function<Duration(const TenantName&)>;

    /** @return whether the copy holds the update's batches now, and those of all before it. */
    bool take(const LedgerUpdate& update, const WindowOf& windowOf, TimePoint now);

    /** From now on no batch of this copy is acknowledged, so that it lacks none that was answered.
     */
    void seal() { _sealed = true; }

    /** Forgets the copy; another may begin. */
    void drop() { *this = LedgerCopy(); }

    /** @return whether it holds all batches that this life of a leader ever answered. */
    bool isOf(const std::string& leaderLife) const {
        return !leaderLife.empty() && _leaderLife == leaderLife;
    }

    /** @return whether the leader has stopped as planned. */
    bool isReleased() const { return _released; }

    /** @return whether the leader wants the standby to lead. */
    bool isOffered(TimePoint now) const { return _released || now < _offeredUntil; }

    /** @return when the leader was heard last. */
    TimePoint heardAt() const { return _heardAt; }
    bool isSealed() const { return _sealed; }

    const ShardLedgers& ledgers() const { return _ledgers; }

private:
    std::string _leaderLife;
    std::uint64_t _copy = 0;
    /** Of the newest update. */
    std::uint64_t _sequence = 0;
    bool _sealed = false;
    bool _released = false;
    TimePoint _offeredUntil{};
    TimePoint _heardAt{};
    ShardLedgers _ledgers;
};

}  // namespace coralhoist::tenancy
