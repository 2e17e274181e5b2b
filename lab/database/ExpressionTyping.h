/** Names and types of expressions, read off libpg_query's parse tree. */
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <string>
#include <vector>

#include "lab/database/SqlValue.h"

namespace coralhoist::lab::database {

/** A type that is known from the expression alone, or that of a column of the statement's tables.
 */
struct ExpressionType {
    pgwire::TypeOid type = pgwire::TypeOid::Unspecified;
    /** Not empty: the type is that of this column. */
    std::string column;

    bool isKnown() const { return type != pgwire::TypeOid::Unspecified || !column.empty(); }
};

/** One expression of a select list or RETURNING clause. */
struct TargetExpression {
    /** The name that PostgreSQL would give the column. */
    std::string name;
    ExpressionType type;
};

/** The type name of a node of the parse tree, and its fields. */
struct TreeNode {
    QString type;
    QJsonObject fields;
};

/** @param wrapped an object with one member, named for the node's type. */
TreeNode unwrapNode(const QJsonValue& wrapped);

/** @return the last of a list of String nodes, e.g. of a qualified name. */
std::string lastName(const QJsonArray& names);

/** @return the type of an expression; unknown for what can't be told. */
ExpressionType typeOfExpression(const QJsonValue& expression);

/** @return the expressions of a list of ResTarget nodes; empty when it contains a star. */
std::vector<TargetExpression> describeTargets(const QJsonArray& targets);

/**
 * @param statement the wrapped node of a statement.
 * @return types of $1, $2 ... as far as casts, comparisons, assignments and LIMIT tell them.
 */
std::vector<ExpressionType> inferParameterTypes(const QJsonValue& statement);

}  // namespace coralhoist::lab::database
