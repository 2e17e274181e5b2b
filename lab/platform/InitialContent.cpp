#include "lab/platform/InitialContent.h"

#include <QJsonArray>
#include <QJsonDocument>

#include "base/Error.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::lab {
namespace {

constexpr const char* kInitialAuthor = "initial";

Status invalid(const char* list, qsizetype index) {
    return {ErrorCode::InvalidArgument,
            std::string("initial content: bad entry ") + std::to_string(index) + " of " + list};
}

StatusWith<InitialObject> decodeInitialNode(const QJsonObject& entry, qsizetype index) {
    platform::StoredNode node;
    node.record.path = entry["path"].toString().toStdString();
    if (node.record.path.empty() || !entry["document"].isObject()) {
        return invalid("nodes", index);
    }
    node.record.document =
        QJsonDocument(entry["document"].toObject()).toJson(QJsonDocument::Compact).toStdString();
    node.record.operationId = kInitialAuthor;
    node.record.author = kInitialAuthor;
    const auto object = platform::encodeNode(node, 0);
    if (!object.isOk()) {
        return object.status();
    }
    return InitialObject{platform::kSettingsCollection, object.value()};
}

StatusWith<InitialObject> decodeInitialMachine(QJsonObject entry, qsizetype index) {
    const QString name = entry.take("name").toString();
    if (name.isEmpty()) {
        return invalid("machines", index);
    }
    const QJsonObject object{
        {"apiVersion", platform::kApiVersion},
        {"kind", "Machine"},
        {"metadata", QJsonObject{{"name", name}}},
        {"spec", entry},
    };
    return InitialObject{platform::kMachinesCollection, object};
}

}  // namespace

StatusWith<std::vector<InitialObject>> decodeInitialContent(const QJsonObject& content) {
    std::vector<InitialObject> objects;
    qsizetype index = 0;
    for (const QJsonValue entry : content["nodes"].toArray()) {
        const auto node = decodeInitialNode(entry.toObject(), index++);
        if (!node.isOk()) {
            return node.status();
        }
        objects.push_back(node.value());
    }
    index = 0;
    for (const QJsonValue entry : content["machines"].toArray()) {
        const auto machine = decodeInitialMachine(entry.toObject(), index++);
        if (!machine.isOk()) {
            return machine.status();
        }
        objects.push_back(machine.value());
    }
    return objects;
}

}  // namespace coralhoist::lab
