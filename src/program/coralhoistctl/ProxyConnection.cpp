#include "program/coralhoistctl/ProxyConnection.h"

#include <QTimer>

#include "base/Error.h"

namespace coralhoist::ctl {

Status ProxyConnection::connect() {
    if (_client.isConnected()) {
        return Status::ok();
    }
    std::optional<Status> outcome;
    QEventLoop loop;
    _client.connectToProxy(_options.proxyAddress, _options.proxyPort, _options.timeout,
                           [&outcome, &loop](const Status& status) {
                               outcome = status;
                               loop.quit();
                           });
    if (!outcome) {
        loop.exec();
    }
    if (outcome->isOk()) {
        return Status::ok();
    }
    return {ErrorCode::Unavailable,
            "proxy " + _options.proxyText() + " can't be reached: " + outcome->message()};
}

Status ProxyConnection::watch(
    const gen::SettingsWatchRequest& request,
    const std::function<bool(const gen::SettingsChangeEvent&)>& listener) {
    if (Status status = connect(); !status.isOk()) {
        return status;
    }
    Status ending;
    bool finished = false;
    QEventLoop loop;
    const auto watch = _client.watch(
        request,
        [&](const gen::SettingsChangeEvent& event) {
            if (!finished && !listener(event)) {
                finished = true;
                loop.quit();
            }
        },
        [&](const Status& reason) {
            ending = reason;
            loop.quit();
        });
    loop.exec();
    _client.cancel(watch);
    return ending;
}

void ProxyConnection::pause(Duration duration) {
    QEventLoop loop;
    QTimer timer;
    timer.setSingleShot(true);
    QObject::connect(&timer, &QTimer::timeout, &loop, &QEventLoop::quit);
    timer.start(std::chrono::ceil<std::chrono::milliseconds>(duration));
    loop.exec();
}

}  // namespace coralhoist::ctl
