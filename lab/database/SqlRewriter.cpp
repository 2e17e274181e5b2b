#include "lab/database/SqlRewriter.h"

#include <QJsonArray>
#include <QJsonObject>
#include <algorithm>
#include <regex>
#include <vector>

#include "lab/database/ExpressionTyping.h"
#include "lab/database/ValueCodec.h"

namespace coralhoist::lab::database {
namespace {

using pgwire::TypeOid;

/** Text to put in place of a part of the statement. */
struct Replacement {
    std::size_t position = 0;
    std::size_t length = 0;
    std::string text;
};

const std::regex kCastPattern(
    R"(::\s*[a-z_][\w.]*(\s+precision|\s+varying|\s+with(out)?\s+time\s+zone)?)"
    R"((\s*\(\s*\d+(\s*,\s*\d+)?\s*\))?(\s*\[\s*\])?)",
    std::regex::icase);
const std::regex kLockingPattern(
    R"(\s+for\s+(no\s+key\s+update|update|key\s+share|share)(\s+of\s+[\w\s,.]+?)?)"
    R"((\s+nowait|\s+skip\s+locked)?\s*$)",
    std::regex::icase);
const std::regex kSerialPattern(R"(\b(big|small)?serial\b)", std::regex::icase);
const std::regex kFunctionDefaultPattern(R"(\bdefault\s+([a-z_]\w*\s*\([^()]*\)))",
                                         std::regex::icase);

/** @return SQLite's name of a type whose CAST keeps PostgreSQL's meaning, or null. */
const char* castName(TypeOid type) {
    switch (type) {
        case TypeOid::Int2:
        case TypeOid::Int4:
        case TypeOid::Int8:
            return "INTEGER";
        case TypeOid::Float4:
        case TypeOid::Float8:
            return "REAL";
        case TypeOid::Text:
            return "TEXT";
        default:
            return nullptr;
    }
}

class CastCollector {
public:
    CastCollector(const std::string& sql, int offset) : _sql(sql), _offset(offset) {}

    void visit(const QJsonValue& value) {
        if (value.isArray()) {
            for (const auto& element : value.toArray()) {
                visit(element);
            }
            return;
        }
        const QJsonObject object = value.toObject();
        for (auto member = object.begin(); member != object.end(); ++member) {
            const QJsonObject fields = member.value().toObject();
            if (member.key() == "TypeCast") {
                noteCast(fields);
            } else if (member.key() == "A_Expr") {
                noteAge(fields);
            } else if (member.key() == "ColumnRef") {
                noteRowIdentifier(fields);
            }
            visit(member.value());
        }
    }

    std::vector<Replacement> take() {
        std::sort(_replacements.begin(), _replacements.end(),
                  [](const Replacement& left, const Replacement& right) {
                      return left.position < right.position;
                  });
        return std::move(_replacements);
    }

private:
    /** `now() - operand::interval` becomes a call of the stand-in's own function. */
    void noteAge(const QJsonObject& expression) {
        const TreeNode left = unwrapNode(expression["lexpr"]);
        const TreeNode right = unwrapNode(expression["rexpr"]);
        const QJsonObject cast = right.fields;
        const bool isAge = lastName(expression["name"].toArray()) == "-" &&
                           lastName(left.fields["funcname"].toArray()) == "now" &&
                           right.type == "TypeCast" &&
                           lastName(cast["typeName"].toObject()["names"].toArray()) == "interval";
        const TreeNode operand = unwrapNode(cast["arg"]);
        if (!isAge || (operand.type != "ParamRef" && operand.type != "A_Const")) {
            return;
        }
        const int start = left.fields["location"].toInt() - _offset;
        const int operandStart = operand.fields["location"].toInt() - _offset;
        const int castStart = cast["location"].toInt() - _offset;
        std::smatch match;
        if (start < 0 || castStart <= operandStart ||
            !std::regex_search(_sql.cbegin() + castStart, _sql.cend(), match, kCastPattern,
                               std::regex_constants::match_continuous)) {
            return;
        }
        const std::string text = _sql.substr(static_cast<std::size_t>(operandStart),
                                             static_cast<std::size_t>(castStart - operandStart));
        const auto length = static_cast<std::size_t>(castStart - start + match.length());
        _replacements.push_back({static_cast<std::size_t>(start), length,
                                 "coralhoist_now_minus_seconds(" + text + ")"});
    }

    /** SQLite's name for ctid. */
    void noteRowIdentifier(const QJsonObject& column) {
        const QJsonArray names = column["fields"].toArray();
        const int start = column["location"].toInt() - _offset;
        if (names.size() == 1 && lastName(names) == "ctid" && start >= 0) {
            _replacements.push_back({static_cast<std::size_t>(start), 4, "rowid"});
        }
    }

    void noteCast(const QJsonObject& cast) {
        const int location = cast["location"].toInt() - _offset;
        if (location <= 0 || static_cast<std::size_t>(location) >= _sql.size()) {
            return;
        }
        const auto position = static_cast<std::size_t>(location);
        std::smatch match;
        const auto begin = _sql.cbegin() + location;
        if (!std::regex_search(begin, _sql.cend(), match, kCastPattern,
                               std::regex_constants::match_continuous)) {
            return;
        }
        const auto length = static_cast<std::size_t>(match.length());
        const TreeNode operand = unwrapNode(cast["arg"]);
        const QJsonArray names = cast["typeName"].toObject()["names"].toArray();
        const char* name = castName(typeOfName(lastName(names)));
        const bool isPlain = operand.type == "A_Const" || operand.type == "ColumnRef";
        if (!isPlain || name == nullptr || _sql[position - 1] == ')') {
            _replacements.push_back({position, length, ""});
            return;
        }
        const int start = operand.fields["location"].toInt() - _offset;
        _replacements.push_back({static_cast<std::size_t>(std::max(start, 0)), 0, "CAST("});
        _replacements.push_back({position, length, " AS " + std::string(name) + ")"});
    }

    const std::string& _sql;
    int _offset;
    std::vector<Replacement> _replacements;
};

}  // namespace

std::string rewriteExpressions(const std::string& sql, const QJsonValue& tree, int offset) {
    CastCollector collector(sql, offset);
    collector.visit(tree);
    std::string rewritten;
    std::size_t position = 0;
    for (const Replacement& replacement : collector.take()) {
        if (replacement.position < position) {
            continue;
        }
        rewritten.append(sql, position, replacement.position - position);
        rewritten.append(replacement.text);
        position = replacement.position + replacement.length;
    }
    return rewritten.append(sql, position);
}

std::string removeLockingClause(const std::string& sql) {
    return std::regex_replace(sql, kLockingPattern, "");
}

std::string rewriteDataDefinition(const std::string& sql) {
    const std::string withoutSerial = std::regex_replace(sql, kSerialPattern, "INTEGER");
    return std::regex_replace(withoutSerial, kFunctionDefaultPattern, "DEFAULT ($1)");
}

}  // namespace coralhoist::lab::database
