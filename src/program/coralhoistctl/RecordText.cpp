#include "program/coralhoistctl/RecordText.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include "settings/SettingValue.h"

namespace coralhoist::ctl {
namespace {

using settings::KeyChange;
using settings::NodeDocument;
using settings::NodePath;

constexpr const char* kInherited = "(inherited)";

std::string timeText(std::int64_t milliseconds) {
    return QDateTime::fromMSecsSinceEpoch(milliseconds, Qt::UTC)
        .toString(Qt::ISODateWithMs)
        .toStdString();
}

QJsonValue optionalJson(const CommandContext& context, const KeyChange& change,
                        const std::optional<settings::SettingValue>& value) {
    if (!value) {
        return QJsonValue::Null;
    }
    return QString::fromStdString(valueText(context, *change.key, *value));
}

std::string optionalText(const CommandContext& context, const KeyChange& change,
                         const std::optional<settings::SettingValue>& value) {
    return value ? valueText(context, *change.key, *value) : kInherited;
}

NodeDocument parseOrEmpty(const std::string& path, const std::string& document) {
    const auto nodePath = NodePath::parse(path);
    if (!nodePath.isOk()) {
        return {};
    }
    const auto parsed = NodeDocument::parse(nodePath.value(), document);
    return parsed.isOk() ? parsed.value() : NodeDocument();
}

}  // namespace

std::string valueText(const CommandContext& context, const settings::KeyDefinition& key,
                      const settings::SettingValue& value) {
    return context.options.showSecrets ? settings::formatValue(value)
                                       : settings::displayValue(key, value);
}

QJsonObject documentJson(const CommandContext& context, const NodePath& path,
                         const std::string& document) {
    QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(document)).object();
    const auto parsed = NodeDocument::parse(path, document);
    if (!parsed.isOk()) {
        return object;
    }
    for (const settings::NamedValue& named : parsed.value().values()) {
        if (named.key->secret) {
            object[QString::fromStdString(named.key->name)] =
                QString::fromStdString(valueText(context, *named.key, named.value));
        }
    }
    return object;
}

QJsonObject recordJson(const CommandContext& context, const gen::SettingsNodeRecord& record) {
    QJsonObject object;
    object["path"] = QString::fromStdString(record.path);
    object["version"] = qint64{record.version};
    object["deleted"] = record.deleted;
    object["author"] = QString::fromStdString(record.author);
    object["operationId"] = QString::fromStdString(record.operationId);
    if (const auto path = NodePath::parse(record.path); path.isOk() && !record.deleted) {
        object["document"] = documentJson(context, path.value(), record.document);
    }
    return object;
}

QJsonObject changeJson(const CommandContext& context, const gen::SettingsChangeEvent& change) {
    QJsonObject object;
    object["seenAt"] = QString::fromStdString(timeText(change.seenAtMilliseconds));
    object["record"] = recordJson(context, change.record);
    if (change.__isset.previous) {
        object["previous"] = recordJson(context, change.previous);
    }
    return object;
}

QJsonArray keyChangesJson(const CommandContext& context, const std::vector<KeyChange>& changes) {
    QJsonArray array;
    for (const KeyChange& change : changes) {
        QJsonObject object;
        object["key"] = QString::fromStdString(change.key->name);
        object["before"] = optionalJson(context, change, change.before);
        object["after"] = optionalJson(context, change, change.after);
        array.append(object);
    }
    return array;
}

void printDocument(const CommandContext& context, const NodePath& path,
                   const std::string& document) {
    const NodeDocument parsed = parseOrEmpty(path.text(), document);
    for (const settings::NamedValue& named : parsed.values()) {
        context.out << "  " << named.key->name << " = "
                    << valueText(context, *named.key, named.value) << "\n";
    }
    if (parsed.values().empty()) {
        context.out << "  (sets nothing; all values are inherited)\n";
    }
}

void printKeyChanges(const CommandContext& context, const std::vector<KeyChange>& changes) {
    for (const KeyChange& change : changes) {
        context.out << "  " << change.key->name << ": "
                    << optionalText(context, change, change.before) << " -> "
                    << optionalText(context, change, change.after) << "\n";
    }
}

void printChange(const CommandContext& context, const gen::SettingsChangeEvent& change) {
    const gen::SettingsNodeRecord& record = change.record;
    context.out << timeText(change.seenAtMilliseconds) << "  " << record.path << "  "
                << versionText(record) << (record.deleted ? "  deleted" : "") << "\n";
    const std::string before = change.__isset.previous ? change.previous.document : std::string();
    printKeyChanges(context, differences(record.path, before, record.document));
    context.out << std::flush;
}

std::string versionText(const gen::SettingsNodeRecord& record) {
    return "version " + std::to_string(record.version) + " by " +
           (record.author.empty() ? "unknown" : record.author);
}

std::vector<KeyChange> differences(const std::string& path, const std::string& before,
                                   const std::string& after) {
    return settings::diffDocuments(parseOrEmpty(path, before), parseOrEmpty(path, after));
}

}  // namespace coralhoist::ctl
