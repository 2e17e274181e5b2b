/** SQL text to parse tree, by PostgreSQL's own parser (libpg_query). */
#pragma once

#include <QJsonObject>
#include <optional>
#include <string>
#include <vector>

#include "link/caller/ClassifiedStatement.h"

namespace coralhoist::caller {

/** One raw statement of a query string. */
struct ParsedStatement {
    std::string sql;
    /** Node type, e.g. "SelectStmt". */
    QString nodeType;
    QJsonObject node;
};

/** The raw statements of a query string, or why there are none. */
struct ParsedQuery {
    std::vector<ParsedStatement> statements;
    std::optional<ParseFailure> failure;
};

/**
 * @param sql one or more statements; an empty string has none.
 * @return the parse trees; the failure carries PostgreSQL's own message.
 */
ParsedQuery parseQuery(const std::string& sql);

}  // namespace coralhoist::caller
