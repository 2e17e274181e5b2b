#include "lab/database/StatementAnalysis.h"

#include <pg_query.h>

#include <QJsonDocument>
#include <array>
#include <string_view>
#include <utility>

#include "lab/database/SqlRewriter.h"

namespace coralhoist::lab::database {
namespace {

constexpr std::size_t kCacheEntries = 2000;

/** Owns the C structure of libpg_query. */
class ParseResult {
public:
    explicit ParseResult(const std::string& sql) : _result(pg_query_parse(sql.c_str())) {}
    ~ParseResult() { pg_query_free_parse_result(_result); }
    ParseResult(const ParseResult&) = delete;
    ParseResult& operator=(const ParseResult&) = delete;

    const PgQueryParseResult& get() const { return _result; }

private:
    PgQueryParseResult _result;
};

struct NodeClass {
    std::string_view node;
    StatementClass kind;
    std::string_view command;
};

/** Statements whose class follows from the type of their node alone. */
constexpr std::array kNodeClasses = {
    NodeClass{"InsertStmt", StatementClass::Modify, "INSERT"},
    NodeClass{"UpdateStmt", StatementClass::Modify, "UPDATE"},
    NodeClass{"DeleteStmt", StatementClass::Modify, "DELETE"},
    NodeClass{"CreateStmt", StatementClass::DataDefinition, "CREATE TABLE"},
    NodeClass{"CreateTableAsStmt", StatementClass::DataDefinition, "CREATE TABLE AS"},
    NodeClass{"IndexStmt", StatementClass::DataDefinition, "CREATE INDEX"},
    NodeClass{"ViewStmt", StatementClass::DataDefinition, "CREATE VIEW"},
    NodeClass{"AlterTableStmt", StatementClass::DataDefinition, "ALTER TABLE"},
    NodeClass{"RenameStmt", StatementClass::DataDefinition, "ALTER TABLE"},
    NodeClass{"DropStmt", StatementClass::DataDefinition, "DROP TABLE"},
    NodeClass{"TruncateStmt", StatementClass::Modify, "TRUNCATE TABLE"},
    NodeClass{"LockStmt", StatementClass::Lock, "LOCK TABLE"},
    NodeClass{"DiscardStmt", StatementClass::Discard, "DISCARD ALL"},
    NodeClass{"DeallocateStmt", StatementClass::Deallocate, "DEALLOCATE"},
    NodeClass{"VariableShowStmt", StatementClass::Show, "SHOW"},
};

struct TransactionClass {
    std::string_view kind;
    StatementClass statementClass;
    std::string_view command;
};

constexpr std::array kTransactionClasses = {
    TransactionClass{"TRANS_STMT_BEGIN", StatementClass::Begin, "BEGIN"},
    TransactionClass{"TRANS_STMT_START", StatementClass::Begin, "START TRANSACTION"},
    TransactionClass{"TRANS_STMT_COMMIT", StatementClass::Commit, "COMMIT"},
    TransactionClass{"TRANS_STMT_ROLLBACK", StatementClass::Rollback, "ROLLBACK"},
    TransactionClass{"TRANS_STMT_SAVEPOINT", StatementClass::Savepoint, "SAVEPOINT"},
    TransactionClass{"TRANS_STMT_RELEASE", StatementClass::Release, "RELEASE"},
    TransactionClass{"TRANS_STMT_ROLLBACK_TO", StatementClass::RollbackTo, "ROLLBACK"},
};

std::string textField(const QJsonObject& fields, const char* name) {
    return fields[QLatin1String(name)].toString().toStdString();
}

/** @return a constant as SET takes it. */
std::string constantText(const QJsonValue& wrapped) {
    const TreeNode node = unwrapNode(wrapped);
    if (node.type == "TypeCast") {
        return constantText(node.fields["arg"]);
    }
    const QJsonObject fields = node.fields;
    if (fields.contains("ival")) {
        return std::to_string(fields["ival"].toObject()["ival"].toInt());
    }
    if (fields.contains("fval")) {
        return textField(fields["fval"].toObject(), "fval");
    }
    if (fields.contains("boolval")) {
        return fields["boolval"].toObject()["boolval"].toBool() ? "on" : "off";
    }
    return textField(fields["sval"].toObject(), "sval");
}

std::optional<bool> accessMode(const QJsonArray& options) {
    std::optional<bool> readOnly;
    for (const auto& option : options) {
        const QJsonObject fields = unwrapNode(option).fields;
        if (fields["defname"].toString() == "transaction_read_only") {
            readOnly = constantText(fields["arg"]) != "0";
        }
    }
    return readOnly;
}

void collectRelations(const QJsonValue& value, std::vector<std::string>& relations) {
    if (value.isArray()) {
        for (const auto& element : value.toArray()) {
            collectRelations(element, relations);
        }
        return;
    }
    const QJsonObject object = value.toObject();
    if (object.contains("relname")) {
        relations.push_back(textField(object, "relname"));
    }
    for (const auto& member : object) {
        collectRelations(member, relations);
    }
}

void classifyTransaction(const QJsonObject& fields, AnalyzedStatement& statement) {
    const std::string kind = textField(fields, "kind");
    for (const TransactionClass& candidate : kTransactionClasses) {
        if (kind == candidate.kind) {
            statement.kind = candidate.statementClass;
            statement.command = candidate.command;
        }
    }
    statement.name = textField(fields, "savepoint_name");
    statement.readOnly = accessMode(fields["options"].toArray());
}

void classifySet(const QJsonObject& fields, AnalyzedStatement& statement) {
    const QString kind = fields["kind"].toString();
    const QJsonArray arguments = fields["args"].toArray();
    statement.name = textField(fields, "name");
    statement.isLocal = fields["is_local"].toBool();
    statement.command = kind.startsWith("VAR_RESET") ? "RESET" : "SET";
    if (kind == "VAR_SET_MULTI") {
        statement.kind = StatementClass::SetTransaction;
        statement.readOnly = accessMode(arguments);
    } else if (kind == "VAR_RESET_ALL") {
        statement.kind = StatementClass::ResetAll;
    } else if (kind == "VAR_SET_VALUE") {
        statement.kind = StatementClass::Set;
        for (const auto& argument : arguments) {
            statement.value += (statement.value.empty() ? "" : ", ") + constantText(argument);
        }
    } else {
        statement.kind = StatementClass::Reset;
    }
}

bool isSleep(const QJsonObject& fields, AnalyzedStatement& statement) {
    const QJsonArray targets = fields["targetList"].toArray();
    if (targets.size() != 1 || fields.contains("fromClause")) {
        return false;
    }
    const TreeNode call = unwrapNode(unwrapNode(targets[0]).fields["val"]);
    const QJsonArray arguments = call.fields["args"].toArray();
    if (call.type != "FuncCall" || lastName(call.fields["funcname"].toArray()) != "pg_sleep" ||
        arguments.size() != 1) {
        return false;
    }
    TreeNode argument = unwrapNode(arguments[0]);
    if (argument.type == "TypeCast") {
        argument = unwrapNode(argument.fields["arg"]);
    }
    statement.sleepParameter = argument.fields["number"].toInt();
    statement.sleepSeconds =
        argument.type == "A_Const" ? std::atof(constantText(arguments[0]).c_str()) : 0;
    return true;
}

void classifySelect(const QJsonObject& fields, AnalyzedStatement& statement) {
    statement.kind = isSleep(fields, statement) ? StatementClass::Sleep : StatementClass::Query;
    statement.command = "SELECT";
    statement.readsTables = !statement.relations.empty() || fields.contains("fromClause");
    statement.locksRows = fields.contains("lockingClause");
    statement.targets = describeTargets(fields["targetList"].toArray());
    for (const auto& clause : fields["lockingClause"].toArray()) {
        statement.failsIfLocked =
            statement.failsIfLocked || unwrapNode(clause).fields["waitPolicy"] == "LockWaitError";
    }
    if (statement.locksRows) {
        statement.sql = removeLockingClause(statement.sql);
    }
}

void classifyByNode(const TreeNode& node, AnalyzedStatement& statement) {
    for (const NodeClass& candidate : kNodeClasses) {
        if (node.type != QLatin1String(candidate.node.data())) {
            continue;
        }
        statement.kind = candidate.kind;
        statement.command = candidate.command;
        statement.name = textField(node.fields, "name");
    }
    statement.readsTables = statement.kind == StatementClass::Modify;
    if (statement.kind == StatementClass::DataDefinition) {
        statement.sql = rewriteDataDefinition(statement.sql);
    }
    if (node.type == "TruncateStmt" && !statement.relations.empty()) {
        statement.sql = "DELETE FROM \"" + statement.relations.front() + "\"";
    }
    statement.failsIfLocked =
        statement.kind == StatementClass::Lock && node.fields["nowait"].toBool();
    statement.targets = describeTargets(node.fields["returningList"].toArray());
}

StatementPointer analyzeStatement(const QJsonObject& raw, const std::string& whole) {
    const auto start = static_cast<std::size_t>(raw["stmt_location"].toInt());
    const auto length = static_cast<std::size_t>(raw["stmt_len"].toInt());
    auto statement = std::make_shared<AnalyzedStatement>();
    statement->sql = whole.substr(start, length == 0 ? std::string::npos : length);
    const TreeNode node = unwrapNode(raw["stmt"]);
    statement->sql = rewriteExpressions(statement->sql, raw["stmt"], static_cast<int>(start));
    collectRelations(raw["stmt"], statement->relations);
    statement->parameterTypes = inferParameterTypes(raw["stmt"]);
    statement->command = node.type.toStdString();
    if (node.type == "TransactionStmt") {
        classifyTransaction(node.fields, *statement);
    } else if (node.type == "VariableSetStmt") {
        classifySet(node.fields, *statement);
    } else if (node.type == "SelectStmt") {
        classifySelect(node.fields, *statement);
    } else {
        classifyByNode(node, *statement);
    }
    return statement;
}

Analysis parse(const std::string& sql) {
    Analysis analysis;
    const ParseResult result(sql);
    if (result.get().error != nullptr) {
        analysis.error.emplace();
        analysis.error->sqlState = sqlstate::kSyntaxError;
        analysis.error->message = result.get().error->message;
        return analysis;
    }
    const QJsonDocument document = QJsonDocument::fromJson(result.get().parse_tree);
    for (const auto& raw : document["stmts"].toArray()) {
        analysis.statements.push_back(analyzeStatement(raw.toObject(), sql));
    }
    return analysis;
}

}  // namespace

std::shared_ptr<const Analysis> StatementAnalyzer::analyze(const std::string& sql) {
    const auto found = _cache.find(sql);
    if (found != _cache.end()) {
        return found->second;
    }
    // Statements with literals never repeat; forgetting all of them keeps the memory bounded.
    if (_cache.size() >= kCacheEntries) {
        _cache.clear();
    }
    auto analysis = std::make_shared<const Analysis>(parse(sql));
    _cache.emplace(sql, analysis);
    return analysis;
}

}  // namespace coralhoist::lab::database
