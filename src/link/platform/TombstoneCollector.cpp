#include "link/platform/TombstoneCollector.h"

#include <QPointer>
#include <chrono>

#include "link/platform/CollectionReader.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::platform {

TombstoneCollector::TombstoneCollector(HttpRequester& requester,
                                       const PlatformClientOptions& options, RandomSource& random)
    : _requester(requester), _options(options), _random(random) {}

void TombstoneCollector::onStored(const settings::SettingsObjectRecord& record) {
    if (!record.deleted) {
        onRemoved(record.path);
        return;
    }
    const auto known = _tombstones.find(record.path);
    if (known == _tombstones.end() || known->second->version != record.version) {
        startRetention(record);
    }
}

void TombstoneCollector::onRemoved(const std::string& path) {
    _tombstones.erase(path);
}

void TombstoneCollector::startRetention(const settings::SettingsObjectRecord& record) {
    auto tombstone = std::make_unique<Tombstone>();
    tombstone->version = record.version;
    tombstone->timer.setSingleShot(true);
    const std::string path = record.path;
    connect(&tombstone->timer, &QTimer::timeout, this, [this, path] { collect(path); });
    const Duration retention = _options.tombstoneRetention;
    const auto jitter = _random.below(static_cast<std::uint64_t>(retention.count()) + 1);
    const Duration delay = retention + Duration(static_cast<Duration::rep>(jitter));
    tombstone->timer.start(std::chrono::ceil<std::chrono::milliseconds>(delay));
    _tombstones[path] = std::move(tombstone);
}

void TombstoneCollector::collect(const std::string& path) {
    const QString version = QString::number(_tombstones.at(path)->version);
    const QJsonObject preconditions{{"resourceVersion", version}};
    const QString url = objectPath(kSettingsCollection, objectNameOfPath(path));
    const QPointer<TombstoneCollector> alive(this);
    _requester.send("DELETE", url, {{"preconditions", preconditions}}, _options.requestTimeout,
                    [alive, path](const HttpAnswer& answer) {
                        const bool settled = answer.transport == HttpAnswer::Transport::Answered &&
                                             answer.statusCode < kHttpServerErrors &&
                                             answer.statusCode != kHttpTooManyRequests;
                        if (!alive || settled || !alive->_tombstones.contains(path)) {
                            return;
                        }
                        // Nothing depends on it, so the next attempt waits a whole retention.
                        alive->_tombstones.at(path)->timer.start();
                    });
}

}  // namespace coralhoist::platform
