#include "link/operator/OperatorClient.h"

#include <utility>

#include "base/Error.h"
#include "link/frame/ThriftCodec.h"
#include "link/operator/OperatorLimits.h"

namespace coralhoist::operators {
namespace {

using Body = gen::OperatorResponseBody;

std::chrono::milliseconds toMilliseconds(Duration duration) {
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

Status toStatus(const gen::OperatorFailure& failure) {
    // A code of a newer proxy still is a failure.
    const bool known = failure.code > 0 && failure.code <= static_cast<int>(ErrorCode::NotReady);
    const auto code = known ? static_cast<ErrorCode>(failure.code) : ErrorCode::Unavailable;
    return {code, failure.message};
}

}  // namespace

OperatorClient::OperatorClient(QObject* parent) : QObject(parent) {}

void OperatorClient::connectToProxy(const QHostAddress& address, std::uint16_t port,
                                    Duration timeout, std::function<void(Status)> completion) {
    if (_socket != nullptr) {
        _socket->abort();
        _socket->deleteLater();
        failAll(Status(ErrorCode::OutcomeUnknown, "the connection was replaced"));
    }
    _connecting = std::move(completion);
    _socket = new frame::FrameSocket(new QTcpSocket, kLargestMessage, this);
    frame::FrameSocket::Callbacks callbacks;
    callbacks.connected = [this] { finishConnecting(Status::ok()); };
    callbacks.frameReceived = [this](const std::string& frame) { handleFrame(frame); };
    callbacks.closed = [this](const Status& reason) {
        finishConnecting(reason);
        failAll(Status(ErrorCode::OutcomeUnknown, "connection lost: " + reason.message()));
    };
    _socket->setCallbacks(std::move(callbacks));
    QTimer::singleShot(toMilliseconds(timeout), _socket, [this, socket = _socket] {
        if (_connecting && socket == _socket) {
            _socket->abort();
            finishConnecting(Status(ErrorCode::Unavailable, "no answer in time"));
        }
    });
    _socket->connectToAddress(address, port);
}

void OperatorClient::finishConnecting(const Status& status) {
    if (const auto connecting = std::exchange(_connecting, nullptr)) {
        connecting(status);
    }
}

template <typename Response>
void OperatorClient::exchange(const gen::OperatorRequestBody& body, Duration timeout,
                              Completion<Response> completion, bool (*hasResponse)(const Body&),
                              Response Body::*response) {
    const std::int64_t requestId = send(
        body, [completion = std::move(completion), hasResponse, response](StatusWith<Body> answer) {
            if (!answer.isOk()) {
                completion(answer.status());
            } else if (!hasResponse(answer.value())) {
                completion(Status(ErrorCode::ProtocolViolation, "an answer of another kind came"));
            } else {
                completion(answer.value().*response);
            }
        });
    startDeadline(requestId, timeout);
}

std::int64_t OperatorClient::send(const gen::OperatorRequestBody& body, Receiver receiver) {
    gen::OperatorRequest request;
    request.requestId = ++_lastRequestId;
    request.body = body;
    _waiting.emplace(request.requestId, Waiting{std::move(receiver), nullptr});
    Status status(ErrorCode::Unavailable, "not connected");
    if (_socket != nullptr) {
        status = _socket->sendFrame(frame::encodeThrift(request));
    }
    if (!status.isOk()) {
        QMetaObject::invokeMethod(
            this, [this, id = request.requestId, status] { deliver(id, status, true); },
            Qt::QueuedConnection);
    }
    return request.requestId;
}

void OperatorClient::startDeadline(std::int64_t requestId, Duration timeout) {
    auto* timer = new QTimer(this);
    _waiting.at(requestId).deadline.reset(timer);
    timer->setSingleShot(true);
    connect(timer, &QTimer::timeout, this, [this, requestId] {
        deliver(requestId, Status(ErrorCode::DeadlineExceeded, "no answer in time"), true);
    });
    timer->start(toMilliseconds(timeout));
}

void OperatorClient::handleFrame(const std::string& frame) {
    auto response = frame::decodeThrift<gen::OperatorResponse>(frame);
    if (!response.isOk()) {
        _socket->abort();
        failAll(response.status());
        return;
    }
    const std::int64_t requestId = response.value().requestId;
    const Body& body = response.value().body;
    if (body.__isset.failure) {
        deliver(requestId, toStatus(body.failure), true);
    } else {
        deliver(requestId, body, !body.__isset.settingsChange);
    }
}

void OperatorClient::deliver(std::int64_t requestId, StatusWith<Body> answer, bool last) {
    const auto found = _waiting.find(requestId);
    if (found == _waiting.end()) {
        return;
    }
    // A copy, because the receiver may cancel itself or delete this object.
    const Receiver receiver = found->second.receiver;
    if (last) {
        _waiting.erase(found);
    }
    receiver(std::move(answer));
}

void OperatorClient::failAll(const Status& reason) {
    const auto waiting = std::exchange(_waiting, {});
    for (const auto& [requestId, request] : waiting) {
        request.receiver(reason);
    }
}

std::int64_t OperatorClient::watch(const gen::SettingsWatchRequest& request,
                                   ChangeListener listener, std::function<void(Status)> ended) {
    gen::OperatorRequestBody body;
    body.__set_settingsWatch(request);
    return send(body, [listener = std::move(listener),
                       ended = std::move(ended)](const StatusWith<Body>& answer) {
        if (!answer.isOk()) {
            ended(answer.status());
        } else if (answer.value().__isset.settingsChange) {
            listener(answer.value().settingsChange);
        } else {
            ended(Status(ErrorCode::ProtocolViolation, "an answer of another kind came"));
        }
    });
}

void OperatorClient::cancel(std::int64_t requestId) {
    if (_waiting.erase(requestId) == 0 || !isConnected()) {
        return;
    }
    gen::CancelRequest cancel;
    cancel.requestId = requestId;
    gen::OperatorRequest request;
    request.requestId = ++_lastRequestId;
    request.body.__set_cancel(cancel);
    (void)_socket->sendFrame(frame::encodeThrift(request));
}

void OperatorClient::ask(const gen::SettingsGetRequest& request, Duration timeout,
                         Completion<gen::SettingsGetResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsGet(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsGet}; }, &Body::settingsGet);
}

void OperatorClient::ask(const gen::SettingsListRequest& request, Duration timeout,
                         Completion<gen::SettingsListResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsList(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsList}; }, &Body::settingsList);
}

void OperatorClient::ask(const gen::SettingsEditRequest& request, Duration timeout,
                         Completion<gen::SettingsEditResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsEdit(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsEdit}; }, &Body::settingsEdit);
}

void OperatorClient::ask(const gen::SettingsEffectiveRequest& request, Duration timeout,
                         Completion<gen::SettingsEffectiveResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsEffective(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsEffective}; },
        &Body::settingsEffective);
}

void OperatorClient::ask(const gen::SettingsHistoryRequest& request, Duration timeout,
                         Completion<gen::SettingsHistoryResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsHistory(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsHistory}; },
        &Body::settingsHistory);
}

void OperatorClient::ask(const gen::SettingsFindOperationRequest& request, Duration timeout,
                         Completion<gen::SettingsFindOperationResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsFindOperation(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsFindOperation}; },
        &Body::settingsFindOperation);
}

void OperatorClient::ask(const gen::SettingsInForceRequest& request, Duration timeout,
                         Completion<gen::SettingsInForceResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_settingsInForce(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.settingsInForce}; },
        &Body::settingsInForce);
}

void OperatorClient::ask(const gen::StatusRequest& request, Duration timeout,
                         Completion<gen::StatusResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_status(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.status}; }, &Body::status);
}

void OperatorClient::ask(const gen::DrainRequest& request, Duration timeout,
                         Completion<gen::DrainResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_drain(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.drain}; }, &Body::drain);
}

void OperatorClient::ask(const gen::VersionRequest& request, Duration timeout,
                         Completion<gen::VersionResponse> completion) {
    gen::OperatorRequestBody body;
    body.__set_version(request);
    exchange(
        body, timeout, std::move(completion),
        [](const Body& answer) { return bool{answer.__isset.version}; }, &Body::version);
}

}  // namespace coralhoist::operators
