#include "link/socket/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <utility>

namespace coralhoist::socket {
namespace {

constexpr std::size_t kKeptConnections = 4;
constexpr std::size_t kStatusOffset = 9;
constexpr std::size_t kStatusDigits = 3;

/** The head of an answer. */
struct ResponseHead {
    int status = 0;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    bool chunked = false;
    bool closes = false;
    std::vector<HttpHeader> headers;
};

std::string lowered(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

template <typename Number>
Number parseNumber(std::string_view text, int base) {
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

/** Takes from a header how the body ends and whether the connection does. */
void readFraming(ResponseHead& head, const HttpHeader& header) {
    if (header.name == "content-length") {
        head.bodyBytes = parseNumber<std::size_t>(header.value, 10);
    } else if (header.name == "transfer-encoding") {
        head.chunked = lowered(header.value).find("chunked") != std::string::npos;
    } else if (header.name == "connection") {
        head.closes = lowered(header.value).find("close") != std::string::npos;
    }
}

std::optional<ResponseHead> parseHead(std::string_view buffer) {
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string_view::npos || end < kStatusOffset + kStatusDigits) {
        return std::nullopt;
    }
    ResponseHead head;
    head.headBytes = end + 4;
    head.status = parseNumber<int>(buffer.substr(kStatusOffset, kStatusDigits), 10);
    std::size_t start = buffer.find("\r\n") + 2;
    while (start < end + 2) {
        const std::size_t lineEnd = buffer.find("\r\n", start);
        const std::string_view line = buffer.substr(start, lineEnd - start);
        start = lineEnd + 2;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos) {
            continue;
        }
        const std::size_t valueStart = line.find_first_not_of(' ', colon + 1);
        head.headers.push_back(
            {lowered(line.substr(0, colon)), valueStart == std::string_view::npos
                                                 ? std::string()
                                                 : std::string(line.substr(valueStart))});
        readFraming(head, head.headers.back());
    }
    return head;
}

/** @return the body of a chunked answer once it is whole. */
std::optional<std::string> joinChunks(std::string_view bytes) {
    std::string body;
    std::size_t position = 0;
    while (true) {
        const std::size_t lineEnd = bytes.find("\r\n", position);
        if (lineEnd == std::string_view::npos) {
            return std::nullopt;
        }
        const auto size = parseNumber<std::size_t>(bytes.substr(position, lineEnd - position), 16);
        position = lineEnd + 2;
        if (size == 0) {
            return body;
        }
        if (bytes.size() < position + size + 2) {
            return std::nullopt;
        }
        body.append(bytes.substr(position, size));
        position += size + 2;
    }
}

}  // namespace

HttpClient::HttpClient(SocketPoller& poller, const Clock& clock, std::string host,
                       std::uint16_t port)
    : _poller(poller), _clock(clock), _host(std::move(host)), _port(port) {}

HttpClient::~HttpClient() = default;

void HttpClient::redirect(std::string host, std::uint16_t port) {
    if (host == _host && port == _port) {
        return;
    }
    _host = std::move(host);
    _port = port;
    _kept.clear();
}

void HttpClient::call(const HttpCall& call, HttpCallback callback) {
    auto exchange = std::make_unique<Exchange>();
    exchange->callback = std::move(callback);
    exchange->answerBy = _clock.now() + call.timeout;
    exchange->sendBy = std::min(exchange->answerBy, call.sendBy.value_or(exchange->answerBy));
    exchange->deadline = exchange->sendBy;
    exchange->stallTimeout = call.stallTimeout;
    std::string& request = exchange->request;
    request = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + _host + ":" +
              std::to_string(_port) + "\r\n";
    for (const HttpHeader& header : call.headers) {
        request += header.name + ": " + header.value + "\r\n";
    }
    if (!call.body.empty() || call.method != "GET") {
        request += "Content-Type: application/json\r\nContent-Length: " +
                   std::to_string(call.body.size()) + "\r\n";
    }
    request += "\r\n" + call.body;
    _bytesSent += request.size();
    if (!_kept.empty() && call.connection == HttpCall::Connection::KeptOrNew) {
        exchange->connection = std::move(_kept.back());
        _kept.pop_back();
        exchange->reused = true;
        transmit(*exchange);
    } else {
        exchange->connection = std::make_unique<StreamConnection>(_poller, *this);
        if (!exchange->connection->connectTo(_host, _port)) {
            exchange->deadline = _clock.now();
        }
    }
    if (call.sendBy) {
        exchange->connection->giveUpUnacknowledgedAfter(call.timeout);
    }
    _running.push_back(std::move(exchange));
}

/**
 * Sends the request unless its time is over. A connection may open seconds after the call: when a
 * process goes on after it stood still, open connections are reported before timers.
 * @return whether the request may have been sent.
 */
bool HttpClient::transmit(Exchange& exchange) {
    if (_clock.now() >= exchange.sendBy) {
        return false;
    }
    exchange.connected = true;
    exchange.deadline = exchange.answerBy;
    exchange.connection->writeBefore(exchange.sendBy, _clock, exchange.request);
    return true;
}

HttpClient::Exchange* HttpClient::find(const StreamConnection& connection) {
    for (const auto& exchange : _running) {
        if (exchange->connection.get() == &connection) {
            return exchange.get();
        }
    }
    return nullptr;
}

void HttpClient::finish(Exchange& exchange, const HttpAnswer& answer, bool keep) {
    const auto found =
        std::find_if(_running.begin(), _running.end(),
                     [&exchange](const auto& entry) { return entry.get() == &exchange; });
    const std::unique_ptr<Exchange> held = std::move(*found);
    _running.erase(found);
    if (keep && _kept.size() < kKeptConnections) {
        _kept.push_back(std::move(held->connection));
    } else {
        held->connection->close(CloseMode::Abort);
        _ended.push_back(std::move(held->connection));
    }
    held->callback(answer);
}

void HttpClient::onConnected(StreamConnection& connection) {
    Exchange* exchange = find(connection);
    if (exchange != nullptr && !transmit(*exchange)) {
        HttpAnswer answer;
        answer.outcome = HttpAnswer::Outcome::NotSent;
        finish(*exchange, answer, false);
    }
}

void HttpClient::onBytes(StreamConnection& connection, std::string& buffer) {
    Exchange* exchange = find(connection);
    if (exchange == nullptr) {
        connection.close(CloseMode::Abort);
        return;
    }
    exchange->deadline = std::max(exchange->deadline, _clock.now() + exchange->stallTimeout);
    const std::optional<ResponseHead> head = parseHead(buffer);
    if (!head) {
        return;
    }
    HttpAnswer answer;
    answer.outcome = HttpAnswer::Outcome::Answered;
    answer.status = head->status;
    answer.headers = head->headers;
    const std::string_view rest = std::string_view(buffer).substr(head->headBytes);
    if (head->chunked) {
        std::optional<std::string> body = joinChunks(rest);
        if (!body) {
            return;
        }
        answer.body = std::move(*body);
    } else {
        if (rest.size() < head->bodyBytes) {
            return;
        }
        answer.body = std::string(rest.substr(0, head->bodyBytes));
    }
    _bytesReceived += buffer.size();
    buffer.clear();
    finish(*exchange, answer, !head->closes);
}

void HttpClient::onClosed(StreamConnection& connection) {
    const auto kept = std::find_if(_kept.begin(), _kept.end(), [&connection](const auto& entry) {
        return entry.get() == &connection;
    });
    if (kept != _kept.end()) {
        _ended.push_back(std::move(*kept));
        _kept.erase(kept);
        return;
    }
    if (Exchange* exchange = find(connection)) {
        HttpAnswer answer;
        answer.outcome =
            exchange->connected ? HttpAnswer::Outcome::Lost : HttpAnswer::Outcome::NotSent;
        finish(*exchange, answer, false);
    }
}

void HttpClient::onTick(TimePoint now) {
    _ended.clear();
    std::vector<Exchange*> late;
    for (const auto& exchange : _running) {
        if (exchange->deadline <= now) {
            late.push_back(exchange.get());
        }
    }
    for (Exchange* exchange : late) {
        if (exchange->reused) {
            closeKept();
        }
        HttpAnswer answer;
        answer.outcome =
            exchange->connected ? HttpAnswer::Outcome::Lost : HttpAnswer::Outcome::NotSent;
        finish(*exchange, answer, false);
    }
}

/**
 * Open connections may go silent for good while new ones work. A call that got no answer on a kept
 * connection tells that the others may be silent, too; each would cost another call its time.
 */
void HttpClient::closeKept() {
    for (auto& connection : std::exchange(_kept, {})) {
        connection->close(CloseMode::Abort);
        _ended.push_back(std::move(connection));
    }
}

std::optional<TimePoint> HttpClient::nextTick() const {
    if (!_ended.empty()) {
        return TimePoint::min();
    }
    std::optional<TimePoint> next;
    for (const auto& exchange : _running) {
        if (!next || exchange->deadline < *next) {
            next = exchange->deadline;
        }
    }
    return next;
}

}  // namespace coralhoist::socket
