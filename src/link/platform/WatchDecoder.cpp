#include "link/platform/WatchDecoder.h"

#include <QJsonDocument>
#include <optional>

#include "base/Error.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::platform {
namespace {

constexpr int kHttpGone = 410;

std::optional<WatchEvent::Kind> kindOf(const QString& type) {
    if (type == "ADDED" || type == "MODIFIED") {
        return WatchEvent::Kind::Changed;
    }
    if (type == "DELETED") {
        return WatchEvent::Kind::Deleted;
    }
    if (type == "BOOKMARK") {
        return WatchEvent::Kind::Bookmark;
    }
    if (type == "ERROR") {
        return WatchEvent::Kind::Failed;
    }
    return std::nullopt;
}

std::optional<WatchEvent> decodeLine(const QByteArray& line) {
    const QJsonObject message = QJsonDocument::fromJson(line).object();
    const auto kind = kindOf(message["type"].toString());
    if (!kind) {
        return std::nullopt;
    }
    WatchEvent event;
    event.kind = *kind;
    event.object = message["object"].toObject();
    if (*kind == WatchEvent::Kind::Failed) {
        const bool gone = event.object["code"].toInt() == kHttpGone;
        event.kind = gone ? WatchEvent::Kind::Gone : WatchEvent::Kind::Failed;
        return event;
    }
    const auto version = resourceVersionOf(event.object);
    if (!version) {
        return std::nullopt;
    }
    event.version = *version;
    return event;
}

}  // namespace

StatusWith<std::vector<WatchEvent>> WatchDecoder::feed(const QByteArray& bytes) {
    _pending += bytes;
    std::vector<WatchEvent> events;
    qsizetype begin = 0;
    for (qsizetype end = _pending.indexOf('\n'); end >= 0; end = _pending.indexOf('\n', begin)) {
        const auto event = decodeLine(_pending.mid(begin, end - begin));
        if (!event) {
            return Status(ErrorCode::ProtocolViolation, "the watch sent an unreadable event");
        }
        events.push_back(*event);
        begin = end + 1;
    }
    _pending.remove(0, begin);
    if (_pending.size() > kLargestWatchEvent) {
        return Status(ErrorCode::ProtocolViolation, "the watch sent an event that is too large");
    }
    return events;
}

}  // namespace coralhoist::platform
