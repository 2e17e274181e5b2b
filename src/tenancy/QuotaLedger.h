/** What was granted of one tenant's quota and may still count. */
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
 * Remembers grants instead of a balance. A batch counts until a window after its units may last
 * have run; nothing is ever added back, a batch only becomes smaller or ends earlier when the node
 * that has it settles it.
 *
 * Invariant: units that were granted by any moment and run in a window that holds this moment are
 * counted then. So whoever grants only while the count stays within the bound keeps it in every
 * window, whenever units are used or settlements come.
 */
class QuotaLedger {
public:
    explicit QuotaLedger(Duration window) : _window(window) {}

    /** @return units that ran in the window that ends now or may still run. */
    std::uint32_t counted(TimePoint now);

    /** @param usableUntil no unit of the batch runs later. */
    void add(const BatchId& batch, std::uint32_t units, TimePoint usableUntil);

    /**
     * Takes a node's word for one of its batches; of an unknown one nothing is left to count.
     * @return units that did not run.
     */
    std::uint32_t settle(const BatchSettlement& settlement, TimePoint now);

    /** @return after which time so many units fewer count. */
    Duration untilFreed(std::uint32_t units, TimePoint now) const;

    /** @return what counts now, for the shard's record; without an allowance. */
    RecordedQuota recorded(TimePoint now);

    /**
     * Counts what another leader recorded.
     * @param writtenBy the record was not written later.
     * @param stoppedBy that leader granted nothing later.
     */
    void inherit(const RecordedQuota& quota, TimePoint writtenBy, TimePoint stoppedBy);

    /** Adds all batches to the list, as of now. */
    void copyTo(std::vector<CopiedBatch>& list, const TenantName& tenant, TimePoint now);

private:
    struct Batch {
        std::uint32_t units = 0;
        TimePoint usableUntil{};
    };

    void remove(std::map<BatchId, Batch>::iterator batch);

    Duration _window;
    std::map<BatchId, Batch> _batches;
    /** Batches by the time until which they are usable. */
    std::set<std::pair<TimePoint, BatchId>> _ends;
    std::uint32_t _units = 0;
};

/** The ledgers of one shard's tenants. */
using ShardLedgers = std::map<TenantName, QuotaLedger>;

}  // namespace coralhoist::tenancy
