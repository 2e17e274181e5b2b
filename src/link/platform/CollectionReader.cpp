#include "link/platform/CollectionReader.h"

#include <QJsonDocument>

#include "base/Error.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::platform {

QString collectionPath(const char* collection) {
    return QString(kApiRoot) + collection;
}

QString objectPath(const char* collection, const QString& name) {
    return collectionPath(collection) + '/' + name;
}

Status failureOf(const HttpAnswer& answer) {
    if (answer.transport != HttpAnswer::Transport::Answered) {
        const auto code = answer.timedOut ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable;
        return {code, "platform: " + answer.message};
    }
    const std::string reason = objectOf(answer)["message"].toString().toStdString();
    const std::string message =
        "platform answered " + std::to_string(answer.statusCode) + ": " + reason;
    switch (answer.statusCode) {
        case kHttpNotFound:
            return {ErrorCode::NotFound, message};
        case kHttpConflict:
            return {ErrorCode::VersionConflict, message};
        case kHttpGone:
            return {ErrorCode::VersionTooOld, message};
        default:
            break;
    }
    const bool refused = answer.statusCode >= kHttpClientErrors &&
                         answer.statusCode < kHttpServerErrors &&
                         answer.statusCode != kHttpTooManyRequests;
    return {refused ? ErrorCode::InvalidArgument : ErrorCode::Unavailable, message};
}

QJsonObject objectOf(const HttpAnswer& answer) {
    return QJsonDocument::fromJson(answer.body).object();
}

StatusWith<ObjectList> decodeList(const HttpAnswer& answer) {
    if (answer.transport != HttpAnswer::Transport::Answered || answer.statusCode != kHttpOk) {
        return failureOf(answer);
    }
    const QJsonObject body = objectOf(answer);
    const auto version = resourceVersionOf(body);
    if (!version || !body["items"].isArray()) {
        return Status(ErrorCode::ProtocolViolation, "platform: the list is unreadable");
    }
    return ObjectList{body["items"].toArray(), *version};
}

}  // namespace coralhoist::platform
