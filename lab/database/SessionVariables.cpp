#include "lab/database/SessionVariables.h"

#include <QString>

namespace coralhoist::lab::database {
namespace {

std::string normalized(const std::string& name) {
    return QString::fromStdString(name).toLower().toStdString();
}

}  // namespace

SessionVariables::SessionVariables()
    : _defaults{{"application_name", ""},
                {"bytea_output", "hex"},
                {"client_encoding", "UTF8"},
                {"client_min_messages", "notice"},
                {"datestyle", "ISO, MDY"},
                {"default_transaction_isolation", "read committed"},
                {"default_transaction_read_only", "off"},
                {"extra_float_digits", "1"},
                {"idle_in_transaction_session_timeout", "0"},
                {"integer_datetimes", "on"},
                {"intervalstyle", "postgres"},
                {"lock_timeout", "0"},
                {"max_identifier_length", "63"},
                {"role", "none"},
                {"search_path", "public"},
                {"server_encoding", "UTF8"},
                {"server_version", "15.0"},
                {"server_version_num", "150000"},
                {"session_authorization", "postgres"},
                {"standard_conforming_strings", "on"},
                {"statement_timeout", "0"},
                {"synchronous_commit", "on"},
                {"timezone", "UTC"},
                {"transaction_isolation", "read committed"}},
      _values(_defaults) {}

void SessionVariables::setDefault(const std::string& name, const std::string& value) {
    _defaults[normalized(name)] = value;
    _values[normalized(name)] = value;
}

std::optional<std::string> SessionVariables::get(const std::string& name) const {
    const auto found = _values.find(normalized(name));
    return found == _values.end() ? std::nullopt : std::optional(found->second);
}

bool SessionVariables::set(const std::string& name, const std::string& value, bool local,
                           bool inTransaction) {
    const std::string key = normalized(name);
    if (!_values.contains(key) && key.find('.') == std::string::npos) {
        return false;
    }
    remember(inTransaction);
    _values[key] = value;
    if (_before && !local) {
        _lasting[key] = value;
    }
    return true;
}

bool SessionVariables::reset(const std::string& name, bool inTransaction) {
    const std::string key = normalized(name);
    const auto initial = _defaults.find(key);
    return set(key, initial == _defaults.end() ? "" : initial->second, false, inTransaction);
}

void SessionVariables::resetAll(bool inTransaction) {
    remember(inTransaction);
    _values = _defaults;
    if (_before) {
        _lasting = _defaults;
    }
}

void SessionVariables::remember(bool inTransaction) {
    if (inTransaction && !_before) {
        _before = _values;
    }
}

void SessionVariables::endTransaction(bool committed) {
    if (!_before) {
        return;
    }
    _values = *_before;
    if (committed) {
        for (const auto& [name, value] : _lasting) {
            _values[name] = value;
        }
    }
    _before.reset();
    _lasting.clear();
}

int SessionVariables::milliseconds(const std::string& name) const {
    constexpr int kMillisecondsPerSecond = 1000;
    QString text = QString::fromStdString(get(name).value_or("0")).trimmed();
    int unit = 1;
    if (text.endsWith("ms")) {
        text.chop(2);
    } else if (text.endsWith('s')) {
        text.chop(1);
        unit = kMillisecondsPerSecond;
    }
    return text.trimmed().toInt() * unit;
}

}  // namespace coralhoist::lab::database
