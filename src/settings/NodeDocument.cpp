#include "settings/NodeDocument.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonParseError>
#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <utility>

#include "base/Error.h"
#include "settings/KeyRegistry.h"
#include "settings/SettingValue.h"

namespace coralhoist::settings {
namespace {

Status invalid(std::string message) {
    return {ErrorCode::InvalidArgument, std::move(message)};
}

/** Reads one member of the JSON object into the document. */
Status readMember(const NodePath& path, const std::string& name, const QJsonValue& json,
                  NodeDocument& document) {
    const auto key = KeyRegistry::instance().lookUp(name);
    if (!key.isOk()) {
        return invalid(path.text() + ": " + key.status().message());
    }
    auto value = readJsonValue(*key.value(), json);
    if (!value.isOk()) {
        return invalid(path.text() + ": " + name + ": " + value.status().message());
    }
    return document.set(path, *key.value(), std::move(value).value());
}

bool hasSmallerName(const NamedValue& left, const KeyDefinition& key) {
    return left.key->name < key.name;
}

}  // namespace

StatusWith<NodeDocument> NodeDocument::parse(const NodePath& path, std::string_view text) {
    NodeDocument document;
    if (text.empty()) {
        return document;
    }
    if (text.size() > kLongestDocument) {
        return invalid(path.text() + ": the document has " + std::to_string(text.size()) +
                       " bytes; at most " + std::to_string(kLongestDocument) + " are allowed");
    }
    QJsonParseError error;
    const auto bytes = QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
    const QJsonDocument json = QJsonDocument::fromJson(bytes, &error);
    if (!json.isObject()) {
        const std::string reason = error.error == QJsonParseError::NoError
                                       ? "it is not an object"
                                       : error.errorString().toStdString();
        return invalid(path.text() + ": the document is not a JSON object: " + reason);
    }
    std::vector<std::string> faults;
    const QJsonObject object = json.object();
    for (auto member = object.begin(); member != object.end(); ++member) {
        const Status status =
            readMember(path, member.key().toStdString(), member.value(), document);
        if (!status.isOk()) {
            faults.push_back(status.message());
        }
    }
    if (!faults.empty()) {
        return invalid(boost::join(faults, "; "));
    }
    return document;
}

const SettingValue* NodeDocument::find(const KeyDefinition& key) const {
    const auto position = std::lower_bound(_values.begin(), _values.end(), key, hasSmallerName);
    return position != _values.end() && position->key == &key ? &position->value : nullptr;
}

Status NodeDocument::set(const NodePath& path, const KeyDefinition& key, SettingValue value) {
    if (!key.levels.contains(path.level())) {
        return invalid(path.text() + ": " + key.name + " can't be set on a node of level " +
                       std::string(levelName(path.level())) + "; allowed: " + key.levels.text());
    }
    const auto position = std::lower_bound(_values.begin(), _values.end(), key, hasSmallerName);
    if (position != _values.end() && position->key == &key) {
        position->value = std::move(value);
    } else {
        _values.insert(position, NamedValue{&key, std::move(value)});
    }
    return Status::ok();
}

bool NodeDocument::unset(const KeyDefinition& key) {
    const auto removed =
        std::erase_if(_values, [&key](const NamedValue& named) { return named.key == &key; });
    return removed != 0;
}

std::string NodeDocument::text() const {
    QJsonObject object;
    for (const NamedValue& named : _values) {
        object.insert(QString::fromStdString(named.key->name), writeJsonValue(named.value));
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace coralhoist::settings
