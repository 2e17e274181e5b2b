#include "link/caller/SessionStartup.h"

#include <QRegularExpression>
#include <QString>
#include <QStringList>
#include <QtEndian>
#include <algorithm>
#include <utility>
#include <vector>

#include "base/Error.h"
#include "link/caller/SessionToken.h"

namespace coralhoist::caller {
namespace {

constexpr const char* kProtocolOptionPrefix = "_pq_.";
constexpr const char* kTokenParameter = "coralhoist.session_token";

constexpr const char* kInvalidCatalogName = "3D000";
constexpr const char* kInvalidAuthorization = "28000";
constexpr const char* kInvalidParameterValue = "22023";
constexpr const char* kFeatureNotSupported = "0A000";
constexpr const char* kSyntaxError = "42601";
constexpr const char* kTooManyConnections = "53300";
constexpr const char* kCannotConnectNow = "57P03";

using Refusal = std::optional<pgwire::ResponseFields>;

pgwire::ResponseFields fatal(std::string sqlState, std::string message) {
    pgwire::ResponseFields fields;
    fields.severity = pgwire::Severity::Fatal;
    fields.sqlState = std::move(sqlState);
    fields.message = std::move(message);
    return fields;
}

bool isConnectionParameter(const std::string& name) {
    return name == "user" || name == "database" || name == "options" || name == "replication" ||
           name.starts_with(kProtocolOptionPrefix);
}

Refusal setToken(const std::string& text, SessionState& state) {
    const StatusWith<SessionToken> token = SessionToken::fromText(text);
    if (!token.isOk()) {
        return fatal(kInvalidParameterValue, token.status().message());
    }
    if (token.value().group != state.group) {
        return fatal(kInvalidParameterValue, "session token belongs to another database group");
    }
    state.token = token.value().opTime;
    return std::nullopt;
}

Refusal setParameter(const std::string& rawName, const std::string& value, SessionState& state) {
    const std::string name = QString::fromStdString(rawName).toLower().toStdString();
    if (name == kTokenParameter) {
        return setToken(value, state);
    }
    const Status status = SessionParameters::check(name, value);
    if (!status.isOk()) {
        const bool unsupported = status.code() == ErrorCode::Unsupported;
        return fatal(unsupported ? kFeatureNotSupported : kInvalidParameterValue, status.message());
    }
    state.parameters.set(name, value);
    return std::nullopt;
}

/** Splits at white space; a backslash takes the next character as it is. */
QStringList splitOptions(const QString& options) {
    static const QRegularExpression word(R"((?:\\.|[^\s\\])+)");
    static const QRegularExpression escape(R"(\\(.))");
    QStringList words;
    QRegularExpressionMatchIterator matches = word.globalMatch(options);
    while (matches.hasNext()) {
        words.append(matches.next().captured(0).replace(escape, "\\1"));
    }
    return words;
}

/** Takes `-c name=value`, `-cname=value` and `--name=value`. */
Refusal applyOptions(const std::string& options, SessionState& state) {
    QStringList words = splitOptions(QString::fromStdString(options));
    while (!words.isEmpty()) {
        QString word = words.takeFirst();
        if (word == "-c" && !words.isEmpty()) {
            word = words.takeFirst();
        } else if (word.startsWith("-c") || word.startsWith("--")) {
            word = word.mid(2);
        } else {
            return fatal(kSyntaxError, "options accepts only -c name=value");
        }
        const qsizetype equals = word.indexOf('=');
        if (equals <= 0) {
            return fatal(kSyntaxError, "options accepts only -c name=value");
        }
        const QString name = word.left(equals).replace('-', '_');
        if (auto refusal =
                setParameter(name.toStdString(), word.mid(equals + 1).toStdString(), state)) {
            return refusal;
        }
    }
    return std::nullopt;
}

Refusal applyParameters(const pgwire::StartupMessage& message, SessionState& state) {
    if (auto refusal = applyOptions(message.parameter("options").value_or(""), state)) {
        return refusal;
    }
    for (const pgwire::StartupParameter& parameter : message.parameters) {
        if (isConnectionParameter(parameter.name)) {
            continue;
        }
        if (auto refusal = setParameter(parameter.name, parameter.value, state)) {
            return refusal;
        }
    }
    if (state.parameters.bytes() > SessionParameters::kLargestBytes) {
        return fatal(kInvalidParameterValue, "too many session parameters");
    }
    state.parameters.declareDefaults();
    return std::nullopt;
}

bool asksForReplication(const pgwire::StartupMessage& message) {
    const std::string value = message.parameter("replication").value_or("off");
    return value != "off" && value != "false" && value != "no" && value != "0";
}

}  // namespace

std::optional<pgwire::ResponseFields> openSession(const pgwire::StartupMessage& message,
                                                  const CallerContext& context,
                                                  SessionState& state) {
    state.user = message.parameter("user").value_or("");
    if (state.user.empty()) {
        return fatal(kInvalidAuthorization, "no user name in the startup packet");
    }
    if (asksForReplication(message)) {
        return fatal(kFeatureNotSupported, "replication connections are not supported");
    }
    state.group = GroupName(message.parameter("database").value_or(state.user));
    state.service = ServiceName(message.parameter("application_name").value_or(""));
    if (!context.settings) {
        return fatal(kCannotConnectNow,
                     "this proxy has started and does not know fresh settings yet; try again soon");
    }
    const auto settings = context.settings->service(state.group, state.service);
    if (!settings) {
        return fatal(kInvalidCatalogName,
                     "database group \"" + state.group.value() + "\" does not exist");
    }
    if (auto refusal = applyParameters(message, state)) {
        return refusal;
    }
    const Status admitted =
        context.directory.admit(state.group, state.service, settings->connectionLimit);
    if (!admitted.isOk()) {
        return fatal(kTooManyConnections, admitted.message());
    }
    return std::nullopt;
}

std::string negotiateProtocol(const pgwire::StartupMessage& message) {
    std::vector<std::string> unknownOptions;
    for (const pgwire::StartupParameter& parameter : message.parameters) {
        if (parameter.name.starts_with(kProtocolOptionPrefix)) {
            unknownOptions.push_back(parameter.name);
        }
    }
    if (message.minorVersion == 0 && unknownOptions.empty()) {
        return {};
    }
    pgwire::BackendMessageWriter writer;
    writer.negotiateProtocolVersion(0, unknownOptions);
    return writer.take();
}

}  // namespace coralhoist::caller
