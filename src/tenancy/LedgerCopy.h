/** A standby's replica of the ledgers of a shard's leader. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "tenancy/QuotaLedger.h"
#include "tenancy/QuotaMessages.h"

namespace coralhoist::tenancy {

/** Applies a leader's updates until the copy is sealed. Settlements are not replicated, so the copy
 * may count more units than the original ledgers, but never fewer. */
class LedgerCopy {
public:
    /** Returns the window of a tenant's ledger. */
    using WindowOf = std::function<Duration(const TenantName&)>;

    /** @return whether the copy now holds the batches of this update and of all updates before it.
     */
    bool apply(const LedgerUpdate& update, const WindowOf& windowOf, TimePoint now);

    /** Stops acknowledging updates. The leader confirms no batch to a requesting node without the
     * acknowledgement, so the copy holds every batch that was confirmed. */
    void seal() { _sealed = true; }

    /** Discards the copy, so that a new one may begin. */
    void drop() { *this = LedgerCopy(); }

    /** @return whether the copy holds all batches that this incarnation of a leader has ever sent
     * in a response. */
    bool isOf(const std::string& leaderIncarnation) const {
        return !leaderIncarnation.empty() && _leaderIncarnation == leaderIncarnation;
    }

    /** @return whether the leader has shut down as planned. */
    bool isReleased() const { return _released; }

    /** @return whether the leader wants the standby to take over. */
    bool isOffered(TimePoint now) const { return _released || now < _offeredUntil; }

    /** @return when the last update of the leader was accepted. */
    TimePoint lastUpdateAt() const { return _lastUpdateAt; }
    bool isSealed() const { return _sealed; }

    const ShardLedgers& ledgers() const { return _ledgers; }

private:
    std::string _leaderIncarnation;
    std::uint64_t _copy = 0;
    /** Sequence number of the newest accepted update. */
    std::uint64_t _sequence = 0;
    bool _sealed = false;
    bool _released = false;
    TimePoint _offeredUntil{};
    TimePoint _lastUpdateAt{};
    ShardLedgers _ledgers;
};

}  // namespace coralhoist::tenancy
