#include "link/forwarding/QuestionCodec.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "link/store/ObjectPacking.h"
#include "tenancy/QuotaShardRecord.h"

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

/** Units may seem usable for longer than they are, but not shorter. */
std::int64_t roundedUp(Duration duration) {
    return std::chrono::ceil<microseconds>(duration).count();
}

std::vector<std::int32_t> writeUnits(const std::vector<std::uint32_t>& units) {
    return {units.begin(), units.end()};
}

/** @return nothing when a number is below 0. */
std::optional<std::vector<std::uint32_t>> readUnits(const std::vector<std::int32_t>& record) {
    const bool valid =
        std::all_of(record.begin(), record.end(), [](std::int32_t units) { return units >= 0; });
    if (!valid) {
        return std::nullopt;
    }
    return std::vector<std::uint32_t>(record.begin(), record.end());
}

/** @return the name of a batch in any record that has one. */
template <typename Record>
tenancy::BatchId batchOf(const Record& record) {
    return {static_cast<std::uint64_t>(record.term), static_cast<std::uint64_t>(record.number)};
}

gen::StoreVersion writeVersion(const StoreVersion& version) {
    gen::StoreVersion record;
    record.era = static_cast<std::int64_t>(version.era);
    record.revision = static_cast<std::int64_t>(version.revision);
    return record;
}

StoreVersion readVersion(const gen::StoreVersion& record) {
    return {static_cast<std::uint64_t>(record.era), static_cast<std::uint64_t>(record.revision)};
}

gen::ProofRequest writeProofRequest(const UnitMessage& message) {
    gen::ProofRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.newestVersion = writeVersion(message.proofNeed.newestVersion);
    record.maximumAgeUs = toMicroseconds(message.proofNeed.maximumAge);
    return record;
}

UnitMessage readProofRequest(const gen::ProofRequest& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::ProofAsked;
    message.question = static_cast<std::uint64_t>(record.question);
    message.proofNeed.newestVersion = readVersion(record.newestVersion);
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
    record.era = static_cast<std::int64_t>(message.proof->era);
    for (const auto& [group, version] : message.proof->recordVersions) {
        gen::RecordVersion entry;
        entry.groupName = group.value();
        entry.version = writeVersion(version);
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
    if (record.ageUs < 0 || record.era < 0) {
        return std::nullopt;
    }
    message.proof.emplace();
    message.proof->age = microseconds(record.ageUs);
    message.proof->era = static_cast<std::uint64_t>(record.era);
    for (const gen::RecordVersion& entry : record.versions) {
        message.proof->recordVersions[GroupName(entry.groupName)] = readVersion(entry.version);
    }
    return message;
}

gen::ChangesRequest writeChangesRequest(const UnitMessage& message) {
    gen::ChangesRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.origin = message.feedQuestion.origin.value();
    record.era = static_cast<std::int64_t>(message.feedQuestion.era);
    for (const std::optional<StoreVersion>& position : message.feedQuestion.positions) {
        gen::KindPosition entry;
        if (position) {
            entry.__set_position(writeVersion(*position));
        }
        record.positions.push_back(entry);
    }
    return record;
}

std::optional<UnitMessage> readChangesRequest(const gen::ChangesRequest& record) {
    if (record.era < 0) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::ChangesAsked;
    message.question = static_cast<std::uint64_t>(record.question);
    message.feedQuestion.origin = NodeName(record.origin);
    message.feedQuestion.era = static_cast<std::uint64_t>(record.era);
    for (const gen::KindPosition& entry : record.positions) {
        message.feedQuestion.positions.push_back(
            entry.__isset.position ? std::optional<StoreVersion>(readVersion(entry.position))
                                   : std::nullopt);
    }
    return message;
}

gen::ObjectChange writeChange(const ObjectEvent& event) {
    gen::ObjectChange record;
    record.name = event.object.name;
    record.version = writeVersion(event.object.version);
    record.removed = event.removed;
    if (!event.removed) {
        record.content = event.packed ? *event.packed : store::packContent(event.object.content);
    }
    return record;
}

std::optional<ObjectEvent> readChange(const gen::ObjectChange& record) {
    ObjectEvent event;
    event.object.name = record.name;
    event.object.version = readVersion(record.version);
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
    if (!message.feedAnswer) {
        return record;
    }
    record.origin = message.feedAnswer->origin.value();
    record.era = static_cast<std::int64_t>(message.feedAnswer->era);
    for (const Duration age : message.feedAnswer->agesWhenAsked) {
        record.agesWhenAskedUs.push_back(ageInMicroseconds(age));
    }
    for (const store::KindChanges& changes : message.feedAnswer->kinds) {
        gen::ChangesOfKind entry;
        entry.kind = static_cast<std::int32_t>(changes.kind);
        entry.complete = changes.changes.complete;
        entry.position = writeVersion(changes.changes.position);
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
    result.changes.position = readVersion(record.position);
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
    if (record.era < 0) {
        return std::nullopt;
    }
    message.feedAnswer.emplace();
    message.feedAnswer->origin = NodeName(record.origin);
    message.feedAnswer->era = static_cast<std::uint64_t>(record.era);
    for (const std::int64_t age : record.agesWhenAskedUs) {
        message.feedAnswer->agesWhenAsked.emplace_back(microseconds(age));
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
    const tenancy::QuotaRequest& question = message.quotaQuestion;
    gen::QuotaRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.tenantName = question.tenant.value();
    record.wanted = static_cast<std::int32_t>(question.wanted);
    record.usableForUs = roundedUp(question.usableFor);
    record.hops = static_cast<std::int32_t>(question.hops);
    record.leaderSilent = question.leaderSilent;
    record.wantedByRank = writeUnits(question.wantedByRank);
    for (const tenancy::BatchSettlement& settlement : question.settled) {
        gen::QuotaSettlement entry;
        entry.term = static_cast<std::int64_t>(settlement.batch.term);
        entry.number = static_cast<std::int64_t>(settlement.batch.number);
        entry.used = static_cast<std::int32_t>(settlement.used);
        // Rounded down: the last use may seem later than it was, but not earlier.
        entry.lastUseAgeUs = toMicroseconds(settlement.lastUseAge);
        record.settled.push_back(entry);
    }
    record.__isset.settled = !record.settled.empty();
    return record;
}

std::optional<UnitMessage> readQuotaRequest(const gen::QuotaRequest& record) {
    std::optional<std::vector<std::uint32_t>> wantedByRank = readUnits(record.wantedByRank);
    if (record.wanted < 0 || record.usableForUs < 0 || record.hops < 0 || !wantedByRank) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::QuotaAsked;
    message.question = static_cast<std::uint64_t>(record.question);
    tenancy::QuotaRequest& question = message.quotaQuestion;
    question.tenant = TenantName(record.tenantName);
    question.wanted = static_cast<std::uint32_t>(record.wanted);
    question.usableFor = microseconds(record.usableForUs);
    question.hops = static_cast<std::uint32_t>(record.hops);
    question.leaderSilent = record.leaderSilent;
    question.wantedByRank = std::move(*wantedByRank);
    for (const gen::QuotaSettlement& entry : record.settled) {
        if (entry.used < 0 || entry.lastUseAgeUs < 0) {
            return std::nullopt;
        }
        question.settled.push_back({batchOf(entry), static_cast<std::uint32_t>(entry.used),
                                    microseconds(entry.lastUseAgeUs)});
    }
    return message;
}

gen::QuotaReply writeQuotaReply(const UnitMessage& message) {
    const tenancy::QuotaResponse& answer = message.quotaAnswer;
    gen::QuotaReply record;
    record.question = static_cast<std::int64_t>(message.question);
    record.declined = answer.declined;
    record.granted = static_cast<std::int32_t>(answer.granted);
    record.grantedByRank = writeUnits(answer.grantedByRank);
    record.retryAfterUs = toMicroseconds(answer.retryAfter);
    record.scarce = answer.scarce;
    record.term = static_cast<std::int64_t>(answer.batch.term);
    record.number = static_cast<std::int64_t>(answer.batch.number);
    record.leader = answer.leader.value();
    record.standby = answer.standby.value();
    return record;
}

std::optional<UnitMessage> readQuotaReply(const gen::QuotaReply& record) {
    std::optional<std::vector<std::uint32_t>> grantedByRank = readUnits(record.grantedByRank);
    if (record.granted < 0 || record.retryAfterUs < 0 || !grantedByRank) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::Quota;
    message.question = static_cast<std::uint64_t>(record.question);
    message.quotaAnswer = {record.declined,
                           batchOf(record),
                           static_cast<std::uint32_t>(record.granted),
                           microseconds(record.retryAfterUs),
                           record.scarce,
                           NodeName(record.leader),
                           NodeName(record.standby),
                           std::move(*grantedByRank)};
    return message;
}

gen::LedgerUpdateRequest writeLedgerUpdate(const UnitMessage& message) {
    const tenancy::LedgerUpdate& update = message.ledgerUpdate;
    gen::LedgerUpdateRequest record;
    record.question = static_cast<std::int64_t>(message.question);
    record.shard = static_cast<std::int32_t>(update.shard);
    record.leaderLife = update.leaderIncarnation;
    record.copy = static_cast<std::int64_t>(update.copy);
    record.sequence = static_cast<std::int64_t>(update.sequence);
    record.whole = update.whole;
    record.released = update.released;
    record.offered = update.offered;
    for (const tenancy::CopiedBatch& batch : update.batches) {
        gen::LedgerBatch entry;
        entry.tenantName = batch.tenant.value();
        entry.term = static_cast<std::int64_t>(batch.batch.term);
        entry.number = static_cast<std::int64_t>(batch.batch.number);
        entry.units = static_cast<std::int32_t>(batch.units);
        entry.usableForUs = roundedUp(batch.usableFor);
        record.batches.push_back(std::move(entry));
    }
    return record;
}

std::optional<UnitMessage> readLedgerUpdate(const gen::LedgerUpdateRequest& record) {
    const bool isShard =
        record.shard >= 0 && record.shard < static_cast<std::int32_t>(tenancy::kQuotaShards);
    if (!isShard) {
        return std::nullopt;
    }
    UnitMessage message;
    message.kind = UnitMessage::Kind::LedgerUpdate;
    message.question = static_cast<std::uint64_t>(record.question);
    tenancy::LedgerUpdate& update = message.ledgerUpdate;
    update.shard = static_cast<std::uint32_t>(record.shard);
    update.leaderIncarnation = record.leaderLife;
    update.copy = static_cast<std::uint64_t>(record.copy);
    update.sequence = static_cast<std::uint64_t>(record.sequence);
    update.whole = record.whole;
    update.released = record.released;
    update.offered = record.offered;
    for (const gen::LedgerBatch& entry : record.batches) {
        if (entry.units < 0) {
            return std::nullopt;
        }
        update.batches.push_back({TenantName(entry.tenantName), batchOf(entry),
                                  static_cast<std::uint32_t>(entry.units),
                                  microseconds(entry.usableForUs)});
    }
    return message;
}

gen::LedgerUpdateReply writeLedgerAck(const UnitMessage& message) {
    gen::LedgerUpdateReply record;
    record.question = static_cast<std::int64_t>(message.question);
    record.accepted = message.ledgerAck.accepted;
    record.life = message.ledgerAck.incarnation;
    return record;
}

UnitMessage readLedgerAck(const gen::LedgerUpdateReply& record) {
    UnitMessage message;
    message.kind = UnitMessage::Kind::LedgerAck;
    message.question = static_cast<std::uint64_t>(record.question);
    message.ledgerAck = {record.accepted, record.life};
    return message;
}

}  // namespace

bool isQuestionFrame(const gen::UnitFrame& frame) {
    return frame.__isset.proofRequest || frame.__isset.proofReply || frame.__isset.changesRequest ||
           frame.__isset.changesReply || frame.__isset.quotaRequest || frame.__isset.quotaReply ||
           frame.__isset.ledgerRequest || frame.__isset.ledgerReply;
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
    if (frame.__isset.quotaReply) {
        return readQuotaReply(frame.quotaReply);
    }
    if (frame.__isset.ledgerRequest) {
        return readLedgerUpdate(frame.ledgerRequest);
    }
    return readLedgerAck(frame.ledgerReply);
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
        case UnitMessage::Kind::LedgerUpdate:
            frame.__set_ledgerRequest(writeLedgerUpdate(message));
            return;
        case UnitMessage::Kind::LedgerAck:
            frame.__set_ledgerReply(writeLedgerAck(message));
            return;
        default:
            return;
    }
}

}  // namespace coralhoist::forwarding
