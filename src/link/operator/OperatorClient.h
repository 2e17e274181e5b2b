/** An operator's side of the operator protocol. */
#pragma once

#include <QHostAddress>
#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/Status.h"
#include "base/Time.h"
#include "link/frame/FrameSocket.h"
#include "link/operator/OperatorService.h"

namespace coralhoist::operators {

/**
 * Sends requests over one connection, many at a time, and hands each answer to its requester.
 *
 * Each completion is called once, from the event loop: with the answer; with the proxy's failure;
 * DeadlineExceeded when no answer came in time; OutcomeUnknown when the connection was lost after
 * the request was sent; Unavailable when it was never sent. An answer that nobody waits for is
 * dropped.
 */
class OperatorClient final : public QObject {
public:
    explicit OperatorClient(QObject* parent = nullptr);

    /**
     * Opens the connection; an earlier one is dropped.
     * @param completion Ok, or Unavailable with the reason.
     */
    void connectToProxy(const QHostAddress& address, std::uint16_t port, Duration timeout,
                        std::function<void(Status)> completion);

    bool isConnected() const { return _socket != nullptr && _socket->isConnected(); }

    void ask(const gen::SettingsGetRequest& request, Duration timeout,
             Completion<gen::SettingsGetResponse> completion);
    void ask(const gen::SettingsListRequest& request, Duration timeout,
             Completion<gen::SettingsListResponse> completion);
    void ask(const gen::SettingsEditRequest& request, Duration timeout,
             Completion<gen::SettingsEditResponse> completion);
    void ask(const gen::SettingsEffectiveRequest& request, Duration timeout,
             Completion<gen::SettingsEffectiveResponse> completion);
    void ask(const gen::SettingsHistoryRequest& request, Duration timeout,
             Completion<gen::SettingsHistoryResponse> completion);
    void ask(const gen::SettingsFindOperationRequest& request, Duration timeout,
             Completion<gen::SettingsFindOperationResponse> completion);
    void ask(const gen::SettingsInForceRequest& request, Duration timeout,
             Completion<gen::SettingsInForceResponse> completion);
    void ask(const gen::StatusRequest& request, Duration timeout,
             Completion<gen::StatusResponse> completion);
    void ask(const gen::DrainRequest& request, Duration timeout,
             Completion<gen::DrainResponse> completion);
    void ask(const gen::VersionRequest& request, Duration timeout,
             Completion<gen::VersionResponse> completion);

    /**
     * Watches changes of the settings.
     * @param listener called for each change.
     * @param ended called once, when the proxy ends the watch or the connection is lost.
     * @return names the watch for cancel().
     */
    std::int64_t watch(const gen::SettingsWatchRequest& request, ChangeListener listener,
                       std::function<void(Status)> ended);

    /** Ends a watch; neither of its callbacks is called any more. */
    void cancel(std::int64_t requestId);

private:
    /** Takes an answer; called until the request is answered. */
    using Receiver = std::function<void(StatusWith<gen::OperatorResponseBody>)>;

    /** The event loop deletes, because a timer may be dropped from its own signal. */
    struct LaterDeleter {
        void operator()(QTimer* timer) const { timer->deleteLater(); }
    };

    /** A request that waits for its answer. */
    struct Waiting {
        Receiver receiver;
        /** Runs out at the request's deadline; watches have none. */
        std::unique_ptr<QTimer, LaterDeleter> deadline;
    };

    template <typename Response>
    void exchange(const gen::OperatorRequestBody& body, Duration timeout,
                  Completion<Response> completion,
                  bool (*hasResponse)(const gen::OperatorResponseBody&),
                  Response gen::OperatorResponseBody::*response);
    std::int64_t send(const gen::OperatorRequestBody& body, Receiver receiver);
    void startDeadline(std::int64_t requestId, Duration timeout);
    void handleFrame(const std::string& frame);
    void deliver(std::int64_t requestId, StatusWith<gen::OperatorResponseBody> answer, bool last);
    void failAll(const Status& reason);
    void finishConnecting(const Status& status);

    frame::FrameSocket* _socket = nullptr;
    std::function<void(Status)> _connecting;
    std::int64_t _lastRequestId = 0;
    std::map<std::int64_t, Waiting> _waiting;
};

}  // namespace coralhoist::operators
