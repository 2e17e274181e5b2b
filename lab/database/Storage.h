/** The data of one server. */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/database/LogEntry.h"
#include "lab/database/SqliteDatabase.h"

namespace coralhoist::lab::database {

/**
 * Two databases: `committed` holds what log entries have made visible and answers reads; `working`
 * holds the one open write transaction of a primary. A read therefore never sees another
 * transaction's uncommitted data, and a writer sees its own. `working` exists on primaries only.
 */
class Storage {
public:
    SqliteDatabase& committed() { return _committed; }
    SqliteDatabase& working() { return *_working; }

    /** Applies an entry to `committed`. An error means that the replay diverged. */
    std::optional<SqlError> apply(const LogEntry& entry);

    /** Creates `working` from `committed`. */
    void becomePrimary();

    /** Drops `working` and the transaction open in it. */
    void becomeReplica() { _working.reset(); }

    /** Replaces `committed` by another server's. */
    void copyFrom(Storage& source);

    /** Makes `committed` equal to `working`, which has no transaction open. */
    void rebuildCommitted();

private:
    SqliteDatabase _committed;
    std::unique_ptr<SqliteDatabase> _working;
};

}  // namespace coralhoist::lab::database
