#include "lab/platform/WatchStream.h"

#include <QJsonDocument>
#include <utility>

#include "link/platform/ObjectCodec.h"

namespace coralhoist::lab {
namespace {

constexpr const char* kLineEnd = "\r\n";
constexpr int kHexadecimal = 16;

const char* nameOf(ChangeKind kind) {
    switch (kind) {
        case ChangeKind::Added:
            return "ADDED";
        case ChangeKind::Modified:
            return "MODIFIED";
        case ChangeKind::Deleted:
            return "DELETED";
    }
    return "";
}

}  // namespace

WatchStream::WatchStream(QHttpServerResponder responder, QString collection)
    : _responder(std::move(responder)),
      _socket(_responder.socket()),
      _collection(std::move(collection)) {
    _responder.writeStatusLine();
    _responder.writeHeader("Content-Type", "application/json");
    _responder.writeHeader("Transfer-Encoding", "chunked");
    _responder.writeBody("");
}

void WatchStream::sendChange(const ObjectChange& change) {
    sendEvent(nameOf(change.kind), change.object);
}

void WatchStream::sendBookmark(std::uint64_t version) {
    const QJsonObject metadata{{"resourceVersion", QString::number(version)}};
    sendEvent("BOOKMARK",
              QJsonObject{{"apiVersion", platform::kApiVersion}, {"metadata", metadata}});
}

void WatchStream::sendError(const QJsonObject& status) {
    sendEvent("ERROR", status);
}

void WatchStream::finish() {
    if (_socket) {
        _socket->disconnectFromHost();
    }
}

void WatchStream::cut() {
    if (_socket) {
        _socket->abort();
    }
}

bool WatchStream::isOpen() const {
    return _socket && _socket->state() == QAbstractSocket::ConnectedState;
}

void WatchStream::sendEvent(const char* type, const QJsonObject& object) {
    if (!isOpen()) {
        return;
    }
    const QJsonObject event{{"type", type}, {"object", object}};
    const QByteArray line = QJsonDocument(event).toJson(QJsonDocument::Compact) + '\n';
    const QByteArray size = QByteArray::number(line.size(), kHexadecimal);
    _responder.writeBody(size + kLineEnd + line + kLineEnd);
}

}  // namespace coralhoist::lab
