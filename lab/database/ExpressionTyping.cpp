#include "lab/database/ExpressionTyping.h"

#include <QString>
#include <array>
#include <utility>

#include "lab/database/ValueCodec.h"

namespace coralhoist::lab::database {
namespace {

using pgwire::TypeOid;

constexpr const char* kAnonymousColumn = "?column?";

/** Result types of functions. */
constexpr std::array kFunctionTypes = {
    std::pair("count", TypeOid::Int8),           std::pair("length", TypeOid::Int4),
    std::pair("total_changes", TypeOid::Int8),   std::pair("avg", TypeOid::Float8),
    std::pair("random", TypeOid::Float8),        std::pair("pg_is_in_recovery", TypeOid::Bool),
    std::pair("coralhoist_term", TypeOid::Int8), std::pair("pg_backend_pid", TypeOid::Int4),
};

ExpressionType known(TypeOid type) {
    return {type, {}};
}

bool isComparison(const QString& name) {
    return name == "=" || name == "<>" || name == "!=" || name == "<" || name == ">" ||
           name == "<=" || name == ">=";
}

ExpressionType typeOfConstant(const QJsonObject& fields) {
    if (fields.contains("ival")) {
        return known(TypeOid::Int4);
    }
    if (fields.contains("fval")) {
        bool isInteger = false;
        (void)fields["fval"].toObject()["fval"].toString().toLongLong(&isInteger);
        return known(isInteger ? TypeOid::Int8 : TypeOid::Float8);
    }
    return known(fields.contains("boolval") ? TypeOid::Bool : TypeOid::Text);
}

ExpressionType typeOfFunction(const QJsonObject& fields) {
    const std::string name = lastName(fields["funcname"].toArray());
    for (const auto& [functionName, type] : kFunctionTypes) {
        if (name == functionName) {
            return known(type);
        }
    }
    const QJsonArray arguments = fields["args"].toArray();
    if (name == "sum" && !arguments.isEmpty()) {
        const ExpressionType argument = typeOfExpression(arguments[0]);
        const bool isFloat = argument.type == TypeOid::Float8 || argument.type == TypeOid::Float4;
        return known(isFloat ? TypeOid::Float8 : TypeOid::Int8);
    }
    const bool keepsType = name == "min" || name == "max" || name == "abs";
    return keepsType && !arguments.isEmpty() ? typeOfExpression(arguments[0]) : ExpressionType{};
}

ExpressionType firstKnown(const QJsonArray& expressions) {
    for (const auto& expression : expressions) {
        ExpressionType type = typeOfExpression(expression);
        if (type.isKnown()) {
            return type;
        }
    }
    return {};
}

ExpressionType typeOfOperator(const QJsonObject& fields) {
    const QString kind = fields["kind"].toString();
    const QString name = QString::fromStdString(lastName(fields["name"].toArray()));
    if (kind != "AEXPR_OP" || isComparison(name)) {
        return known(TypeOid::Bool);
    }
    if (name == "||") {
        return known(TypeOid::Text);
    }
    ExpressionType left = typeOfExpression(fields["lexpr"]);
    ExpressionType right = typeOfExpression(fields["rexpr"]);
    if (left.type == TypeOid::Float8 || right.type == TypeOid::Float8) {
        return known(TypeOid::Float8);
    }
    if (!left.column.empty() || !right.isKnown()) {
        return left;
    }
    return right;
}

ExpressionType typeOfCase(const QJsonObject& fields) {
    for (const auto& branch : fields["args"].toArray()) {
        ExpressionType type = typeOfExpression(unwrapNode(branch).fields["result"]);
        if (type.isKnown()) {
            return type;
        }
    }
    return typeOfExpression(fields["defresult"]);
}

std::string nameOfExpression(const QJsonValue& expression) {
    const TreeNode node = unwrapNode(expression);
    if (node.type == "ColumnRef") {
        return lastName(node.fields["fields"].toArray());
    }
    if (node.type == "FuncCall") {
        return lastName(node.fields["funcname"].toArray());
    }
    if (node.type == "CoalesceExpr") {
        return "coalesce";
    }
    if (node.type == "CaseExpr") {
        return "case";
    }
    if (node.type == "SubLink") {
        return node.fields["subLinkType"].toString() == "EXISTS_SUBLINK" ? "exists"
                                                                         : kAnonymousColumn;
    }
    if (node.type == "TypeCast") {
        std::string name = nameOfExpression(node.fields["arg"]);
        return name == kAnonymousColumn
                   ? lastName(node.fields["typeName"].toObject()["names"].toArray())
                   : name;
    }
    return kAnonymousColumn;
}

/** Collects parameter types while it walks a parse tree. */
class ParameterCollector {
public:
    std::vector<ExpressionType> take() { return std::move(_types); }

    void visit(const QJsonValue& value) {
        if (value.isArray()) {
            for (const auto& element : value.toArray()) {
                visit(element);
            }
            return;
        }
        const QJsonObject object = value.toObject();
        for (auto member = object.begin(); member != object.end(); ++member) {
            visitNode(member.key(), member.value().toObject());
            visit(member.value());
        }
    }

private:
    void visitNode(const QString& type, const QJsonObject& fields) {
        if (type == "ParamRef") {
            note(fields["number"].toInt(), {});
        } else if (type == "TypeCast") {
            const QJsonArray names = fields["typeName"].toObject()["names"].toArray();
            noteExpression(fields["arg"], known(typeOfName(lastName(names))));
        } else if (type == "A_Expr") {
            noteExpression(fields["lexpr"], typeOfExpression(fields["rexpr"]));
            noteExpression(fields["rexpr"], typeOfExpression(fields["lexpr"]));
            noteList(fields["rexpr"], typeOfExpression(fields["lexpr"]));
        } else if (type == "InsertStmt") {
            noteInsert(fields);
        } else if (type == "UpdateStmt" || type == "onConflictClause") {
            noteAssignments(fields["targetList"].toArray());
        } else if (type == "SelectStmt") {
            noteExpression(fields["limitCount"], known(TypeOid::Int8));
            noteExpression(fields["limitOffset"], known(TypeOid::Int8));
        }
    }

    void noteAssignments(const QJsonArray& targets) {
        for (const auto& target : targets) {
            const QJsonObject fields = unwrapNode(target).fields;
            noteExpression(fields["val"],
                           {TypeOid::Unspecified, fields["name"].toString().toStdString()});
        }
    }

    void noteInsert(const QJsonObject& fields) {
        const QJsonArray columns = fields["cols"].toArray();
        const QJsonObject select = unwrapNode(fields["selectStmt"]).fields;
        for (const auto& row : select["valuesLists"].toArray()) {
            const QJsonArray items = unwrapNode(row).fields["items"].toArray();
            for (qsizetype index = 0; index < items.size() && index < columns.size(); ++index) {
                const QString column = unwrapNode(columns[index]).fields["name"].toString();
                noteExpression(items[index], {TypeOid::Unspecified, column.toStdString()});
            }
        }
    }

    void noteList(const QJsonValue& list, const ExpressionType& type) {
        for (const auto& item : unwrapNode(list).fields["items"].toArray()) {
            noteExpression(item, type);
        }
    }

    void noteExpression(const QJsonValue& expression, const ExpressionType& type) {
        const TreeNode node = unwrapNode(expression);
        if (node.type == "ParamRef") {
            note(node.fields["number"].toInt(), type);
        }
    }

    void note(int number, const ExpressionType& type) {
        // The protocol counts parameters with 16 bits.
        if (number < 1 || number > 0xFFFF) {
            return;
        }
        if (_types.size() < static_cast<std::size_t>(number)) {
            _types.resize(static_cast<std::size_t>(number));
        }
        ExpressionType& known = _types[static_cast<std::size_t>(number) - 1];
        if (!known.isKnown()) {
            known = type;
        }
    }

    std::vector<ExpressionType> _types;
};

}  // namespace

TreeNode unwrapNode(const QJsonValue& wrapped) {
    const QJsonObject object = wrapped.toObject();
    if (object.isEmpty()) {
        return {};
    }
    return {object.begin().key(), object.begin().value().toObject()};
}

std::string lastName(const QJsonArray& names) {
    if (names.isEmpty()) {
        return {};
    }
    return unwrapNode(names.last()).fields["sval"].toString().toStdString();
}

ExpressionType typeOfExpression(const QJsonValue& expression) {
    const TreeNode node = unwrapNode(expression);
    if (node.type == "A_Const") {
        return typeOfConstant(node.fields);
    }
    if (node.type == "ColumnRef") {
        return {TypeOid::Unspecified, lastName(node.fields["fields"].toArray())};
    }
    if (node.type == "TypeCast") {
        return known(typeOfName(lastName(node.fields["typeName"].toObject()["names"].toArray())));
    }
    if (node.type == "FuncCall") {
        return typeOfFunction(node.fields);
    }
    if (node.type == "A_Expr") {
        return typeOfOperator(node.fields);
    }
    if (node.type == "CoalesceExpr") {
        return firstKnown(node.fields["args"].toArray());
    }
    if (node.type == "CaseExpr") {
        return typeOfCase(node.fields);
    }
    const bool isTruth =
        node.type == "BoolExpr" || node.type == "NullTest" ||
        (node.type == "SubLink" && node.fields["subLinkType"].toString() == "EXISTS_SUBLINK");
    return isTruth ? known(TypeOid::Bool) : ExpressionType{};
}

std::vector<TargetExpression> describeTargets(const QJsonArray& targets) {
    std::vector<TargetExpression> described;
    for (const auto& target : targets) {
        const QJsonObject fields = unwrapNode(target).fields;
        const QJsonValue expression = fields["val"];
        const TreeNode node = unwrapNode(expression);
        if (node.type == "ColumnRef" &&
            unwrapNode(node.fields["fields"].toArray().last()).type == "A_Star") {
            return {};
        }
        const std::string alias = fields["name"].toString().toStdString();
        described.push_back(
            {alias.empty() ? nameOfExpression(expression) : alias, typeOfExpression(expression)});
    }
    return described;
}

std::vector<ExpressionType> inferParameterTypes(const QJsonValue& statement) {
    ParameterCollector collector;
    collector.visit(statement);
    return collector.take();
}

}  // namespace coralhoist::lab::database
