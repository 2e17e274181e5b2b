#include "link/caller/SessionToken.h"

#include <xxhash.h>

#include <QByteArray>
#include <QDataStream>
#include <QIODevice>
#include <utility>

#include "base/Error.h"

namespace coralhoist::caller {
namespace {

constexpr QDataStream::Version kEncoding = QDataStream::Qt_6_0;
constexpr std::size_t kLongestText = 512;
constexpr qsizetype kChecksumBytes = sizeof(quint64);
constexpr QByteArray::Base64Options kTextOptions =
    QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals;

quint64 checksumOf(const QByteArray& body) {
    return XXH64(body.constData(), static_cast<std::size_t>(body.size()), SessionToken::kVersion);
}

Status malformed(const std::string& reason) {
    return {ErrorCode::InvalidArgument, "session token is malformed: " + reason};
}

}  // namespace

std::string SessionToken::toText() const {
    QByteArray body;
    QDataStream bodyStream(&body, QIODevice::WriteOnly);
    bodyStream.setVersion(kEncoding);
    bodyStream << kVersion << QByteArray::fromStdString(group.value()) << quint64{opTime.term}
               << quint64{opTime.position};
    QByteArray whole = body;
    QDataStream checksumStream(&whole, QIODevice::Append);
    checksumStream << checksumOf(body);
    return whole.toBase64(kTextOptions).toStdString();
}

StatusWith<SessionToken> SessionToken::fromText(const std::string& text) {
    if (text.size() > kLongestText) {
        return malformed("too long");
    }
    const auto decoded = QByteArray::fromBase64Encoding(
        QByteArray::fromStdString(text), kTextOptions | QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded || decoded.decoded.size() <= kChecksumBytes) {
        return malformed("not a token");
    }
    const QByteArray body = decoded.decoded.chopped(kChecksumBytes);
    QDataStream stream(decoded.decoded);
    stream.setVersion(kEncoding);
    quint8 version = 0;
    QByteArray group;
    quint64 term = 0;
    quint64 position = 0;
    quint64 checksum = 0;
    stream >> version >> group >> term >> position >> checksum;
    if (stream.status() != QDataStream::Ok || !stream.atEnd() || checksum != checksumOf(body)) {
        return malformed("checksum mismatch");
    }
    if (version != kVersion) {
        return malformed("unknown version " + std::to_string(version));
    }
    return SessionToken{GroupName(group.toStdString()), OpTime{term, position}};
}

}  // namespace coralhoist::caller
