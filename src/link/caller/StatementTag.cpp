#include "link/caller/StatementTag.h"

#include <QByteArray>
#include <QRegularExpression>
#include <QString>
#include <utility>

namespace coralhoist::caller {
namespace {

/** Tags are short; a longer comment is no tag. */
constexpr std::size_t kLongestComment = 4096;
constexpr const char* kTagPrefix = "coralhoist_";

const QRegularExpression& trailingComment() {
    static const QRegularExpression pattern(R"(^/\*([^*]*)\*/[\s;]*$)");
    return pattern;
}

const QRegularExpression& tagEntry() {
    static const QRegularExpression pattern(
        R"((?:^|,)\s*coralhoist_(session_token|request_key)='([^']*)'\s*(?=,|$))");
    return pattern;
}

std::string decoded(const QString& value) {
    return QByteArray::fromPercentEncoding(value.toUtf8()).toStdString();
}

}  // namespace

TaggedStatement extractTag(std::string sql) {
    TaggedStatement tagged;
    tagged.sql = std::move(sql);
    const std::size_t start = tagged.sql.rfind("/*");
    if (start == std::string::npos || tagged.sql.size() - start > kLongestComment ||
        tagged.sql.find(kTagPrefix, start) == std::string::npos) {
        return tagged;
    }
    const QRegularExpressionMatch comment =
        trailingComment().match(QString::fromStdString(tagged.sql.substr(start)));
    if (!comment.hasMatch()) {
        return tagged;
    }
    QRegularExpressionMatchIterator entries = tagEntry().globalMatch(comment.captured(1));
    while (entries.hasNext()) {
        const QRegularExpressionMatch entry = entries.next();
        std::optional<std::string>& target =
            entry.captured(1) == "session_token" ? tagged.sessionToken : tagged.requestKey;
        target = decoded(entry.captured(2));
    }
    if (tagged.sessionToken || tagged.requestKey) {
        tagged.sql.resize(start);
    }
    return tagged;
}

}  // namespace coralhoist::caller
