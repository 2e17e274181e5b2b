#include "link/caller/ParseTree.h"

#include <pg_query.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace coralhoist::caller {
namespace {

constexpr const char* kSyntaxError = "42601";
constexpr const char* kStatementTooComplex = "54001";
constexpr const char* kInvalidByteSequence = "22021";

/** Owns the result of pg_query_parse. */
class ParseResult {
public:
    explicit ParseResult(const std::string& sql) : _result(pg_query_parse(sql.c_str())) {}
    ~ParseResult() { pg_query_free_parse_result(_result); }
    ParseResult(const ParseResult&) = delete;
    ParseResult& operator=(const ParseResult&) = delete;

    const PgQueryError* error() const { return _result.error; }
    QByteArray tree() const { return _result.parse_tree; }

private:
    PgQueryParseResult _result;
};

/** libpg_query gives byte offsets of statements; a length of zero means up to the end. */
std::string statementText(const std::string& sql, const QJsonObject& statement) {
    const auto location = static_cast<std::size_t>(statement.value("stmt_location").toInt());
    const auto length = static_cast<std::size_t>(statement.value("stmt_len").toInt());
    if (location >= sql.size()) {
        return {};
    }
    return sql.substr(location, length == 0 ? std::string::npos : length);
}

ParseFailure unreadableTree(const QJsonParseError& error) {
    if (error.error == QJsonParseError::IllegalUTF8String) {
        return {kInvalidByteSequence, "invalid byte sequence for encoding \"UTF8\"", 0};
    }
    return {kStatementTooComplex, "statement is nested too deeply to be classified", 0};
}

}  // namespace

ParsedQuery parseQuery(const std::string& sql) {
    ParsedQuery query;
    const ParseResult result(sql);
    if (const PgQueryError* error = result.error()) {
        query.failure = ParseFailure{kSyntaxError, error->message, error->cursorpos};
        return query;
    }
    QJsonParseError jsonError;
    const QJsonDocument document = QJsonDocument::fromJson(result.tree(), &jsonError);
    if (jsonError.error != QJsonParseError::NoError) {
        query.failure = unreadableTree(jsonError);
        return query;
    }
    const QJsonArray statements = document.object().value("stmts").toArray();
    for (const auto& value : statements) {
        const QJsonObject statement = value.toObject();
        const QJsonObject wrapper = statement.value("stmt").toObject();
        if (wrapper.isEmpty()) {
            continue;
        }
        const QString nodeType = wrapper.constBegin().key();
        query.statements.push_back(
            {statementText(sql, statement), nodeType, wrapper.constBegin().value().toObject()});
    }
    return query;
}

}  // namespace coralhoist::caller
