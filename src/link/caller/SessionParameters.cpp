#include "link/caller/SessionParameters.h"

#include <QRegularExpression>
#include <QSet>
#include <QString>
#include <algorithm>
#include <utility>

#include "base/Error.h"

namespace coralhoist::caller {
namespace {

/** Form of a parameter's value. */
enum class ParameterForm { Text, Boolean, Integer, TimeSpan, Encoding };

/** Parameters that are kept for a session. */
const std::map<std::string, ParameterForm>& keptParameters() {
    static const std::map<std::string, ParameterForm> parameters = {
        {"application_name", ParameterForm::Text},
        {"bytea_output", ParameterForm::Text},
        {"client_encoding", ParameterForm::Encoding},
        {"client_min_messages", ParameterForm::Text},
        {"datestyle", ParameterForm::Text},
        {"default_text_search_config", ParameterForm::Text},
        {"default_transaction_isolation", ParameterForm::Text},
        {"enable_seqscan", ParameterForm::Boolean},
        {"extra_float_digits", ParameterForm::Integer},
        {"idle_in_transaction_session_timeout", ParameterForm::TimeSpan},
        {"intervalstyle", ParameterForm::Text},
        {"jit", ParameterForm::Boolean},
        {"lc_messages", ParameterForm::Text},
        {"lc_monetary", ParameterForm::Text},
        {"lc_numeric", ParameterForm::Text},
        {"lc_time", ParameterForm::Text},
        {"lock_timeout", ParameterForm::TimeSpan},
        {"plan_cache_mode", ParameterForm::Text},
        {"row_security", ParameterForm::Boolean},
        {"search_path", ParameterForm::Text},
        {"standard_conforming_strings", ParameterForm::Boolean},
        {"statement_timeout", ParameterForm::TimeSpan},
        {"synchronize_seqscans", ParameterForm::Boolean},
        {"timezone", ParameterForm::Text},
        {"work_mem", ParameterForm::Text},
        {"xmloption", ParameterForm::Text},
    };
    return parameters;
}

/** An application's own parameter, e.g. "app.tenant". */
bool isCustomParameter(const std::string& name) {
    static const QRegularExpression pattern("^[a-z_][a-z0-9_$]*(\\.[a-z_][a-z0-9_$]*)+$");
    return pattern.match(QString::fromStdString(name)).hasMatch();
}

bool isBoolean(const std::string& value) {
    static const QSet<QString> words = {"on", "off", "true", "false", "yes", "no", "1", "0"};
    return words.contains(QString::fromStdString(value).toLower());
}

bool isInteger(const std::string& value) {
    bool valid = false;
    QString::fromStdString(value).toInt(&valid);
    return valid;
}

bool hasForm(ParameterForm form, const std::string& value) {
    switch (form) {
        case ParameterForm::Text:
            return true;
        case ParameterForm::Boolean:
            return isBoolean(value);
        case ParameterForm::Integer:
            return isInteger(value);
        case ParameterForm::TimeSpan:
            return parseTimeout(value).has_value();
        case ParameterForm::Encoding:
            return acceptedEncoding(value).has_value();
    }
    return false;
}

/** Shown and reported, but not replayed: connections are shared by services, and a name of its own
 * for each would cost a round trip whenever a connection changes hands. */
bool isForCallerOnly(const std::string& name) {
    return name == "client_encoding" || name == "application_name";
}

std::size_t bytesOf(const std::map<std::string, std::string>& values) {
    std::size_t total = 0;
    for (const auto& [name, value] : values) {
        total += name.size() + value.size();
    }
    return total;
}

}  // namespace

std::optional<std::string> acceptedEncoding(const std::string& value) {
    const QString name = QString::fromStdString(value).toLower().remove('-').remove('_');
    // SQL_ASCII asks for no conversion, which is what happens.
    if (name == "utf8" || name == "unicode" || name == "sqlascii") {
        return "UTF8";
    }
    return std::nullopt;
}

std::optional<Duration> parseTimeout(const std::string& value) {
    static const QRegularExpression pattern(R"(^\s*(\d{1,9})\s*(us|ms|s|min|h|d)?\s*$)");
    static const std::map<QString, Duration> units = {
        {"us", std::chrono::microseconds(1)}, {"ms", std::chrono::milliseconds(1)},
        {"s", std::chrono::seconds(1)},       {"min", std::chrono::minutes(1)},
        {"h", std::chrono::hours(1)},         {"d", std::chrono::hours(24)},
        {"", std::chrono::milliseconds(1)},
    };
    const QRegularExpressionMatch match = pattern.match(QString::fromStdString(value));
    if (!match.hasMatch()) {
        return std::nullopt;
    }
    constexpr Duration kLongest = std::chrono::hours(24 * 365);
    const Duration unit = units.at(match.captured(2));
    const std::int64_t count = match.captured(1).toLongLong();
    return count > kLongest / unit ? kLongest : unit * count;
}

Status SessionParameters::check(const std::string& name, const std::optional<std::string>& value) {
    const auto kept = keptParameters().find(name);
    if (kept == keptParameters().end()) {
        if (isCustomParameter(name)) {
            return Status::ok();
        }
        return {ErrorCode::Unsupported, "parameter \"" + name +
                                            "\" can't be kept for a session; use SET LOCAL in a "
                                            "transaction"};
    }
    if (value && !hasForm(kept->second, *value)) {
        return {ErrorCode::InvalidArgument,
                "invalid value for parameter \"" + name + "\": \"" + *value + "\""};
    }
    return Status::ok();
}

void SessionParameters::applyTo(Values& values, const std::string& name,
                                const std::optional<std::string>& value) const {
    if (value) {
        values[name] = name == "client_encoding" ? "UTF8" : *value;
        return;
    }
    const auto declared = _defaults.find(name);
    if (declared == _defaults.end()) {
        values.erase(name);
    } else {
        values[name] = declared->second;
    }
}

void SessionParameters::set(const std::string& name, const std::optional<std::string>& value) {
    applyTo(_current, name, value);
}

void SessionParameters::resetAll() {
    _current = _defaults;
}

void SessionParameters::declareDefaults() {
    _defaults = _current;
    _committed = _current;
}

void SessionParameters::commit() {
    _committed = _current;
    _savepoints.clear();
}

void SessionParameters::rollback() {
    _current = _committed;
    _savepoints.clear();
}

void SessionParameters::applySavepoint(const SavepointCommand& command) {
    if (command.action == SavepointCommand::Action::Define) {
        _savepoints.push_back({command.name, _current});
        return;
    }
    const auto found =
        std::find_if(_savepoints.rbegin(), _savepoints.rend(),
                     [&command](const Savepoint& each) { return each.name == command.name; });
    if (found == _savepoints.rend()) {
        return;
    }
    const auto position = std::prev(found.base());
    if (command.action == SavepointCommand::Action::Release) {
        _savepoints.erase(position, _savepoints.end());
        return;
    }
    // The savepoint itself stays defined.
    _current = position->values;
    _savepoints.erase(std::next(position), _savepoints.end());
}

std::optional<std::string> SessionParameters::value(const std::string& name) const {
    const auto found = _current.find(name);
    return found == _current.end() ? std::nullopt : std::optional(found->second);
}

std::vector<contract::SessionParameter> SessionParameters::all() const {
    std::vector<contract::SessionParameter> parameters;
    for (const auto& [name, value] : _current) {
        if (!isForCallerOnly(name)) {
            parameters.push_back({name, value});
        }
    }
    return parameters;
}

std::size_t SessionParameters::bytes() const {
    return bytesOf(_current);
}

}  // namespace coralhoist::caller
