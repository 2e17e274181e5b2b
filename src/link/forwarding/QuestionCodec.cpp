#include "link/forwarding/QuestionCodec.h"

#include <chrono>
#include <memory>
#include <utility>

#include "link/store/ObjectPacking.h"

namespace coralhoist::forwarding {
namespace {

using std::chrono::microseconds;
using store::ObjectEvent;

std::int64_t toMicroseconds(Duration duration) {
    return std::chrono::duration_cast<microseconds>(duration).count();
}

/** Rounded up: what is known may seem older than it is, but not younger. */
std::int64_t ageInMicroseconds(Duration age) {
    return toMicroseconds(age) + 1;
}

gen::ProofRequest writeProofRequest(const UnitMessage& message) {
    gen::ProofRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.newestVersion = static_cast<std::int64_t>(message.proofNeed.newestVersion);
    record.maximumAgeUs = toMicroseconds(message.proofNeed.maximumAge);
    return record;
}

UnitMessage readProofRequest(const gen::ProofRequest& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::ProofAsked;
    message.question = static_cast<std::uint64_t>(record.question);
    message.proofNeed.newestVersion = static_cast<std::uint64_t>(record.newestVersion);
    message.proofNeed.maximumAge = microseconds(record.maximumAgeUs);
    return message;
}

gen::ProofReply writeProofReply(const UnitMessage& message) {
    gen::ProofReply record;
    record.question = static_cast<std::int64_t>(message.question);
    if (!message.proof) {
        return record;
    }
    record.__set_ageUs(ageInMicroseconds(message.proof->age));
    for (const auto& [group, version] : message.proof->recordVersions) {
        gen::RecordVersion entry;
        entry.groupName = group.value();
        entry.version = static_cast<std::int64_t>(version);
        record.versions.push_back(std::move(entry));
    }
    return record;
}

std::optional<UnitMessage> readProofReply(const gen::ProofReply& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::Proof;
    message.question = static_cast<std::uint64_t>(record.question);
    if (!record.__isset.ageUs) {
        return message;
    }
    if (record.ageUs < 0) {
        return std::nullopt;
    }
    message.proof.emplace();
    message.proof->age = microseconds(record.ageUs);
    for (const gen::RecordVersion& entry : record.versions) {
        message.proof->recordVersions[GroupName(entry.groupName)] =
            static_cast<std::uint64_t>(entry.version);
    }
    return message;
}

gen::ChangesRequest writeChangesRequest(const UnitMessage& message) {
    gen::ChangesRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.origin = message.feedQuestion.origin.value();
    for (const std::optional<std::uint64_t>& position : message.feedQuestion.positions) {
        gen::KindPosition entry;
        if (position) {
            entry.__set_position(static_cast<std::int64_t>(*position));
        }
        record.positions.push_back(entry);
    }
    return record;
}

UnitMessage readChangesRequest(const gen::ChangesRequest& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::ChangesAsked;
    message.question = static_cast<std::uint64_t>(record.question);
    message.feedQuestion.origin = NodeName(record.origin);
    for (const gen::KindPosition& entry : record.positions) {
        message.feedQuestion.positions.push_back(
            entry.__isset.position
                ? std::optional<std::uint64_t>(static_cast<std::uint64_t>(entry.position))
                : std::nullopt);
    }
    return message;
}

gen::ObjectChange writeChange(const ObjectEvent& event) {
    gen::ObjectChange record;
    record.name = event.object.name;
    record.version = static_cast<std::int64_t>(event.object.version);
    record.removed = event.removed;
    if (!event.removed) {
        record.content = event.packed ? *event.packed : store::packContent(event.object.content);
    }
    return record;
}

std::optional<ObjectEvent> readChange(const gen::ObjectChange& record) {
    ObjectEvent event;
    event.object.name = record.name;
    event.object.version = static_cast<std::uint64_t>(record.version);
    event.removed = record.removed;
    if (event.removed) {
        return event;
    }
    std::optional<QJsonObject> content = store::unpackContent(record.content);
    if (!content) {
        return std::nullopt;
    }
    event.object.content = std::move(*content);
    // Kept, so that the node can hand it on without packing it again.
    event.packed = std::make_shared<const std::string>(record.content);
    return event;
}

gen::ChangesReply writeChangesReply(const UnitMessage& message) {
    gen::ChangesReply record;
    record.question = static_cast<std::int64_t>(message.question);
    record.known = message.feedAnswer.has_value();
    record.ageWhenAskedUs = 0;
    if (!message.feedAnswer) {
        return record;
    }
    record.origin = message.feedAnswer->origin.value();
    record.ageWhenAskedUs = ageInMicroseconds(message.feedAnswer->ageWhenAsked);
    if (message.feedAnswer->provenAgeWhenAsked) {
        record.__set_provenAgeUs(ageInMicroseconds(*message.feedAnswer->provenAgeWhenAsked));
    }
    for (const store::KindChanges& changes : message.feedAnswer->kinds) {
        gen::ChangesOfKind entry;
        entry.kind = static_cast<std::int32_t>(changes.kind);
        entry.complete = changes.changes.complete;
        entry.position = static_cast<std::int64_t>(changes.changes.position);
        for (const ObjectEvent& event : changes.changes.events) {
            entry.changes.push_back(writeChange(event));
        }
        record.kinds.push_back(std::move(entry));
    }
    return record;
}

std::optional<store::KindChanges> readChangesOfKind(const gen::ChangesOfKind& record) {
    if (record.kind < 0) {
        return std::nullopt;
    }
    store::KindChanges result;
    result.kind = static_cast<std::size_t>(record.kind);
    result.changes.complete = record.complete;
    result.changes.position = static_cast<std::uint64_t>(record.position);
    for (const gen::ObjectChange& change : record.changes) {
        std::optional<ObjectEvent> event = readChange(change);
        if (!event) {
            return std::nullopt;
        }
        result.changes.events.push_back(std::move(*event));
    }
    return result;
}

std::optional<UnitMessage> readChangesReply(const gen::ChangesReply& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::Changes;
    message.question = static_cast<std::uint64_t>(record.question);
    if (!record.known) {
        return message;
    }
    message.feedAnswer.emplace();
    message.feedAnswer->origin = NodeName(record.origin);
    message.feedAnswer->ageWhenAsked = microseconds(record.ageWhenAskedUs);
    if (record.__isset.provenAgeUs) {
        message.feedAnswer->provenAgeWhenAsked = microseconds(record.provenAgeUs);
    }
    for (const gen::ChangesOfKind& entry : record.kinds) {
        std::optional<store::KindChanges> changes = readChangesOfKind(entry);
        if (!changes) {
            return std::nullopt;
        }
        message.feedAnswer->kinds.push_back(std::move(*changes));
    }
    return message;
}

gen::QuotaRequest writeQuotaRequest(const UnitMessage& message) {
    gen::QuotaRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.tenantName = message.quotaQuestion.tenant.value();
    record.wanted = static_cast<std::int32_t>(message.quotaQuestion.wanted);
    record.returned = static_cast<std::int32_t>(message.quotaQuestion.returned);
    return record;
}

std::optional<UnitMessage> readQuotaRequest(const gen::QuotaRequest& record) {
    if (record.wanted < 0 || record.returned < 0) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::QuotaAsked;
    message.question = static_cast<std::uint64_t>(record.question);
    message.quotaQuestion = {TenantName(record.tenantName),
                             static_cast<std::uint32_t>(record.wanted),
                             static_cast<std::uint32_t>(record.returned)};
    return message;
}

gen::QuotaReply writeQuotaReply(const UnitMessage& message) {
    gen::QuotaReply record;
    record.question = static_cast<std::int64_t>(message.question);
    record.declined = message.quotaAnswer.declined;
    record.granted = static_cast<std::int32_t>(message.quotaAnswer.granted);
    record.retryAfterUs = toMicroseconds(message.quotaAnswer.retryAfter);
    record.scarce = message.quotaAnswer.scarce;
    return record;
}

std::optional<UnitMessage> readQuotaReply(const gen::QuotaReply& record) {
    if (record.granted < 0 || record.retryAfterUs < 0) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::Quota;
    message.question = static_cast<std::uint64_t>(record.question);
    message.quotaAnswer = {record.declined, static_cast<std::uint32_t>(record.granted),
                           microseconds(record.retryAfterUs), record.scarce};
    return message;
}

}  // namespace

bool isQuestionFrame(const gen::UnitFrame& frame) {
    return frame.__isset.proofRequest || frame.__isset.proofReply || frame.__isset.changesRequest ||
           frame.__isset.changesReply || frame.__isset.quotaRequest || frame.__isset.quotaReply;
}

std::optional<UnitMessage> readQuestionFrame(const gen::UnitFrame& frame) {
    if (frame.__isset.proofRequest) {
        return readProofRequest(frame.proofRequest);
    }
    if (frame.__isset.proofReply) {
        return readProofReply(frame.proofReply);
    }
    if (frame.__isset.changesRequest) {
        return readChangesRequest(frame.changesRequest);
    }
    if (frame.__isset.changesReply) {
        return readChangesReply(frame.changesReply);
    }
    if (frame.__isset.quotaRequest) {
        return readQuotaRequest(frame.quotaRequest);
    }
    return readQuotaReply(frame.quotaReply);
}

void writeQuestionFrame(const UnitMessage& message, gen::UnitFrame& frame) {
    switch (message.kind) {
        case UnitMessage::Kind::ProofAsked:
            frame.__set_proofRequest(writeProofRequest(message));
            return;
        case UnitMessage::Kind::Proof:
            frame.__set_proofReply(writeProofReply(message));
            return;
        case UnitMessage::Kind::ChangesAsked:
            frame.__set_changesRequest(writeChangesRequest(message));
            return;
        case UnitMessage::Kind::Changes:
            frame.__set_changesReply(writeChangesReply(message));
            return;
        case UnitMessage::Kind::QuotaAsked:
            frame.__set_quotaRequest(writeQuotaRequest(message));
            return;
        case UnitMessage::Kind::Quota:
            frame.__set_quotaReply(writeQuotaReply(message));
            return;
        default:
            return;
    }
}

}  // namespace coralhoist::forwarding
