#include "lab/database/Storage.h"

namespace coralhoist::lab::database {

std::optional<SqlError> Storage::apply(const LogEntry& entry) {
    if (entry.statements.empty()) {
        return std::nullopt;
    }
    if (auto error = _committed.run("BEGIN")) {
        return error;
    }
    ExecutionContext context;
    context.nowMicroseconds = entry.nowMicroseconds;
    for (const LoggedStatement& logged : entry.statements) {
        context.random.seed(logged.randomSeed);
        const QueryOutcome outcome =
            _committed.execute(*logged.statement, logged.parameters, context);
        if (outcome.error) {
            (void)_committed.run("ROLLBACK");
            return outcome.error;
        }
    }
    return _committed.run("COMMIT");
}

void Storage::becomePrimary() {
    _working = std::make_unique<SqliteDatabase>();
    (void)_working->copyFrom(_committed);
}

void Storage::copyFrom(Storage& source) {
    _working.reset();
    (void)_committed.copyFrom(source._committed);
}

void Storage::rebuildCommitted() {
    (void)_committed.copyFrom(*_working);
}

}  // namespace coralhoist::lab::database
