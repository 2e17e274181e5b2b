#include "link/peer/RecordBatchCodec.h"

#include <QByteArray>
#include <QtEndian>
#include <utility>

#include "base/Error.h"
#include "link/frame/ThriftCodec.h"

namespace coralhoist::peer {
namespace {

/** Smaller batches gain too little. */
constexpr std::size_t kCompressFrom = 256;
/** Bounds the memory that a hostile batch can claim. */
constexpr std::uint32_t kLargestBatch = 16U << 20U;
constexpr std::size_t kBitsPerByte = 8;
constexpr std::size_t kBucketBytes = zone::kSettingsBuckets / kBitsPerByte;

Status violation(const char* reason) {
    return {ErrorCode::ProtocolViolation, reason};
}

gen::SettingsObject recordToThrift(const settings::SettingsObjectRecord& record) {
    gen::SettingsObject encoded;
    encoded.__set_path(record.path);
    encoded.__set_version(static_cast<std::int64_t>(record.version));
    encoded.__set_deleted(record.deleted);
    encoded.__set_document(record.document);
    if (!record.operationId.empty()) {
        encoded.__set_operationId(record.operationId);
    }
    if (!record.author.empty()) {
        encoded.__set_author(record.author);
    }
    return encoded;
}

settings::SettingsObjectRecord recordFromThrift(const gen::SettingsObject& encoded) {
    return {encoded.path,        static_cast<std::uint64_t>(encoded.version),
            encoded.deleted,     encoded.document,
            encoded.operationId, encoded.author};
}

StatusWith<std::string> decompress(const std::string& bytes) {
    // qCompress puts the size before the data, four bytes in network order.
    constexpr std::size_t kSizeBytes = sizeof(std::uint32_t);
    if (bytes.size() < kSizeBytes || qFromBigEndian<std::uint32_t>(bytes.data()) > kLargestBatch) {
        return violation("compressed batch of records claims too many bytes");
    }
    const QByteArray plain = qUncompress(reinterpret_cast<const uchar*>(bytes.data()),
                                         static_cast<qsizetype>(bytes.size()));
    if (plain.isEmpty()) {
        return violation("malformed compressed batch of records");
    }
    return plain.toStdString();
}

}  // namespace

gen::RecordBatch batchToThrift(const zone::RecordBatch& batch) {
    gen::RecordList list;
    list.records.reserve(batch.records.size());
    for (const settings::SettingsObjectRecord& record : batch.records) {
        list.records.push_back(recordToThrift(record));
    }
    gen::RecordBatch encoded;
    encoded.__set_compressed(false);
    encoded.__set_records(frame::encodeThrift(list));
    if (encoded.records.size() >= kCompressFrom) {
        const QByteArray compressed =
            qCompress(reinterpret_cast<const uchar*>(encoded.records.data()),
                      static_cast<qsizetype>(encoded.records.size()));
        if (static_cast<std::size_t>(compressed.size()) < encoded.records.size()) {
            encoded.__set_records(compressed.toStdString());
            encoded.__set_compressed(true);
        }
    }
    if (batch.filledBuckets) {
        encoded.__set_filledBuckets(encodeBuckets(*batch.filledBuckets));
    }
    return encoded;
}

StatusWith<zone::RecordBatch> batchFromThrift(const gen::RecordBatch& encoded) {
    StatusWith<std::string> plain =
        encoded.compressed ? decompress(encoded.records) : StatusWith<std::string>(encoded.records);
    if (!plain.isOk()) {
        return plain.status();
    }
    const auto list = frame::decodeThrift<gen::RecordList>(plain.value());
    if (!list.isOk()) {
        return list.status();
    }
    zone::RecordBatch batch;
    batch.records.reserve(list.value().records.size());
    for (const gen::SettingsObject& record : list.value().records) {
        if (record.path.empty() || record.version <= 0) {
            return violation("settings record without a path or version");
        }
        batch.records.push_back(recordFromThrift(record));
    }
    if (encoded.__isset.filledBuckets) {
        auto buckets = decodeBuckets(encoded.filledBuckets);
        if (!buckets.isOk()) {
            return buckets.status();
        }
        batch.filledBuckets = buckets.value();
    }
    return batch;
}

std::string encodeBuckets(const std::bitset<zone::kSettingsBuckets>& buckets) {
    std::string bytes(kBucketBytes, '\0');
    for (std::size_t bucket = 0; bucket < zone::kSettingsBuckets; ++bucket) {
        if (buckets.test(bucket)) {
            const auto bit = static_cast<unsigned>(1U << (bucket % kBitsPerByte));
            char& byte = bytes[bucket / kBitsPerByte];
            byte = static_cast<char>(static_cast<unsigned char>(byte) | bit);
        }
    }
    return bytes;
}

StatusWith<std::bitset<zone::kSettingsBuckets>> decodeBuckets(const std::string& bytes) {
    if (bytes.size() != kBucketBytes) {
        return violation("set of buckets has a wrong size");
    }
    std::bitset<zone::kSettingsBuckets> buckets;
    for (std::size_t bucket = 0; bucket < zone::kSettingsBuckets; ++bucket) {
        const auto byte = static_cast<unsigned char>(bytes[bucket / kBitsPerByte]);
        buckets.set(bucket, (byte >> (bucket % kBitsPerByte) & 1U) != 0);
    }
    return buckets;
}

}  // namespace coralhoist::peer
