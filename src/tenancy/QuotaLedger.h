/** Ledger of the units that were granted from one tenant's quota and may still count against it. */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/Time.h"
#include "tenancy/QuotaMessages.h"
#include "tenancy/QuotaShardRecord.h"

namespace coralhoist::tenancy {

/**
 * Records grants instead of a balance. A batch counts until one window after the last moment at
 * which its units may have run. Units are never added back: a batch only shrinks or ends earlier
 * when the node that holds it settles it.
 *
 * Invariant: at any moment, the count includes all units that were granted by then and that run in
 * some window which contains this moment. A node that grants only while the count stays within the
 * bound therefore keeps to the bound in every window, whenever units are used or settlements
 * arrive.
 */
class QuotaLedger {
public:
    explicit QuotaLedger(Duration window) : _window(window) {}

    /** @return units that may have run in the window that ends now or may still run. */
    std::uint32_t counted(TimePoint now);

    /** @param usableUntil no unit of the batch runs after this time. */
    void add(const BatchId& batch, std::uint32_t units, TimePoint usableUntil);

    /**
     * Reduces a batch to the units that its holder reports as used. An unknown batch no longer
     * counts, so its settlement has no effect.
     * @return units that did not run.
     */
    std::uint32_t settle(const BatchSettlement& settlement, TimePoint now);

    /** @return the time after which the count has dropped by the given number of units. */
    Duration untilFreed(std::uint32_t units, TimePoint now) const;

    /** @return the units that count now, in the form of the shard's record and without an
     * allowance. */
    RecordedQuota recorded(TimePoint now);

    /**
     * Adds the units that another leader recorded.
     * @param writtenBy the record was written at this time or earlier.
     * @param stoppedBy that leader granted nothing after this time.
     */
    void inherit(const RecordedQuota& quota, TimePoint writtenBy, TimePoint stoppedBy);

    /** Appends all batches to the list, with their remaining times as of now. */
    void copyTo(std::vector<CopiedBatch>& list, const TenantName& tenant, TimePoint now);

private:
    struct Batch {
        std::uint32_t units = 0;
        TimePoint usableUntil{};
    };

    void remove(std::map<BatchId, Batch>::iterator batch);

    Duration _window;
    std::map<BatchId, Batch> _batches;
    /** Batches ordered by the time until which they are usable. */
    std::set<std::pair<TimePoint, BatchId>> _ends;
    std::uint32_t _units = 0;
};

/** Ledgers of one shard's tenants. */
using ShardLedgers = std::map<TenantName, QuotaLedger>;

}  // namespace coralhoist::tenancy
