#include "link/platform/HttpWatch.h"

#include <QPointer>
#include <chrono>
#include <utility>

#include "base/Error.h"

namespace coralhoist::platform {
namespace {

Status startTooOld() {
    return {ErrorCode::VersionTooOld, "the platform no longer keeps the changes; listing again"};
}

}  // namespace

HttpWatch::HttpWatch(HttpRequester& requester, const char* collection, WatchState state,
                     const PlatformClientOptions& options,
                     std::unique_ptr<ObjectWatchEvents> events)
    : _requester(requester),
      _collection(collection),
      _state(state),
      _options(options),
      _events(std::move(events)) {
    _delayTimer.setSingleShot(true);
    connect(&_delayTimer, &QTimer::timeout, this, [this] { run(_nextAction); });
    _silenceTimer.setSingleShot(true);
    _silenceTimer.setInterval(
        std::chrono::ceil<std::chrono::milliseconds>(_options.watchSilenceLimit));
    connect(&_silenceTimer, &QTimer::timeout, this, &HttpWatch::onStreamSilent);
    schedule(_state.start());
}

HttpWatch::~HttpWatch() {
    closeStream();
}

void HttpWatch::schedule(const WatchAction& action) {
    _nextAction = action;
    _delayTimer.start(std::chrono::ceil<std::chrono::milliseconds>(action.delay));
}

void HttpWatch::run(const WatchAction& action) {
    if (action.kind == WatchAction::Kind::List) {
        list();
    } else {
        openStream(action.fromVersion);
    }
}

void HttpWatch::list() {
    const QPointer<HttpWatch> alive(this);
    _requester.send("GET", collectionPath(_collection), {}, _options.requestTimeout,
                    [alive](const HttpAnswer& answer) {
                        if (alive) {
                            alive->onListAnswer(answer);
                        }
                    });
}

void HttpWatch::onListAnswer(const HttpAnswer& answer) {
    const auto decoded = decodeList(answer);
    if (!decoded.isOk()) {
        interrupt(decoded.status());
        return;
    }
    if (!_state.onListed(decoded.value().version)) {
        interrupt(Status(ErrorCode::VersionTooOld, "the platform listed an older state"));
        return;
    }
    const QPointer<HttpWatch> alive(this);
    const Status status = _events->onListed(decoded.value());
    if (!alive) {
        return;
    }
    if (!status.isOk()) {
        listAgain(status);
        return;
    }
    schedule(_state.afterList());
}

void HttpWatch::openStream(std::uint64_t fromVersion) {
    _decoder = WatchDecoder();
    const QString query = "?watch=1&allowWatchBookmarks=true&resourceVersion=";
    _stream =
        _requester.openStream(collectionPath(_collection) + query + QString::number(fromVersion));
    connect(_stream, &QNetworkReply::readyRead, this, &HttpWatch::onStreamData);
    connect(_stream, &QNetworkReply::finished, this, &HttpWatch::onStreamFinished);
    _silenceTimer.start();
}

void HttpWatch::onStreamData() {
    const int status = _stream->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status != kHttpOk) {
        return;  // The refusal is reported when the answer is whole.
    }
    _silenceTimer.start();
    const auto decoded = _decoder.feed(_stream->readAll());
    if (!decoded.isOk()) {
        interrupt(decoded.status());
        return;
    }
    for (const WatchEvent& event : decoded.value()) {
        if (!deliver(event)) {
            return;
        }
    }
}

bool HttpWatch::deliver(const WatchEvent& event) {
    const QPointer<HttpWatch> alive(this);
    switch (event.kind) {
        case WatchEvent::Kind::Changed:
        case WatchEvent::Kind::Deleted: {
            if (!_state.onChange(event.version)) {
                return true;
            }
            const Status status = _events->onChanged(event);
            if (alive && !status.isOk()) {
                // The position has passed the event, so only a list can make up for it.
                listAgain(status);
                return false;
            }
            return alive;
        }
        case WatchEvent::Kind::Bookmark:
            _state.onBookmark(event.version);
            _events->onProgress(event.version);
            return alive;
        case WatchEvent::Kind::Gone:
            listAgain(startTooOld());
            return false;
        case WatchEvent::Kind::Failed:
            break;
    }
    interrupt(Status(ErrorCode::Unavailable, "the platform ended the watch with an error"));
    return false;
}

void HttpWatch::onStreamFinished() {
    const int status = _stream->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == kHttpGone) {
        listAgain(startTooOld());
        return;
    }
    const std::string reason = _stream->errorString().toStdString();
    interrupt(Status(ErrorCode::Unavailable, "the watch ended: " + reason));
}

void HttpWatch::onStreamSilent() {
    interrupt(Status(ErrorCode::DeadlineExceeded, "the watch fell silent"));
}

void HttpWatch::interrupt(const Status& reason) {
    closeStream();
    schedule(_state.onInterrupted());
    _events->onInterrupted(reason);
}

void HttpWatch::listAgain(const Status& reason) {
    closeStream();
    schedule(_state.onGone());
    _events->onInterrupted(reason);
}

void HttpWatch::closeStream() {
    _silenceTimer.stop();
    if (_stream == nullptr) {
        return;
    }
    QNetworkReply* stream = std::exchange(_stream, nullptr);
    stream->disconnect(this);
    stream->abort();
    stream->deleteLater();
}

}  // namespace coralhoist::platform
