#include "settings/SettingValue.h"

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

#include "base/Error.h"
#include "settings/ServerEndpointText.h"

namespace coralhoist::settings {
namespace {

constexpr std::string_view kNone = "none";
constexpr std::string_view kHiddenSecret = "******";

struct DurationUnit {
    std::string_view name;
    Duration length;
};

/** Longest first, so that formatting finds the shortest text. */
constexpr std::array<DurationUnit, 6> kDurationUnits = {{
    {"d", std::chrono::hours(24)},
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"us", std::chrono::microseconds(1)},
}};

Status invalid(std::string message) {
    return {ErrorCode::InvalidArgument, std::move(message)};
}

std::string quoted(std::string_view text) {
    return "'" + std::string(text) + "'";
}

StatusWith<SettingValue> checkDuration(const KeyDefinition& key, std::string_view text) {
    const auto duration = parseDuration(text);
    if (!duration.isOk()) {
        return duration.status();
    }
    const std::int64_t count = duration.value().count();
    if (count < key.range.minimum || count > key.range.maximum) {
        return invalid(quoted(text) + " is out of range; allowed are " +
                       formatDuration(Duration(key.range.minimum)) + " to " +
                       formatDuration(Duration(key.range.maximum)));
    }
    return SettingValue(duration.value());
}

StatusWith<SettingValue> checkInteger(const KeyDefinition& key, std::int64_t number) {
    if (number < key.range.minimum || number > key.range.maximum) {
        return invalid(std::to_string(number) + " is out of range; allowed are " +
                       std::to_string(key.range.minimum) + " to " +
                       std::to_string(key.range.maximum));
    }
    return SettingValue(number);
}

StatusWith<SettingValue> parseInteger(const KeyDefinition& key, std::string_view text) {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return invalid(quoted(text) + " is not a whole number");
    }
    return checkInteger(key, number);
}

StatusWith<SettingValue> checkEnumeration(const KeyDefinition& key, std::string_view text) {
    if (std::find(key.choices.begin(), key.choices.end(), text) == key.choices.end()) {
        return invalid(quoted(text) + " is not one of " + boost::join(key.choices, ", "));
    }
    return SettingValue(std::string(text));
}

StatusWith<SettingValue> checkText(const KeyDefinition& key, std::string_view text) {
    const auto size = static_cast<std::int64_t>(text.size());
    if (size < key.range.minimum || size > key.range.maximum) {
        return invalid("a text of " + std::to_string(size) + " bytes; allowed are " +
                       std::to_string(key.range.minimum) + " to " +
                       std::to_string(key.range.maximum) + " bytes");
    }
    const bool hasControl = std::any_of(text.begin(), text.end(), [](char character) {
        return static_cast<unsigned char>(character) < ' ' && character != '\n' &&
               character != '\t';
    });
    if (hasControl) {
        return invalid("the text has control characters");
    }
    return SettingValue(std::string(text));
}

StatusWith<SettingValue> checkNames(const std::vector<std::string>& elements) {
    std::set<std::string> names;
    for (const std::string& name : elements) {
        if (Status status = checkName(name, "name"); !status.isOk()) {
            return status;
        }
        if (!names.insert(name).second) {
            return invalid("the name " + quoted(name) + " stands twice");
        }
    }
    return SettingValue(elements);
}

StatusWith<SettingValue> checkServers(const std::vector<std::string>& elements) {
    std::vector<ServerEndpoint> servers;
    for (const std::string& element : elements) {
        auto server = parseServerEndpoint(element);
        if (!server.isOk()) {
            return server.status();
        }
        for (const ServerEndpoint& other : servers) {
            if (other.name == server.value().name) {
                return invalid("the server name " + quoted(other.name.value()) + " stands twice");
            }
            if (other.host == server.value().host && other.port == server.value().port) {
                return invalid("the servers " + quoted(other.name.value()) + " and " +
                               quoted(server.value().name.value()) + " have the same address");
            }
        }
        servers.push_back(std::move(server).value());
    }
    return SettingValue(std::move(servers));
}

StatusWith<SettingValue> checkList(const KeyDefinition& key,
                                   const std::vector<std::string>& elements) {
    if (static_cast<std::int64_t>(elements.size()) > key.range.maximum) {
        return invalid("a list of " + std::to_string(elements.size()) + "; at most " +
                       std::to_string(key.range.maximum) + " are allowed");
    }
    return key.type == KeyType::ServerList ? checkServers(elements) : checkNames(elements);
}

StatusWith<SettingValue> readJsonList(const KeyDefinition& key, const QJsonValue& json) {
    if (!json.isArray()) {
        return invalid("a list of texts is expected");
    }
    std::vector<std::string> elements;
    for (const QJsonValue element : json.toArray()) {
        if (!element.isString()) {
            return invalid("a list of texts is expected, and one element is not a text");
        }
        elements.push_back(element.toString().toStdString());
    }
    return checkList(key, elements);
}

StatusWith<SettingValue> readJsonInteger(const KeyDefinition& key, const QJsonValue& json) {
    const double number = json.toDouble();
    if (!json.isDouble() || std::floor(number) != number) {
        return invalid("a whole number is expected");
    }
    constexpr std::int64_t kNotRepresentable = std::numeric_limits<std::int64_t>::min();
    return checkInteger(key, json.toInteger(kNotRepresentable));
}

QJsonArray writeJsonList(const std::vector<std::string>& elements) {
    QJsonArray array;
    for (const std::string& element : elements) {
        array.append(QString::fromStdString(element));
    }
    return array;
}

std::vector<std::string> formatServers(const std::vector<ServerEndpoint>& servers) {
    std::vector<std::string> elements;
    elements.reserve(servers.size());
    for (const ServerEndpoint& server : servers) {
        elements.push_back(formatServerEndpoint(server));
    }
    return elements;
}

struct TextFormatter {
    std::string operator()(NoValue /*none*/) const { return std::string(kNone); }
    std::string operator()(Duration duration) const { return formatDuration(duration); }
    std::string operator()(std::int64_t number) const { return std::to_string(number); }
    std::string operator()(const std::string& text) const { return text; }
    std::string operator()(const std::vector<std::string>& names) const {
        return boost::join(names, ",");
    }
    std::string operator()(const std::vector<ServerEndpoint>& servers) const {
        return boost::join(formatServers(servers), ",");
    }
};

struct JsonWriter {
    QJsonValue operator()(std::int64_t number) const { return QJsonValue(qint64{number}); }
    QJsonValue operator()(const std::vector<std::string>& names) const {
        return writeJsonList(names);
    }
    QJsonValue operator()(const std::vector<ServerEndpoint>& servers) const {
        return writeJsonList(formatServers(servers));
    }
    template <typename Scalar>
    QJsonValue operator()(const Scalar& scalar) const {
        return QString::fromStdString(TextFormatter()(scalar));
    }
};

}  // namespace

StatusWith<Duration> parseDuration(std::string_view text) {
    std::int64_t count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view unitName = text.substr(static_cast<std::size_t>(end - text.data()));
    if (error == std::errc()) {
        for (const DurationUnit& unit : kDurationUnits) {
            const std::int64_t largest = std::numeric_limits<std::int64_t>::max();
            const bool fits = count >= 0 && count <= largest / unit.length.count();
            if (unit.name == unitName && fits) {
                return Duration(count * unit.length.count());
            }
        }
    }
    return invalid(quoted(text) +
                   " is not a duration: a whole number with a unit of us, ms, s, m, h or d, e.g. "
                   "500ms");
}

std::string formatDuration(Duration duration) {
    if (duration == Duration::zero()) {
        return "0s";
    }
    for (const DurationUnit& unit : kDurationUnits) {
        if (duration % unit.length == Duration::zero()) {
            return std::to_string(duration / unit.length).append(unit.name);
        }
    }
    return std::to_string(duration / std::chrono::microseconds(1)) + "us";
}

StatusWith<SettingValue> parseValue(const KeyDefinition& key, std::string_view text) {
    if (key.permitsNone && text == kNone) {
        return SettingValue(NoValue());
    }
    switch (key.type) {
        case KeyType::Duration:
            return checkDuration(key, text);
        case KeyType::Integer:
            return parseInteger(key, text);
        case KeyType::Enumeration:
            return checkEnumeration(key, text);
        case KeyType::Text:
            return checkText(key, text);
        case KeyType::NameList:
        case KeyType::ServerList:
            break;
    }
    std::vector<std::string> elements;
    if (!text.empty()) {
        boost::split(elements, text, boost::is_any_of(","));
    }
    return checkList(key, elements);
}

StatusWith<SettingValue> readJsonValue(const KeyDefinition& key, const QJsonValue& json) {
    if (key.type == KeyType::NameList || key.type == KeyType::ServerList) {
        return readJsonList(key, json);
    }
    if (key.type == KeyType::Integer) {
        const bool none = key.permitsNone && json.toString().toStdString() == kNone;
        return none ? StatusWith<SettingValue>(SettingValue(NoValue()))
                    : readJsonInteger(key, json);
    }
    if (!json.isString()) {
        return invalid("a text is expected, e.g. \"" + formatValue(key.defaultValue) + "\"");
    }
    return parseValue(key, json.toString().toStdString());
}

QJsonValue writeJsonValue(const SettingValue& value) {
    return std::visit(JsonWriter(), value);
}

std::string formatValue(const SettingValue& value) {
    return std::visit(TextFormatter(), value);
}

std::string displayValue(const KeyDefinition& key, const SettingValue& value) {
    std::string text = formatValue(value);
    return key.secret && !text.empty() ? std::string(kHiddenSecret) : text;
}

}  // namespace coralhoist::settings
