/** SET and RESET statements. */
#pragma once

#include <QJsonObject>

#include "link/caller/ClassifiedStatement.h"

namespace coralhoist::caller {

/**
 * Fills in kind, command and refusal of a SET or RESET statement.
 * @param node a VariableSetStmt of libpg_query.
 */
void classifySet(const QJsonObject& node, ClassifiedStatement& result);

}  // namespace coralhoist::caller
