#include "link/platform/HttpEdit.h"

#include <QPointer>
#include <chrono>
#include <utility>

#include "base/Error.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::platform {
namespace {

ReadAnswer classifyRead(const HttpAnswer& answer) {
    ReadAnswer result;
    const bool answered = answer.transport == HttpAnswer::Transport::Answered;
    if (answered && answer.statusCode == kHttpNotFound) {
        result.kind = ReadAnswer::Kind::NotFound;
        return result;
    }
    result.status = failureOf(answer);
    if (!answered || answer.statusCode != kHttpOk) {
        return result;
    }
    const auto node = decodeNode(objectOf(answer));
    if (!node.isOk()) {
        result.status = node.status();
        return result;
    }
    result.kind = ReadAnswer::Kind::Found;
    result.node = node.value();
    return result;
}

WriteAnswer classifyWrite(const HttpAnswer& answer) {
    WriteAnswer result;
    if (answer.transport == HttpAnswer::Transport::NotSent) {
        result.kind = WriteAnswer::Kind::NotSent;
        return result;
    }
    if (answer.transport == HttpAnswer::Transport::Lost) {
        return result;
    }
    if (answer.statusCode == kHttpOk || answer.statusCode == kHttpCreated) {
        // Without a readable version the effect is certain but not its version: it is read again.
        const auto version = resourceVersionOf(objectOf(answer));
        result.kind = version ? WriteAnswer::Kind::Applied : WriteAnswer::Kind::Lost;
        result.version = version.value_or(0);
        return result;
    }
    result.status = failureOf(answer);
    if (answer.statusCode == kHttpConflict || answer.statusCode == kHttpNotFound) {
        result.kind = WriteAnswer::Kind::Conflict;
    } else if (answer.statusCode == kHttpTooManyRequests) {
        result.kind = WriteAnswer::Kind::NotSent;
    } else if (result.status.code() == ErrorCode::InvalidArgument) {
        result.kind = WriteAnswer::Kind::Refused;
    }
    return result;
}

}  // namespace

HttpEdit::HttpEdit(HttpRequester& requester, EditResolution resolution, ReconnectPolicy policy,
                   const PlatformClientOptions& options, EditCallback callback, QObject* parent)
    : QObject(parent),
      _requester(requester),
      _resolution(std::move(resolution)),
      _policy(policy),
      _options(options),
      _callback(std::move(callback)) {
    _delayTimer.setSingleShot(true);
    connect(&_delayTimer, &QTimer::timeout, this, [this] { read(); });
    _deadlineTimer.setSingleShot(true);
    connect(&_deadlineTimer, &QTimer::timeout, this, [this] { perform(_resolution.onDeadline()); });
    _deadlineTimer.start(std::chrono::ceil<std::chrono::milliseconds>(_options.editDeadline));
    _path = objectPath(kSettingsCollection, objectNameOfPath(_resolution.path()));
    QTimer::singleShot(0, this, [this] { perform(_resolution.start()); });
}

void HttpEdit::perform(EditAction action) {
    if (_finished) {
        return;
    }
    switch (action.kind) {
        case EditAction::Kind::Read:
            _delayTimer.start(std::chrono::ceil<std::chrono::milliseconds>(
                action.afterDelay ? _policy.nextDelay() : Duration(0)));
            return;
        case EditAction::Kind::Write:
            write(action);
            return;
        case EditAction::Kind::Finish:
            finish(*action.outcome);
            return;
    }
}

void HttpEdit::read() {
    const QPointer<HttpEdit> alive(this);
    _requester.send("GET", _path, {}, _options.requestTimeout, [alive](const HttpAnswer& answer) {
        if (alive) {
            alive->perform(alive->_resolution.onRead(classifyRead(answer)));
        }
    });
}

void HttpEdit::write(const EditAction& action) {
    const auto object = encodeNode(*action.node, action.baseVersion);
    if (!object.isOk()) {
        perform(_resolution.onWrite({WriteAnswer::Kind::Refused, 0, object.status()}));
        return;
    }
    const bool create = action.baseVersion == 0;
    const QString path = create ? collectionPath(kSettingsCollection) : _path;
    const QPointer<HttpEdit> alive(this);
    _requester.send(create ? "POST" : "PUT", path, object.value(), _options.requestTimeout,
                    [alive](const HttpAnswer& answer) {
                        if (alive) {
                            alive->perform(alive->_resolution.onWrite(classifyWrite(answer)));
                        }
                    });
}

void HttpEdit::finish(const EditOutcome& outcome) {
    _finished = true;
    _delayTimer.stop();
    _deadlineTimer.stop();
    deleteLater();
    const EditCallback callback = std::move(_callback);
    callback(outcome);
}

}  // namespace coralhoist::platform
