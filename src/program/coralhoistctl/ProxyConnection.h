/** Requests to a proxy, one at a time, for a program that has nothing else to do meanwhile. */
#pragma once

#include <QEventLoop>
#include <functional>
#include <optional>

#include "base/Status.h"
#include "base/Time.h"
#include "link/operator/OperatorClient.h"
#include "program/coralhoistctl/CommandLine.h"

namespace coralhoist::ctl {

/** Runs the event loop until each request is answered. Connects at the first request. */
class ProxyConnection {
public:
    explicit ProxyConnection(const CommandLine& options) : _options(options) {}

    /**
     * @return the answer, or the reason as for OperatorClient. Unavailable names the proxy.
     */
    template <typename Response, typename Request>
    StatusWith<Response> ask(const Request& request) {
        if (Status status = connect(); !status.isOk()) {
            return status;
        }
        std::optional<StatusWith<Response>> answer;
        QEventLoop loop;
        _client.ask(request, _options.timeout, [&answer, &loop](StatusWith<Response> response) {
            answer.emplace(std::move(response));
            loop.quit();
        });
        if (!answer) {
            loop.exec();
        }
        return *std::move(answer);
    }

    /**
     * Watches until the listener returns false or the watch ends.
     * @return Ok, or why the watch ended.
     */
    Status watch(const gen::SettingsWatchRequest& request,
                 const std::function<bool(const gen::SettingsChangeEvent&)>& listener);

    /** Lets time pass. */
    static void pause(Duration duration);

private:
    Status connect();

    const CommandLine& _options;
    operators::OperatorClient _client;
};

}  // namespace coralhoist::ctl
