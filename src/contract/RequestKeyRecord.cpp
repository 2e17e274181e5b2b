#include "contract/RequestKeyRecord.h"

#include <xxhash.h>

#include <QByteArray>
#include <QDataStream>
#include <QIODevice>

namespace coralhoist::contract {
namespace {

constexpr quint8 kOutcomeFormat = 1;
constexpr QDataStream::Version kStreamVersion = QDataStream::Qt_6_0;
constexpr const char* kHexadecimalPrefix = "\\x";

QByteArray toByteArray(const std::string& text) {
    return {text.data(), static_cast<qsizetype>(text.size())};
}

void writeStep(QDataStream& stream, const StatementStep& step) {
    stream << static_cast<qint32>(step.action) << toByteArray(step.sql)
           << static_cast<qint32>(step.resultFormat) << step.describeRows;
    stream << static_cast<quint32>(step.parameterTypes.size());
    for (const std::uint32_t type : step.parameterTypes) {
        stream << static_cast<quint32>(type);
    }
    stream << static_cast<quint32>(step.parameters.size());
    for (const ParameterValue& parameter : step.parameters) {
        stream << parameter.bytes.has_value() << static_cast<qint32>(parameter.format)
               << toByteArray(parameter.bytes.value_or(std::string()));
    }
}

}  // namespace

std::string fingerprintOf(const StatementBatch& batch) {
    QByteArray buffer;
    QDataStream stream(&buffer, QIODevice::WriteOnly);
    stream.setVersion(kStreamVersion);
    for (const StatementStep& step : batch.steps) {
        writeStep(stream, step);
    }
    const XXH128_hash_t hash = XXH3_128bits(buffer.constData(), buffer.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    const QByteArray digest(reinterpret_cast<const char*>(canonical.digest),
                            sizeof canonical.digest);
    return digest.toHex().toStdString();
}

std::string encodeOutcome(const std::vector<ResponsePiece>& pieces) {
    QByteArray buffer;
    QDataStream stream(&buffer, QIODevice::WriteOnly);
    stream.setVersion(kStreamVersion);
    stream << kOutcomeFormat << static_cast<quint32>(pieces.size());
    for (const ResponsePiece& piece : pieces) {
        stream << static_cast<quint32>(piece.stepIndex) << piece.stepComplete
               << toByteArray(piece.bytes);
    }
    return buffer.toStdString();
}

std::optional<std::vector<ResponsePiece>> decodeOutcome(const std::string& value) {
    QByteArray buffer = toByteArray(value);
    if (buffer.startsWith(kHexadecimalPrefix)) {
        buffer = QByteArray::fromHex(buffer.mid(2));
    }
    QDataStream stream(buffer);
    stream.setVersion(kStreamVersion);
    quint8 format = 0;
    quint32 count = 0;
    stream >> format >> count;
    if (stream.status() != QDataStream::Ok || format != kOutcomeFormat) {
        return std::nullopt;
    }
    std::vector<ResponsePiece> pieces;
    for (quint32 index = 0; index < count; ++index) {
        quint32 stepIndex = 0;
        bool stepComplete = false;
        QByteArray bytes;
        stream >> stepIndex >> stepComplete >> bytes;
        if (stream.status() != QDataStream::Ok) {
            return std::nullopt;
        }
        pieces.push_back({stepIndex, bytes.toStdString(), stepComplete});
    }
    return pieces;
}

}  // namespace coralhoist::contract
