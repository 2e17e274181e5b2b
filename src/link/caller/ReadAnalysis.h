/** Decides whether a query certainly changes nothing. */
#pragma once

#include <QJsonValue>

namespace coralhoist::caller {

/**
 * Everything that is not known to be harmless counts as a change: node types and functions are
 * checked against lists of permitted ones.
 *
 * @param node a parse tree of libpg_query, at any level.
 * @return whether the tree consists of harmless nodes and calls only known functions that are
 *         immutable or stable and take no lock.
 */
bool onlyReads(const QJsonValue& node);

/**
 * @param node a parse tree of libpg_query.
 * @return whether it calls a function whose effect outlives the transaction on its connection, e.g.
 *         a session-level advisory lock or a session setting.
 */
bool callsSessionFunction(const QJsonValue& node);

/**
 * @param node a parse tree of libpg_query.
 * @return whether it takes a session-level advisory lock, which can't be kept for a caller.
 */
bool takesSessionLock(const QJsonValue& node);

}  // namespace coralhoist::caller
