/** Answers simple HTTP GETs: readiness and metrics. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Status.h"
#include "link/socket/StreamConnection.h"
#include "link/socket/StreamListener.h"

namespace coralhoist::socket {

/** Answer to a GET. */
struct HttpPage {
    int status = 200;
    std::string body;
};

/** A listening address with one handler for all paths. Bodies of requests are not read. */
class HttpResponder final : public StreamHandler {
public:
    /** @param handler given the path of a GET; called on the event loop. */
    HttpResponder(SocketPoller& poller, std::function<HttpPage(const std::string& path)> handler);
    ~HttpResponder() override;

    Status listen(const std::string& host, std::uint16_t port);
    std::uint16_t port() const { return _listener.port(); }

    /** Frees what has been closed; call from the event loop, outside any event. */
    void collect() { _closed.clear(); }

private:
    void accept(int descriptor);
    void onConnected(StreamConnection& connection) override;
    void onBytes(StreamConnection& connection, std::string& buffer) override;
    void onClosed(StreamConnection& connection) override;

    SocketPoller& _poller;
    std::function<HttpPage(const std::string&)> _handler;
    StreamListener _listener;
    std::unordered_map<const StreamConnection*, std::unique_ptr<StreamConnection>> _connections;
    std::vector<std::unique_ptr<StreamConnection>> _closed;
};

}  // namespace coralhoist::socket
