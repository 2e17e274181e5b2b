#include "link/socket/HttpResponder.h"

#include <utility>

namespace coralhoist::socket {
namespace {

constexpr std::size_t kLongestRequest = 16384;
constexpr int kOk = 200;

/** @return the path of a request line such as "GET /path HTTP/1.1"; empty when it is none. */
std::string pathOf(const std::string& request) {
    const std::size_t start = request.find(' ');
    const std::size_t end = request.find(' ', start + 1);
    if (start == std::string::npos || end == std::string::npos) {
        return {};
    }
    return request.substr(start + 1, end - start - 1);
}

}  // namespace

HttpResponder::HttpResponder(SocketPoller& poller,
                             std::function<HttpPage(const std::string&)> handler)
    : _poller(poller),
      _handler(std::move(handler)),
      _listener(poller, [this](int descriptor) { accept(descriptor); }) {}

HttpResponder::~HttpResponder() = default;

Status HttpResponder::listen(const std::string& host, std::uint16_t port) {
    return _listener.listen(host, port);
}

void HttpResponder::accept(int descriptor) {
    auto connection = std::make_unique<StreamConnection>(_poller, *this);
    connection->adopt(descriptor);
    _connections[connection.get()] = std::move(connection);
}

void HttpResponder::onConnected(StreamConnection& /*connection*/) {}

void HttpResponder::onBytes(StreamConnection& connection, std::string& buffer) {
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos) {
        if (buffer.size() > kLongestRequest) {
            connection.close(CloseMode::Abort);
            onClosed(connection);
        }
        return;
    }
    const HttpPage page = _handler(pathOf(buffer));
    buffer.erase(0, end + 4);
    std::string answer =
        "HTTP/1.1 " + std::to_string(page.status) + (page.status == kOk ? " OK" : " Unavailable") +
        "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(page.body.size()) +
        "\r\n\r\n" + page.body;
    connection.write(answer);
}

void HttpResponder::onClosed(StreamConnection& connection) {
    const auto found = _connections.find(&connection);
    if (found != _connections.end()) {
        _closed.push_back(std::move(found->second));
        _connections.erase(found);
    }
}

}  // namespace coralhoist::socket
