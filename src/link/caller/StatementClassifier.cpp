#include "link/caller/StatementClassifier.h"

#include <QJsonArray>
#include <QJsonObject>
#include <unordered_map>
#include <utility>

#include "link/caller/ParseTree.h"
#include "link/caller/ReadAnalysis.h"
#include "link/caller/SettingStatement.h"

namespace coralhoist::caller {
namespace {

using contract::StatementKind;

constexpr int kCursorOptionHold = 0x0020;

void refuse(ClassifiedStatement& result, std::string reason) {
    result.kind = StatementKind::Unsupported;
    result.refusal = std::move(reason);
}

bool isReadOnlyOption(const QJsonObject& option) {
    const QJsonObject constant = option.value("arg").toObject().value("A_Const").toObject();
    return option.value("defname").toString() == "transaction_read_only" &&
           constant.value("ival").toObject().value("ival").toInt() == 1;
}

StatementKind beginKind(const QJsonObject& node) {
    const QJsonArray options = node.value("options").toArray();
    bool readOnly = false;
    for (const auto& value : options) {
        const QJsonObject option = value.toObject().value("DefElem").toObject();
        if (option.value("defname").toString() == "transaction_read_only") {
            readOnly = isReadOnlyOption(option);
        }
    }
    return readOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
}

void classifySavepoint(const QJsonObject& node, SavepointCommand::Action action,
                       ClassifiedStatement& result) {
    result.kind = StatementKind::Savepoint;
    result.command =
        SavepointCommand{action, node.value("savepoint_name").toString().toStdString()};
}

void classifyTransaction(const QJsonObject& node, ClassifiedStatement& result) {
    const QString kind = node.value("kind").toString();
    result.returnsRows = false;
    if (node.value("chain").toBool()) {
        refuse(result, "AND CHAIN is not supported; use COMMIT and BEGIN");
    } else if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        result.kind = beginKind(node);
    } else if (kind == "TRANS_STMT_COMMIT") {
        result.kind = StatementKind::Commit;
    } else if (kind == "TRANS_STMT_ROLLBACK") {
        result.kind = StatementKind::Rollback;
    } else if (kind == "TRANS_STMT_SAVEPOINT") {
        classifySavepoint(node, SavepointCommand::Action::Define, result);
    } else if (kind == "TRANS_STMT_RELEASE") {
        classifySavepoint(node, SavepointCommand::Action::Release, result);
    } else if (kind == "TRANS_STMT_ROLLBACK_TO") {
        classifySavepoint(node, SavepointCommand::Action::RollbackTo, result);
    } else {
        refuse(result, "two-phase commit is not supported");
    }
}

/** Statements that may run anywhere inside an EXPLAIN without ANALYZE. */
bool explainRuns(const QJsonObject& node) {
    const QJsonArray options = node.value("options").toArray();
    for (const auto& value : options) {
        if (value.toObject().value("DefElem").toObject().value("defname").toString() == "analyze") {
            return true;
        }
    }
    return false;
}

/** A temporary table must be gone at commit: the next transaction may use another connection. */
void classifyTemporary(const QJsonObject& relation, const QString& onCommit,
                       ClassifiedStatement& result) {
    if (relation.value("relpersistence").toString() != "t") {
        return;
    }
    result.changesSession = true;
    if (onCommit != "ONCOMMIT_DROP") {
        refuse(result, "temporary objects are supported as tables with ON COMMIT DROP only");
    }
}

void classifySelect(const QJsonObject& node, ClassifiedStatement& result) {
    const QJsonObject into = node.value("intoClause").toObject();
    classifyTemporary(into.value("rel").toObject(), into.value("onCommit").toString(), result);
    if (result.kind == StatementKind::Unsupported) {
        return;
    }
    result.kind = onlyReads(node) ? StatementKind::Read : StatementKind::Write;
}

void classifyCreate(const QString& type, const QJsonObject& node, ClassifiedStatement& result) {
    result.returnsRows = false;
    if (type == "CreateStmt") {
        classifyTemporary(node.value("relation").toObject(), node.value("oncommit").toString(),
                          result);
    } else if (type == "CreateTableAsStmt") {
        const QJsonObject into = node.value("into").toObject();
        classifyTemporary(into.value("rel").toObject(), into.value("onCommit").toString(), result);
    } else {
        const QString relation = type == "ViewStmt" ? "view" : "sequence";
        classifyTemporary(node.value(relation).toObject(), {}, result);
    }
}

void classifyModification(const QJsonObject& node, ClassifiedStatement& result) {
    result.kind = StatementKind::Write;
    result.returnsRows = node.contains("returningList");
}

void classifyDiscard(const QJsonObject& node, ClassifiedStatement& result) {
    result.returnsRows = false;
    const QString target = node.value("target").toString();
    if (target == "DISCARD_ALL") {
        result.command = DiscardAll{};
        return;
    }
    const QString word = target == "DISCARD_TEMP" ? "TEMP" : target.mid(QString("DISCARD_").size());
    result.command = NoOperation{"DISCARD " + word.toStdString()};
}

void classifyDeallocate(const QJsonObject& node, ClassifiedStatement& result) {
    result.returnsRows = false;
    DeallocateStatement command;
    if (node.contains("name")) {
        command.name = node.value("name").toString().toStdString();
    }
    result.command = std::move(command);
}

/** Statement types that are refused whatever they say. */
const char* refusalOf(const QString& type) {
    static const std::unordered_map<std::string, const char*> reasons = {
        {"CopyStmt", "COPY is not supported"},
        {"ListenStmt", "LISTEN is not supported: notifications are not delivered"},
        {"PrepareStmt", "PREPARE in SQL is not supported; use the extended query protocol"},
        {"ExecuteStmt", "EXECUTE in SQL is not supported; use the extended query protocol"},
        {"LoadStmt", "LOAD is not supported: it would change one back-end connection only"},
    };
    const auto found = reasons.find(type.toStdString());
    return found == reasons.end() ? nullptr : found->second;
}

bool classifySessionStatement(const QString& type, const QJsonObject& node,
                              ClassifiedStatement& result) {
    if (type == "TransactionStmt") {
        classifyTransaction(node, result);
    } else if (type == "VariableSetStmt") {
        classifySet(node, result);
    } else if (type == "VariableShowStmt") {
        result.kind = StatementKind::Read;
        result.command = ShowParameter{node.value("name").toString().toLower().toStdString()};
    } else if (type == "DiscardStmt") {
        classifyDiscard(node, result);
    } else if (type == "DeallocateStmt") {
        classifyDeallocate(node, result);
    } else if (type == "UnlistenStmt") {
        result.returnsRows = false;
        result.command = NoOperation{"UNLISTEN"};
    } else {
        return false;
    }
    return true;
}

void classifyOther(const QString& type, const QJsonObject& node, ClassifiedStatement& result) {
    if (type == "SelectStmt") {
        classifySelect(node, result);
    } else if (type == "ExplainStmt") {
        result.kind = explainRuns(node) ? StatementKind::Write : StatementKind::Read;
    } else if (type == "InsertStmt" || type == "UpdateStmt" || type == "DeleteStmt" ||
               type == "MergeStmt") {
        classifyModification(node, result);
    } else if (type == "CreateStmt" || type == "CreateTableAsStmt" || type == "ViewStmt" ||
               type == "CreateSeqStmt") {
        classifyCreate(type, node, result);
    } else if (type == "DeclareCursorStmt") {
        result.returnsRows = false;
        if ((node.value("options").toInt() & kCursorOptionHold) != 0) {
            refuse(result, "cursors WITH HOLD are not supported");
        }
    }
}

ClassifiedStatement classifyStatement(ParsedStatement parsed) {
    ClassifiedStatement result;
    result.sql = std::move(parsed.sql);
    if (const char* reason = refusalOf(parsed.nodeType)) {
        refuse(result, reason);
        return result;
    }
    if (classifySessionStatement(parsed.nodeType, parsed.node, result)) {
        return result;
    }
    classifyOther(parsed.nodeType, parsed.node, result);
    if (takesSessionLock(parsed.node)) {
        refuse(result, "session-level advisory locks are not supported; use pg_advisory_xact_lock");
    }
    result.changesSession = result.changesSession || callsSessionFunction(parsed.node);
    return result;
}

}  // namespace

Classification classifyQuery(const std::string& sql) {
    Classification classification;
    ParsedQuery query = parseQuery(sql);
    classification.failure = std::move(query.failure);
    for (ParsedStatement& statement : query.statements) {
        classification.statements.push_back(classifyStatement(std::move(statement)));
    }
    return classification;
}

ClassificationPointer StatementClassifier::classify(const std::string& sql) {
    const auto found = _index.find(sql);
    if (found != _index.end()) {
        ++_hits;
        _entries.splice(_entries.begin(), _entries, found->second);
        return found->second->classification;
    }
    ++_misses;
    auto classification = std::make_shared<const Classification>(classifyQuery(sql));
    remember(sql, classification);
    return classification;
}

void StatementClassifier::remember(const std::string& sql, ClassificationPointer classification) {
    if (sql.size() > _limits.textBytes || _limits.entries == 0) {
        return;
    }
    if (_entries.size() >= _limits.entries) {
        _index.erase(_entries.back().sql);
        _entries.pop_back();
    }
    _entries.push_front({sql, std::move(classification)});
    _index.emplace(_entries.front().sql, _entries.begin());
}

}  // namespace coralhoist::caller
