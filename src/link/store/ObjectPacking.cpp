#include "link/store/ObjectPacking.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QtEndian>
#include <cstdint>

namespace coralhoist::store {
namespace {

/** First byte of packed content. */
constexpr char kPlain = 0;
constexpr char kCompressed = 1;
/** Larger contents are compressed: configurations repeat themselves, and bytes between zones are
 * dear. Smaller ones would not gain from it. */
constexpr qsizetype kCompressedFrom = 1024;
/** Fast rather than small. */
constexpr int kCompressionLevel = 1;
/** No object of a store is larger; a claim beyond it is damage and must not cost memory. */
constexpr std::uint32_t kLargestContent = 16U << 20U;

/** @return the size that compressed content claims to have: four bytes, the highest first. */
std::uint32_t uncompressedSize(const QByteArray& content) {
    constexpr qsizetype kPrefixBytes = 4;
    return content.size() < kPrefixBytes ? 0 : qFromBigEndian<std::uint32_t>(content.constData());
}

}  // namespace

std::string packContent(const QJsonObject& content) {
    const QByteArray plain = QJsonDocument(content).toJson(QJsonDocument::Compact);
    if (plain.size() < kCompressedFrom) {
        return kPlain + plain.toStdString();
    }
    return kCompressed + qCompress(plain, kCompressionLevel).toStdString();
}

std::optional<QJsonObject> unpackContent(const std::string& packed) {
    if (packed.empty()) {
        return std::nullopt;
    }
    QByteArray content =
        QByteArray::fromRawData(packed.data() + 1, static_cast<qsizetype>(packed.size()) - 1);
    if (packed.front() == kCompressed) {
        if (uncompressedSize(content) > kLargestContent) {
            return std::nullopt;
        }
        content = qUncompress(content);
    } else if (packed.front() != kPlain) {
        return std::nullopt;
    }
    const QJsonDocument document = QJsonDocument::fromJson(content);
    if (!document.isObject()) {
        return std::nullopt;
    }
    return document.object();
}

}  // namespace coralhoist::store
