/** PlatformClient over QtNetwork. */
#pragma once

#include <QUrl>
#include <memory>
#include <string>

#include "base/Time.h"
#include "link/platform/EditResolution.h"
#include "link/platform/HttpRequester.h"
#include "link/platform/PlatformClient.h"
#include "link/platform/PlatformClientOptions.h"

namespace coralhoist::platform {

/**
 * Talks to the object API over HTTP. Belongs to the thread that made it, which runs a Qt event
 * loop. Must outlive the watches it hands out; edits and reads end without a callback when it is
 * destroyed.
 */
class HttpPlatformClient final : public PlatformClient {
public:
    /**
     * @param baseUrl scheme, host and port, e.g. "http://127.0.0.1:8080".
     * @param options time limits.
     * @param random source of jitter; outlives the client.
     */
    HttpPlatformClient(const QUrl& baseUrl, PlatformClientOptions options, RandomSource& random);

    void listSettings(SettingsListCallback callback) override;
    void readNode(const std::string& path, SettingsNodeCallback callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watchSettings(std::uint64_t fromVersion,
                                                       SettingsWatchEvents& events) override;
    void createNode(SettingsEdit edit, EditCallback callback) override;
    void replaceNode(SettingsEdit edit, EditCallback callback) override;
    void deleteNode(SettingsEdit edit, EditCallback callback) override;
    void listMachines(MachineListCallback callback) override;
    [[nodiscard]] std::unique_ptr<Watch> watchMachines(std::uint64_t fromVersion,
                                                       MachineWatchEvents& events) override;

private:
    class ObjectWatch;

    void startEdit(EditKind kind, SettingsEdit edit, EditCallback callback);
    ReconnectPolicy makePolicy() const { return {_options.reconnect, _random}; }

    HttpRequester _requester;
    PlatformClientOptions _options;
    RandomSource& _random;
};

}  // namespace coralhoist::platform
