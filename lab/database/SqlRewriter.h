/** Turns PostgreSQL's spelling into SQLite's where the two differ. */
#pragma once

#include <QJsonValue>
#include <string>

namespace coralhoist::lab::database {

/**
 * Removes `::type` casts. Where the operand is a plain constant or column and the type a number or
 * text, CAST takes their place; parameters are converted when they are bound. `ctid` becomes rowid,
 * and `now() - operand::interval` takes the operand as seconds.
 * @param sql the text of one statement.
 * @param tree the wrapped node of the statement.
 * @param offset position of sql in the text that was parsed; the tree's locations count from there.
 */
std::string rewriteExpressions(const std::string& sql, const QJsonValue& tree, int offset);

/** @return sql without its closing FOR UPDATE or FOR SHARE clause. */
std::string removeLockingClause(const std::string& sql);

/** @return a CREATE or ALTER statement with serial types and function defaults as SQLite has them.
 */
std::string rewriteDataDefinition(const std::string& sql);

}  // namespace coralhoist::lab::database
