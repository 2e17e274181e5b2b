/** The proxy's side of one operator's connection. */
#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "link/frame/FrameSocket.h"
#include "link/operator/OperatorService.h"

namespace coralhoist::operators {

/**
 * Reads requests, calls the service and sends the answers, each with the id of its request.
 *
 * Invariants: a request is answered at most once (a watch: until it ends); an answer that completes
 * after the operator has gone or has cancelled is dropped; a message that is no request ends this
 * connection and nothing else.
 */
class OperatorConnection final : public QObject {
public:
    /**
     * @param socket a connected socket; owned by the new object.
     * @param service outlives this object.
     * @param closed called once when the connection is gone; may delete this object.
     */
    OperatorConnection(QTcpSocket* socket, OperatorService& service, std::function<void()> closed,
                       QObject* parent);

private:
    void handleFrame(const std::string& frame);
    void dispatch(std::int64_t requestId, const gen::OperatorRequestBody& body);
    void dispatchSettings(std::int64_t requestId, const gen::OperatorRequestBody& body);

    template <typename Request, typename Response>
    void call(std::int64_t requestId, const Request& request,
              void (OperatorService::*method)(const Request&, Completion<Response>),
              void (gen::OperatorResponseBody::*setResponse)(const Response&));
    void startWatch(std::int64_t requestId, const gen::SettingsWatchRequest& request);
    void cancel(std::int64_t requestId);

    void finish(std::int64_t requestId, const gen::OperatorResponseBody& body);
    void fail(std::int64_t requestId, const Status& status);
    void send(std::int64_t requestId, const gen::OperatorResponseBody& body);
    void disconnect(const std::string& reason);

    frame::FrameSocket* _socket;
    OperatorService& _service;
    std::function<void()> _closed;
    std::set<std::int64_t> _inFlight;
    std::map<std::int64_t, std::unique_ptr<WatchSubscription>> _watches;
};

}  // namespace coralhoist::operators
