#include "link/caller/ReplySequence.h"

#include <QtEndian>
#include <cstdint>
#include <string_view>
#include <utility>

namespace coralhoist::caller {
namespace {

/** Type bytes of back-end messages that are looked at. */
enum class BackendType : char {
    CommandComplete = 'C',
    ErrorResponse = 'E',
    NoData = 'n',
    NoticeResponse = 'N',
    ParameterDescription = 't',
    RowDescription = 'T',
};

constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kFormatBytes = 2;
/** Table OID, column number, type OID, type size and modifier of a column. */
constexpr std::size_t kColumnFixedBytes = 4 + 2 + 4 + 2 + 4;

/** @return the size of the message at offset, cut to what is there. */
std::size_t messageSize(std::string_view bytes, std::size_t offset) {
    if (bytes.size() - offset < kTypeBytes + kLengthBytes) {
        return bytes.size() - offset;
    }
    const auto length = qFromBigEndian<std::uint32_t>(bytes.data() + offset + kTypeBytes);
    return std::min<std::size_t>(kTypeBytes + length, bytes.size() - offset);
}

std::string noDataMessage() {
    return {static_cast<char>(BackendType::NoData), 0, 0, 0, kLengthBytes};
}

bool isDescription(StepReply reply) {
    return reply == StepReply::StatementDescription || reply == StepReply::PortalDescription;
}

bool isWanted(StepReply reply, BackendType type) {
    if (reply == StepReply::Discarded) {
        return false;
    }
    switch (type) {
        case BackendType::NoData:
            return reply == StepReply::DescribedPortal || isDescription(reply);
        case BackendType::RowDescription:
            return reply != StepReply::Portal;
        case BackendType::ParameterDescription:
            return reply == StepReply::StatementDescription;
        case BackendType::CommandComplete:
            return !isDescription(reply);
        default:
            return true;
    }
}

/** Writes a format code into every column of a RowDescription. */
void setFormats(std::string& message, contract::ValueFormat format) {
    std::size_t position = kTypeBytes + kLengthBytes + sizeof(std::uint16_t);
    while (position < message.size()) {
        const std::size_t nameEnd = message.find('\0', position);
        if (nameEnd == std::string::npos) {
            return;
        }
        position = nameEnd + 1 + kColumnFixedBytes;
        if (position + kFormatBytes > message.size()) {
            return;
        }
        qToBigEndian(static_cast<std::int16_t>(format), message.data() + position);
        position += kFormatBytes;
    }
}

}  // namespace

void ReplySequence::addLocal(std::string bytes) {
    Entry entry;
    entry.bytes = std::move(bytes);
    _entries.push_back(std::move(entry));
}

void ReplySequence::addStep(StepReply reply, contract::ValueFormat format) {
    Entry entry;
    entry.isStep = true;
    entry.reply = reply;
    entry.format = format;
    entry.stepIndex = _stepCount++;
    _entries.push_back(std::move(entry));
}

std::string ReplySequence::takeLeading() {
    std::string output;
    while (_position < _entries.size() && !_entries[_position].isStep) {
        output += std::exchange(_entries[_position].bytes, {});
        ++_position;
    }
    return output;
}

void ReplySequence::skipToStep(std::size_t stepIndex, std::string& output) {
    output += takeLeading();
    while (_position < _entries.size() && _entries[_position].stepIndex < stepIndex) {
        ++_position;
        _described = false;
        output += takeLeading();
    }
}

std::string ReplySequence::onStepBytes(std::size_t stepIndex, std::string bytes,
                                       bool stepComplete) {
    std::string output;
    if (_failed) {
        return output;
    }
    skipToStep(stepIndex, output);
    if (_position >= _entries.size() || _entries[_position].stepIndex != stepIndex) {
        return output;
    }
    std::string wanted = filter(_entries[_position], std::move(bytes));
    output = output.empty() ? std::move(wanted) : output + wanted;
    if (stepComplete && !_failed) {
        ++_position;
        _described = false;
    }
    return output;
}

std::string ReplySequence::filter(const Entry& entry, std::string bytes) {
    std::string output;
    std::size_t keptFrom = 0;
    std::size_t offset = 0;
    while (offset < bytes.size() && !_failed) {
        const auto type = static_cast<BackendType>(bytes[offset]);
        const std::size_t size = messageSize(bytes, offset);
        const bool describes = type == BackendType::RowDescription || type == BackendType::NoData;
        _failed = type == BackendType::ErrorResponse && entry.reply != StepReply::Discarded;
        if (entry.reply == StepReply::DescribedPortal && !_described && !describes && !_failed &&
            type != BackendType::NoticeResponse) {
            output.append(bytes, keptFrom, offset - keptFrom);
            output += noDataMessage();
            keptFrom = offset;
            _described = true;
        }
        if (!isWanted(entry.reply, type)) {
            output.append(bytes, keptFrom, offset - keptFrom);
            keptFrom = offset + size;
        } else if (describes && entry.reply == StepReply::PortalDescription) {
            std::string message = bytes.substr(offset, size);
            setFormats(message, entry.format);
            output.append(bytes, keptFrom, offset - keptFrom);
            output += message;
            keptFrom = offset + size;
        }
        _described = _described || describes;
        offset += size;
    }
    if (output.empty() && keptFrom == 0 && offset == bytes.size()) {
        return bytes;
    }
    output.append(bytes, keptFrom, offset - keptFrom);
    return output;
}

std::string ReplySequence::takeRest() {
    std::string output;
    if (_failed) {
        return output;
    }
    skipToStep(_stepCount, output);
    return output;
}

}  // namespace coralhoist::caller
