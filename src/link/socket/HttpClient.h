/**
 * Small HTTP/1.1 client on one address: kept connections, a time limit for each call that is
 * checked as its bytes are sent, and an abortive close, so that a call given up on is not delivered
 * late by a link that heals or by a process that stood still. A general client library can't
 * promise that, and may send a call twice.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "link/socket/HttpCaller.h"
#include "link/socket/StreamConnection.h"

namespace coralhoist::socket {

/** Calls to one server; each runs on a connection of its own, which is kept for later calls. */
class HttpClient final : public HttpCaller, public StreamHandler {
public:
    /** @param poller, clock outlive the client. */
    HttpClient(SocketPoller& poller, const Clock& clock, std::string host, std::uint16_t port);
    ~HttpClient() override;

    void call(const HttpCall& call, HttpCallback callback) override;

    /** Ends calls that have run out of time. */
    void onTick(TimePoint now);

    std::optional<TimePoint> nextTick() const;

    /** @return bytes of requests, and of complete answers. */
    std::uint64_t bytesSent() const { return _bytesSent; }
    std::uint64_t bytesReceived() const { return _bytesReceived; }

    /** Moves to another address. Running calls end at the former one, within their time limits. */
    void redirect(std::string host, std::uint16_t port);

private:
    struct Exchange {
        std::unique_ptr<StreamConnection> connection;
        HttpCallback callback;
        /** The request is not sent at this time or later. */
        TimePoint sendBy{};
        /** When an answer must have begun. */
        TimePoint answerBy{};
        /** When the call is given up: `sendBy` until the request is sent, `answerBy` from then on,
         * and later while an answer arrives. */
        TimePoint deadline{};
        Duration stallTimeout{};
        /** The request may have been sent. */
        bool connected = false;
        /** The connection has served a call before. */
        bool reused = false;
        std::string request;
    };

    void onConnected(StreamConnection& connection) override;
    void onBytes(StreamConnection& connection, std::string& buffer) override;
    void onClosed(StreamConnection& connection) override;

    Exchange* find(const StreamConnection& connection);
    bool transmit(Exchange& exchange);
    void finish(Exchange& exchange, const HttpAnswer& answer, bool keep);
    void closeKept();

    SocketPoller& _poller;
    const Clock& _clock;
    std::string _host;
    std::uint16_t _port;
    std::uint64_t _bytesSent = 0;
    std::uint64_t _bytesReceived = 0;
    std::vector<std::unique_ptr<Exchange>> _running;
    std::vector<std::unique_ptr<StreamConnection>> _kept;
    /** Ended inside a callback of their own; freed at the next tick. */
    std::vector<std::unique_ptr<StreamConnection>> _ended;
};

}  // namespace coralhoist::socket
