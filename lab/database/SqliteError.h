/** SQLSTATEs for SQLite's errors. */
#pragma once

#include <string>

#include "lab/database/SqlValue.h"

namespace coralhoist::lab::database {

/**
 * @param extendedCode SQLite's extended result code.
 * @param message SQLite's message, which alone tells some errors apart.
 */
SqlError describeSqliteError(int extendedCode, const std::string& message);

}  // namespace coralhoist::lab::database
