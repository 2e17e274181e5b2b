#include "tenancy/LedgerCopy.h"

namespace coralhoist::tenancy {
namespace {

/** Time for which an offer of leadership is valid. The leader repeats a standing offer every 0.5 s.
 */
constexpr Duration kOfferValidity = std::chrono::seconds(1);

}  // namespace

bool LedgerCopy::apply(const LedgerUpdate& update, const WindowOf& windowOf, TimePoint now) {
    if (_sealed) {
        return false;
    }
    // A message of an older copy may still arrive over a link that has since been lost.
    const bool isNewer = !isOf(update.leaderIncarnation) || update.copy > _copy;
    if (update.whole && isNewer) {
        _leaderIncarnation = update.leaderIncarnation;
        _copy = update.copy;
        _sequence = update.sequence - 1;
        _released = false;
        _ledgers.clear();
    }
    const bool isNext = _copy == update.copy && update.sequence == _sequence + 1;
    if (!isOf(update.leaderIncarnation) || !isNext) {
        return false;
    }
    _sequence = update.sequence;
    _lastUpdateAt = now;
    if (update.offered) {
        _offeredUntil = now + kOfferValidity;
    }
    _released = _released || update.released;
    for (const CopiedBatch& batch : update.batches) {
        QuotaLedger& ledger =
            _ledgers.try_emplace(batch.tenant, windowOf(batch.tenant)).first->second;
        ledger.add(batch.batch, batch.units, now + batch.usableFor);
        ledger.counted(now);
    }
    return true;
}

}  // namespace coralhoist::tenancy
