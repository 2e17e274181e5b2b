#include "link/platform/EditResolution.h"

#include <algorithm>
#include <utility>

#include "base/Error.h"

namespace coralhoist::platform {

EditResolution::EditResolution(EditKind kind, SettingsEdit edit)
    : _kind(kind), _edit(std::move(edit)) {}

EditAction EditResolution::start() const {
    if (_edit.operationId.empty()) {
        return finish(Status(ErrorCode::InvalidArgument, "the edit has no operation id"),
                      std::nullopt);
    }
    return read(false);
}

EditAction EditResolution::onRead(const ReadAnswer& answer) {
    switch (answer.kind) {
        case ReadAnswer::Kind::Found:
            return onFound(*answer.node);
        case ReadAnswer::Kind::NotFound:
            return onMissing();
        case ReadAnswer::Kind::Failed:
            break;
    }
    return read(true);
}

EditAction EditResolution::onWrite(const WriteAnswer& answer) {
    _writeInFlight = false;
    switch (answer.kind) {
        case WriteAnswer::Kind::Applied:
            return finishApplied(answer.version);
        case WriteAnswer::Kind::Refused:
            return _inDoubt ? finishUnknown(std::nullopt) : finish(answer.status, std::nullopt);
        case WriteAnswer::Kind::NotSent:
            return read(true);
        case WriteAnswer::Kind::Conflict:
            // The HTTP library may repeat a request on a fresh connection by itself. The refusal
            // can then be the answer to the second copy of a write that took effect.
        case WriteAnswer::Kind::Lost:
            break;
    }
    _inDoubt = true;
    return read(true);
}

EditAction EditResolution::onDeadline() const {
    if (_inDoubt || _writeInFlight) {
        return finishUnknown(std::nullopt);
    }
    return finish(Status(ErrorCode::Unavailable, "the platform did not answer; the edit of " +
                                                     _edit.path + " was not sent"),
                  std::nullopt);
}

EditAction EditResolution::onFound(const StoredNode& node) {
    if (const auto version = appliedVersion(node)) {
        return finishApplied(*version);
    }
    return _kind == EditKind::Create ? onFoundByCreate(node) : onFoundByChange(node);
}

EditAction EditResolution::onMissing() {
    if (_kind == EditKind::Create && _baseVersion == 0) {
        return write(std::nullopt);
    }
    if (_inDoubt) {
        return finishUnknown(std::nullopt);
    }
    return finish(Status(ErrorCode::NotFound, _edit.path + " does not exist"), std::nullopt);
}

EditAction EditResolution::onFoundByCreate(const StoredNode& node) {
    const bool baseUnchanged = node.record.version == _baseVersion;
    if (_inDoubt && !baseUnchanged && !provesAbsence(node)) {
        return finishUnknown(node);
    }
    if (node.record.deleted) {
        return write(node);
    }
    return finish(Status(ErrorCode::AlreadyExists, _edit.path + " exists already"), node);
}

EditAction EditResolution::onFoundByChange(const StoredNode& node) {
    if (node.record.version == _edit.expectedVersion && !node.record.deleted) {
        return write(node);
    }
    if (_inDoubt && !provesAbsence(node)) {
        return finishUnknown(node);
    }
    return finish(Status(ErrorCode::VersionConflict,
                         _edit.path + " is at version " + std::to_string(node.record.version) +
                             ", the edit was based on " + std::to_string(_edit.expectedVersion)),
                  node);
}

EditAction EditResolution::write(const std::optional<StoredNode>& base) {
    StoredNode node;
    node.record.path = _edit.path;
    node.record.deleted = _kind == EditKind::Delete;
    node.record.document = node.record.deleted ? std::string() : _edit.document;
    node.record.operationId = _edit.operationId;
    node.record.author = _edit.author;
    if (base) {
        node.recentOperations = base->recentOperations;
        node.recentOperations.push_back({base->record.operationId, base->record.version});
    }
    if (node.recentOperations.size() > kRecentOperationLimit) {
        node.recentOperations.erase(node.recentOperations.begin());
    }
    _baseVersion = base ? base->record.version : 0;
    _writeInFlight = true;
    EditAction action;
    action.kind = EditAction::Kind::Write;
    action.baseVersion = _baseVersion;
    action.node = std::move(node);
    return action;
}

EditAction EditResolution::read(bool afterDelay) const {
    EditAction action;
    action.kind = EditAction::Kind::Read;
    action.afterDelay = afterDelay;
    return action;
}

EditAction EditResolution::finish(Status status, const std::optional<StoredNode>& current) const {
    EditAction action;
    action.kind = EditAction::Kind::Finish;
    action.outcome = EditOutcome{std::move(status), _edit.operationId, 0, std::nullopt};
    if (current) {
        action.outcome->current = current->record;
    }
    return action;
}

EditAction EditResolution::finishUnknown(const std::optional<StoredNode>& current) const {
    return finish(
        Status(ErrorCode::OutcomeUnknown,
               "the edit of " + _edit.path +
                   " may have taken effect; repeat it with operation id " + _edit.operationId),
        current);
}

EditAction EditResolution::finishApplied(std::uint64_t version) const {
    EditAction action = finish(Status::ok(), std::nullopt);
    action.outcome->version = version;
    return action;
}

std::optional<std::uint64_t> EditResolution::appliedVersion(const StoredNode& node) const {
    if (node.record.operationId == _edit.operationId) {
        return node.record.version;
    }
    const auto found = std::find_if(node.recentOperations.begin(), node.recentOperations.end(),
                                    [this](const RecentOperation& earlier) {
                                        return earlier.operationId == _edit.operationId;
                                    });
    if (found == node.recentOperations.end()) {
        return std::nullopt;
    }
    return found->version;
}

bool EditResolution::provesAbsence(const StoredNode& node) const {
    if (_baseVersion == 0) {
        return node.recentOperations.size() < kRecentOperationLimit;
    }
    return std::any_of(
        node.recentOperations.begin(), node.recentOperations.end(),
        [this](const RecentOperation& earlier) { return earlier.version == _baseVersion; });
}

}  // namespace coralhoist::platform
