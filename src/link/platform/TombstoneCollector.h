/** Removes the tombstones of deleted settings nodes after their retention. */
#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <memory>
#include <string>

#include "base/Time.h"
#include "link/platform/HttpRequester.h"
#include "link/platform/PlatformClientOptions.h"
#include "settings/SettingsObject.h"

namespace coralhoist::platform {

/**
 * Every watcher of the settings runs one; the first to try removes the tombstone and the others
 * find it gone. The removal names the tombstone's version, so it never touches a node created anew.
 */
class TombstoneCollector final : public QObject {
    Q_OBJECT

public:
    /**
     * @param requester outlives the collector.
     * @param options retention and time limits.
     * @param random spreads the watchers' attempts; outlives the collector.
     */
    TombstoneCollector(HttpRequester& requester, const PlatformClientOptions& options,
                       RandomSource& random);

    /**
     * @param record a node as the platform stores it now: a tombstone starts its retention, any
     *        other record ends it.
     */
    void onStored(const settings::SettingsObjectRecord& record);

    /** @param path of a node that the platform no longer stores. */
    void onRemoved(const std::string& path);

private:
    struct Tombstone {
        std::uint64_t version = 0;
        QTimer timer;
    };

    void startRetention(const settings::SettingsObjectRecord& record);
    void collect(const std::string& path);

    HttpRequester& _requester;
    PlatformClientOptions _options;
    RandomSource& _random;
    std::map<std::string, std::unique_ptr<Tombstone>> _tombstones;
};

}  // namespace coralhoist::platform
