#include "link/operator/OperatorConnection.h"

#include <QPointer>
#include <utility>

#include "base/Error.h"
#include "link/frame/ThriftCodec.h"
#include "link/operator/OperatorLimits.h"

namespace coralhoist::operators {
namespace {

gen::OperatorResponseBody makeFailure(const Status& status) {
    gen::OperatorFailure failure;
    failure.code = status.code().value();
    failure.message = status.message();
    gen::OperatorResponseBody body;
    body.__set_failure(failure);
    return body;
}

}  // namespace

OperatorConnection::OperatorConnection(QTcpSocket* socket, OperatorService& service,
                                       std::function<void()> closed, QObject* parent)
    : QObject(parent),
      _socket(new frame::FrameSocket(socket, kLargestMessage, this)),
      _service(service),
      _closed(std::move(closed)) {
    frame::FrameSocket::Callbacks callbacks;
    callbacks.frameReceived = [this](const std::string& frame) { handleFrame(frame); };
    callbacks.closed = [this](const Status&) { _closed(); };
    _socket->setCallbacks(std::move(callbacks));
}

void OperatorConnection::handleFrame(const std::string& frame) {
    const auto request = frame::decodeThrift<gen::OperatorRequest>(frame);
    if (!request.isOk()) {
        disconnect(request.status().message());
        return;
    }
    const std::int64_t requestId = request.value().requestId;
    if (request.value().body.__isset.cancel) {
        cancel(request.value().body.cancel.requestId);
        return;
    }
    if (_inFlight.size() >= kMostRequestsInFlight) {
        send(requestId, makeFailure(Status(ErrorCode::Overloaded,
                                           "too many requests on this connection at once")));
        return;
    }
    if (!_inFlight.insert(requestId).second) {
        disconnect("a request id is used twice");
        return;
    }
    dispatch(requestId, request.value().body);
}

void OperatorConnection::dispatch(std::int64_t requestId, const gen::OperatorRequestBody& body) {
    using Body = gen::OperatorResponseBody;
    if (body.__isset.status) {
        call(requestId, body.status, &OperatorService::status, &Body::__set_status);
    } else if (body.__isset.drain) {
        call(requestId, body.drain, &OperatorService::drain, &Body::__set_drain);
    } else if (body.__isset.version) {
        call(requestId, body.version, &OperatorService::version, &Body::__set_version);
    } else {
        dispatchSettings(requestId, body);
    }
}

void OperatorConnection::dispatchSettings(std::int64_t requestId,
                                          const gen::OperatorRequestBody& body) {
    using Body = gen::OperatorResponseBody;
    using Service = OperatorService;
    const auto& isSet = body.__isset;
    if (isSet.settingsGet) {
        call(requestId, body.settingsGet, &Service::settingsGet, &Body::__set_settingsGet);
    } else if (isSet.settingsList) {
        call(requestId, body.settingsList, &Service::settingsList, &Body::__set_settingsList);
    } else if (isSet.settingsEdit) {
        call(requestId, body.settingsEdit, &Service::settingsEdit, &Body::__set_settingsEdit);
    } else if (isSet.settingsEffective) {
        call(requestId, body.settingsEffective, &Service::settingsEffective,
             &Body::__set_settingsEffective);
    } else if (isSet.settingsWatch) {
        startWatch(requestId, body.settingsWatch);
    } else if (isSet.settingsHistory) {
        call(requestId, body.settingsHistory, &Service::settingsHistory,
             &Body::__set_settingsHistory);
    } else if (isSet.settingsFindOperation) {
        call(requestId, body.settingsFindOperation, &Service::settingsFindOperation,
             &Body::__set_settingsFindOperation);
    } else if (isSet.settingsInForce) {
        call(requestId, body.settingsInForce, &Service::settingsInForce,
             &Body::__set_settingsInForce);
    } else {
        fail(requestId, Status(ErrorCode::Unsupported, "this proxy does not know the request"));
    }
}

template <typename Request, typename Response>
void OperatorConnection::call(std::int64_t requestId, const Request& request,
                              void (OperatorService::*method)(const Request&, Completion<Response>),
                              void (gen::OperatorResponseBody::*setResponse)(const Response&)) {
    const QPointer<OperatorConnection> self(this);
    (_service.*method)(request, [self, requestId, setResponse](StatusWith<Response> response) {
        if (self.isNull()) {
            return;
        }
        if (!response.isOk()) {
            self->fail(requestId, response.status());
            return;
        }
        gen::OperatorResponseBody body;
        (body.*setResponse)(response.value());
        self->finish(requestId, body);
    });
}

void OperatorConnection::startWatch(std::int64_t requestId,
                                    const gen::SettingsWatchRequest& request) {
    const QPointer<OperatorConnection> self(this);
    auto watch =
        _service.settingsWatch(request, [self, requestId](const gen::SettingsChangeEvent& event) {
            if (!self.isNull() && self->_inFlight.contains(requestId)) {
                gen::OperatorResponseBody body;
                body.__set_settingsChange(event);
                self->send(requestId, body);
            }
        });
    if (!watch.isOk()) {
        fail(requestId, watch.status());
        return;
    }
    _watches.emplace(requestId, std::move(watch).value());
}

void OperatorConnection::cancel(std::int64_t requestId) {
    _inFlight.erase(requestId);
    _watches.erase(requestId);
}

void OperatorConnection::finish(std::int64_t requestId, const gen::OperatorResponseBody& body) {
    if (_inFlight.erase(requestId) == 1) {
        send(requestId, body);
    }
}

void OperatorConnection::fail(std::int64_t requestId, const Status& status) {
    finish(requestId, makeFailure(status));
}

void OperatorConnection::send(std::int64_t requestId, const gen::OperatorResponseBody& body) {
    gen::OperatorResponse response;
    response.requestId = requestId;
    response.body = body;
    const Status status = _socket->sendFrame(frame::encodeThrift(response));
    if (status.code() == ErrorCode::InvalidArgument) {
        response.body = makeFailure(
            Status(ErrorCode::Overloaded, "the answer is too large; ask for a smaller part"));
        (void)_socket->sendFrame(frame::encodeThrift(response));
    }
    if (_socket->pendingBytes() > kMostUnreadBytes) {
        disconnect("the operator does not read the answers");
    }
}

void OperatorConnection::disconnect(const std::string& /*reason*/) {
    _inFlight.clear();
    _watches.clear();
    _socket->abort();
    // From the event loop, because the caller may still use this object.
    QMetaObject::invokeMethod(
        this, [this] { _closed(); }, Qt::QueuedConnection);
}

}  // namespace coralhoist::operators
