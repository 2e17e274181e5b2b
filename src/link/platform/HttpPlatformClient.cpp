#include "link/platform/HttpPlatformClient.h"

#include <utility>

#include "link/platform/CollectionReader.h"
#include "link/platform/HttpEdit.h"
#include "link/platform/HttpWatch.h"
#include "link/platform/ObjectCodec.h"
#include "link/platform/TombstoneCollector.h"

namespace coralhoist::platform {
namespace {

StatusWith<SettingsList> decodeSettingsList(const ObjectList& list) {
    SettingsList result;
    result.version = list.version;
    for (const QJsonValue item : list.items) {
        const auto node = decodeNode(item.toObject());
        if (!node.isOk()) {
            return node.status();
        }
        result.records.push_back(node.value().record);
    }
    return result;
}

StatusWith<MachineList> decodeMachineList(const ObjectList& list) {
    MachineList result;
    result.version = list.version;
    for (const QJsonValue item : list.items) {
        const auto machine = decodeMachine(item.toObject());
        if (!machine.isOk()) {
            return machine.status();
        }
        result.records.push_back(machine.value());
    }
    return result;
}

/** Decodes the events of the settings collection. */
class SettingsWatchAdapter final : public ObjectWatchEvents {
public:
    SettingsWatchAdapter(SettingsWatchEvents& events, std::unique_ptr<TombstoneCollector> collector)
        : _events(events), _collector(std::move(collector)) {}

    Status onListed(const ObjectList& list) override {
        const auto decoded = decodeSettingsList(list);
        if (!decoded.isOk()) {
            return decoded.status();
        }
        for (const settings::SettingsObjectRecord& record : decoded.value().records) {
            _collector->onStored(record);
        }
        _events.onSettingsListed(decoded.value());
        return Status::ok();
    }

    Status onChanged(const WatchEvent& event) override {
        const auto node = decodeNode(event.object);
        if (!node.isOk()) {
            return node.status();
        }
        settings::SettingsObjectRecord record = node.value().record;
        if (event.kind == WatchEvent::Kind::Deleted) {
            _collector->onRemoved(record.path);
            record.deleted = true;
            record.document.clear();
        } else {
            _collector->onStored(record);
        }
        _events.onSettingsChanged(record);
        return Status::ok();
    }

    void onProgress(std::uint64_t version) override { _events.onSettingsProgress(version); }

    void onInterrupted(const Status& reason) override {
        _events.onSettingsWatchInterrupted(reason);
    }

private:
    SettingsWatchEvents& _events;
    std::unique_ptr<TombstoneCollector> _collector;
};

/** Decodes the events of the machine collection. */
class MachineWatchAdapter final : public ObjectWatchEvents {
public:
    explicit MachineWatchAdapter(MachineWatchEvents& events) : _events(events) {}

    Status onListed(const ObjectList& list) override {
        const auto decoded = decodeMachineList(list);
        if (decoded.isOk()) {
            _events.onMachinesListed(decoded.value());
        }
        return decoded.status();
    }

    Status onChanged(const WatchEvent& event) override {
        const auto machine = decodeMachine(event.object);
        if (!machine.isOk()) {
            return machine.status();
        }
        MachineRecord record = machine.value();
        record.deleted = event.kind == WatchEvent::Kind::Deleted;
        _events.onMachineChanged(record);
        return Status::ok();
    }

    void onProgress(std::uint64_t) override {}

    void onInterrupted(const Status& reason) override { _events.onMachineWatchInterrupted(reason); }

private:
    MachineWatchEvents& _events;
};

}  // namespace

/** The handle of a running watch. */
class HttpPlatformClient::ObjectWatch final : public Watch {
public:
    ObjectWatch(HttpPlatformClient& client, const char* collection, std::uint64_t fromVersion,
                std::unique_ptr<ObjectWatchEvents> events)
        : _watch(client._requester, collection, WatchState(fromVersion, client.makePolicy()),
                 client._options, std::move(events)) {}

private:
    HttpWatch _watch;
};

HttpPlatformClient::HttpPlatformClient(const QUrl& baseUrl, PlatformClientOptions options,
                                       RandomSource& random)
    : _requester(baseUrl), _options(options), _random(random) {}

void HttpPlatformClient::listSettings(SettingsListCallback callback) {
    _requester.send("GET", collectionPath(kSettingsCollection), {}, _options.requestTimeout,
                    [callback = std::move(callback)](const HttpAnswer& answer) {
                        const auto list = decodeList(answer);
                        callback(list.isOk() ? decodeSettingsList(list.value())
                                             : StatusWith<SettingsList>(list.status()));
                    });
}

void HttpPlatformClient::readNode(const std::string& path, SettingsNodeCallback callback) {
    using Result = StatusWith<settings::SettingsObjectRecord>;
    const QString url = objectPath(kSettingsCollection, objectNameOfPath(path));
    _requester.send("GET", url, {}, _options.requestTimeout,
                    [callback = std::move(callback)](const HttpAnswer& answer) {
                        if (answer.statusCode != kHttpOk) {
                            callback(failureOf(answer));
                            return;
                        }
                        const auto node = decodeNode(objectOf(answer));
                        callback(node.isOk() ? Result(node.value().record) : Result(node.status()));
                    });
}

std::unique_ptr<Watch> HttpPlatformClient::watchSettings(std::uint64_t fromVersion,
                                                         SettingsWatchEvents& events) {
    auto collector = std::make_unique<TombstoneCollector>(_requester, _options, _random);
    auto adapter = std::make_unique<SettingsWatchAdapter>(events, std::move(collector));
    return std::make_unique<ObjectWatch>(*this, kSettingsCollection, fromVersion,
                                         std::move(adapter));
}

void HttpPlatformClient::createNode(SettingsEdit edit, EditCallback callback) {
    startEdit(EditKind::Create, std::move(edit), std::move(callback));
}

void HttpPlatformClient::replaceNode(SettingsEdit edit, EditCallback callback) {
    startEdit(EditKind::Replace, std::move(edit), std::move(callback));
}

void HttpPlatformClient::deleteNode(SettingsEdit edit, EditCallback callback) {
    startEdit(EditKind::Delete, std::move(edit), std::move(callback));
}

void HttpPlatformClient::startEdit(EditKind kind, SettingsEdit edit, EditCallback callback) {
    // Deletes itself at its end, or with the requester.
    new HttpEdit(_requester, EditResolution(kind, std::move(edit)), makePolicy(), _options,
                 std::move(callback), &_requester);
}

void HttpPlatformClient::listMachines(MachineListCallback callback) {
    _requester.send("GET", collectionPath(kMachinesCollection), {}, _options.requestTimeout,
                    [callback = std::move(callback)](const HttpAnswer& answer) {
                        const auto list = decodeList(answer);
                        callback(list.isOk() ? decodeMachineList(list.value())
                                             : StatusWith<MachineList>(list.status()));
                    });
}

std::unique_ptr<Watch> HttpPlatformClient::watchMachines(std::uint64_t fromVersion,
                                                         MachineWatchEvents& events) {
    return std::make_unique<ObjectWatch>(*this, kMachinesCollection, fromVersion,
                                         std::make_unique<MachineWatchAdapter>(events));
}

}  // namespace coralhoist::platform
