#include "link/platform/ObjectCodec.h"

#include <QJsonArray>
#include <QJsonDocument>

#include "base/Error.h"

namespace coralhoist::platform {
namespace {

constexpr char kEscape = '.';
/** Characters that the percent encoding leaves alone but DNS names do not bear everywhere. */
constexpr const char* kAlsoEscaped = "ABCDEFGHIJKLMNOPQRSTUVWXYZ-._~";

constexpr const char* kLeavingPhase = "Leaving";
constexpr const char* kLivePhase = "Live";

QJsonArray encodeOperations(const std::vector<RecentOperation>& operations) {
    QJsonArray array;
    for (const RecentOperation& operation : operations) {
        array.append(QJsonObject{
            {"operationId", QString::fromStdString(operation.operationId)},
            {"resourceVersion", QString::number(operation.version)},
        });
    }
    return array;
}

std::vector<RecentOperation> decodeOperations(const QJsonArray& array) {
    std::vector<RecentOperation> operations;
    for (const QJsonValue value : array) {
        const QJsonObject entry = value.toObject();
        operations.push_back({entry["operationId"].toString().toStdString(),
                              entry["resourceVersion"].toString().toULongLong()});
    }
    return operations;
}

std::string compactDocument(const QJsonValue& value) {
    if (value.isObject()) {
        return QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact).toStdString();
    }
    // Not an object: kept as text, so that the validation of settings refuses it by name.
    return value.toVariant().toString().toStdString();
}

Status missingMetadata() {
    return {ErrorCode::ProtocolViolation, "object without metadata.name or resourceVersion"};
}

QJsonObject makeObject(const char* kind, const QString& name, const QJsonObject& spec) {
    return QJsonObject{
        {"apiVersion", kApiVersion},
        {"kind", kind},
        {"metadata", QJsonObject{{"name", name}}},
        {"spec", spec},
    };
}

}  // namespace

QString objectNameOfPath(const std::string& path) {
    const QString text = QString::fromStdString(path);
    const QByteArray encoded = text.toUtf8().toPercentEncoding({}, kAlsoEscaped, kEscape);
    return QString::fromLatin1(encoded.toLower());
}

std::string pathOfObjectName(const QString& name) {
    return QByteArray::fromPercentEncoding(name.toLatin1(), kEscape).toStdString();
}

std::optional<std::uint64_t> resourceVersionOf(const QJsonObject& object) {
    bool isNumber = false;
    const QString text = object["metadata"].toObject()["resourceVersion"].toString();
    const std::uint64_t version = text.toULongLong(&isNumber);
    return isNumber ? std::optional(version) : std::nullopt;
}

QString objectNameOf(const QJsonObject& object) {
    return object["metadata"].toObject()["name"].toString();
}

StatusWith<StoredNode> decodeNode(const QJsonObject& object) {
    const auto version = resourceVersionOf(object);
    const QString name = objectNameOf(object);
    if (!version || name.isEmpty()) {
        return missingMetadata();
    }
    const QJsonObject spec = object["spec"].toObject();
    StoredNode node;
    node.record.path = pathOfObjectName(name);
    node.record.version = *version;
    node.record.deleted = spec["deleted"].toBool(false);
    if (!node.record.deleted) {
        node.record.document = compactDocument(spec["document"]);
    }
    node.record.operationId = spec["operationId"].toString().toStdString();
    node.record.author = spec["author"].toString().toStdString();
    node.recentOperations = decodeOperations(spec["recentOperations"].toArray());
    return node;
}

StatusWith<QJsonObject> encodeNode(const StoredNode& node, std::uint64_t baseVersion) {
    const auto& record = node.record;
    QJsonObject spec{
        {"path", QString::fromStdString(record.path)},
        {"operationId", QString::fromStdString(record.operationId)},
        {"author", QString::fromStdString(record.author)},
        {"recentOperations", encodeOperations(node.recentOperations)},
    };
    if (record.deleted) {
        spec["deleted"] = true;
    } else {
        const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(record.document));
        if (!document.isObject()) {
            return Status(ErrorCode::InvalidArgument,
                          "the document of " + record.path + " is no JSON object");
        }
        spec["document"] = document.object();
    }
    QJsonObject object = makeObject("SettingsNode", objectNameOfPath(record.path), spec);
    if (baseVersion != 0) {
        QJsonObject metadata = object["metadata"].toObject();
        metadata["resourceVersion"] = QString::number(baseVersion);
        object["metadata"] = metadata;
    }
    return object;
}

StatusWith<MachineRecord> decodeMachine(const QJsonObject& object) {
    const auto version = resourceVersionOf(object);
    const QString name = objectNameOf(object);
    if (!version || name.isEmpty()) {
        return missingMetadata();
    }
    const QJsonObject spec = object["spec"].toObject();
    MachineRecord machine;
    machine.name = name.toStdString();
    machine.version = *version;
    machine.phase =
        spec["phase"].toString() == kLeavingPhase ? MachinePhase::Leaving : MachinePhase::Live;
    machine.host = spec["host"].toString().toStdString();
    machine.peerPort = static_cast<std::uint16_t>(spec["peerPort"].toInt());
    machine.zone = spec["zone"].toString().toStdString();
    machine.region = spec["region"].toString().toStdString();
    return machine;
}

QJsonObject encodeMachine(const MachineRecord& machine) {
    const bool leaving = machine.phase == MachinePhase::Leaving;
    const QJsonObject spec{
        {"phase", leaving ? kLeavingPhase : kLivePhase},
        {"host", QString::fromStdString(machine.host)},
        {"peerPort", machine.peerPort},
        {"zone", QString::fromStdString(machine.zone)},
        {"region", QString::fromStdString(machine.region)},
    };
    return makeObject("Machine", QString::fromStdString(machine.name), spec);
}

}  // namespace coralhoist::platform
