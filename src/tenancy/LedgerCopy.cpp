#include "tenancy/LedgerCopy.h"

namespace coralhoist::tenancy {

bool LedgerCopy::take(const LedgerUpdate& update, Duration window, TimePoint now) {
    if (_sealed) {
        return false;
    }
    // A message of an older copy may still arrive, over a link that was lost.
    const bool isNewer = !isOf(update.leaderLife) || update.copy > _copy;
    if (update.whole && isNewer) {
        _leaderLife = update.leaderLife;
        _copy = update.copy;
        _sequence = update.sequence - 1;
        _released = false;
        _ledgers.clear();
    }
    const bool isNext = _copy == update.copy && update.sequence == _sequence + 1;
    if (!isOf(update.leaderLife) || !isNext) {
        return false;
    }
    _sequence = update.sequence;
    _heardAt = now;
    _offered = update.offered;
    _released = _released || update.released;
    for (const CopiedBatch& batch : update.batches) {
        QuotaLedger& ledger = _ledgers.try_emplace(batch.tenant, window).first->second;
        ledger.add(batch.batch, batch.units, now + batch.usableFor);
        ledger.counted(now);
    }
    return true;
}

}  // namespace coralhoist::tenancy
