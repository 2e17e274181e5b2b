/** The SQL functions of PostgreSQL that the stand-in adds to SQLite. */
#pragma once

#include <sqlite3.h>

#include "lab/database/ExecutionContext.h"

namespace coralhoist::lab::database {

/**
 * Registers now, random, gen_random_uuid, set_config, current_setting, pg_backend_pid, version,
 * pg_is_in_recovery, the functions of log positions, and coralhoist_term.
 * @param context where the context of the running statement stands; outlives the database.
 */
void registerFunctions(sqlite3* database, ExecutionContext** context);

}  // namespace coralhoist::lab::database
