#include "link/operator/SettingsAnswers.h"

#include <algorithm>
#include <utility>

#include "settings/EditPlanner.h"
#include "settings/SettingValue.h"

namespace coralhoist::operators {
namespace {

using settings::NodePath;
using settings::SettingsObjectRecord;

/** Bytes of documents in one list; well below the largest message. */
constexpr std::size_t kMostListedBytes = 2U << 20U;
constexpr std::int32_t kMostHistoryEntries = 1000;
/** Bytes that a record takes beside its document, at most. */
constexpr std::size_t kRecordOverhead = 512;

/** @return the path's text when it is one. */
StatusWith<NodePath> pathOf(const std::string& text) {
    return NodePath::parse(text);
}

std::int64_t toSigned(std::uint64_t version) {
    return static_cast<std::int64_t>(version);
}

gen::SettingsEditResponse makeEditResponse(gen::EditOutcome::type outcome) {
    gen::SettingsEditResponse response;
    response.outcome = outcome;
    return response;
}

}  // namespace

gen::SettingsNodeRecord toMessage(const SettingsObjectRecord& record) {
    gen::SettingsNodeRecord message;
    message.path = record.path;
    message.version = toSigned(record.version);
    message.deleted = record.deleted;
    message.document = record.document;
    message.operationId = record.operationId;
    message.author = record.author;
    return message;
}

gen::SettingsChangeEvent toMessage(const settings::SettingsChange& change) {
    gen::SettingsChangeEvent message;
    message.seenAtMilliseconds = change.seenAt.count();
    message.record = toMessage(change.record);
    if (change.previous) {
        message.__set_previous(toMessage(*change.previous));
    }
    return message;
}

StatusWith<gen::SettingsGetResponse> SettingsAnswers::get(
    const gen::SettingsGetRequest& request) const {
    if (const auto path = pathOf(request.path); !path.isOk()) {
        return path.status();
    }
    gen::SettingsGetResponse response;
    response.freshestVersion = toSigned(_tree.freshestVersion());
    const auto record = _tree.find(request.path);
    if (record && !record->deleted) {
        response.__set_node(toMessage(*record));
    }
    return response;
}

StatusWith<gen::SettingsListResponse> SettingsAnswers::list(
    const gen::SettingsListRequest& request) const {
    if (const auto path = pathOf(request.path); !path.isOk()) {
        return path.status();
    }
    gen::SettingsListResponse response;
    response.truncated = false;
    std::size_t bytes = 0;
    for (const settings::SettingsNodePointer& node : _tree.snapshot()->nodes()) {
        if (!settings::isAtOrBelow(node->record.path, request.path)) {
            continue;
        }
        bytes += node->record.document.size() + kRecordOverhead;
        if (bytes > kMostListedBytes) {
            response.truncated = true;
            break;
        }
        response.nodes.push_back(toMessage(node->record));
    }
    return response;
}

StatusWith<gen::SettingsEffectiveResponse> SettingsAnswers::effective(
    const gen::SettingsEffectiveRequest& request) const {
    const auto path = pathOf(request.path);
    if (!path.isOk()) {
        return path.status();
    }
    const auto values = _tree.snapshot()->effective(path.value());
    if (!values.isOk()) {
        return values.status();
    }
    gen::SettingsEffectiveResponse response;
    response.freshestVersion = toSigned(_tree.freshestVersion());
    for (const settings::EffectiveValue& value : values.value()) {
        gen::EffectiveSetting setting;
        setting.key = value.key->name;
        setting.value = settings::formatValue(value.value);
        setting.source = value.source ? value.source->text() : "default";
        response.settings.push_back(std::move(setting));
    }
    return response;
}

StatusWith<gen::SettingsHistoryResponse> SettingsAnswers::history(
    const gen::SettingsHistoryRequest& request) const {
    if (const auto path = pathOf(request.path); !path.isOk()) {
        return path.status();
    }
    const auto limit = std::clamp<std::int32_t>(request.limit, 0, kMostHistoryEntries);
    gen::SettingsHistoryResponse response;
    std::size_t bytes = 0;
    for (const settings::SettingsChange& change :
         _history.latest(request.path, static_cast<std::size_t>(limit))) {
        const std::size_t before = change.previous ? change.previous->document.size() : 0;
        bytes += change.record.document.size() + before + 2 * kRecordOverhead;
        if (bytes > kMostListedBytes) {
            break;
        }
        response.changes.push_back(toMessage(change));
    }
    return response;
}

StatusWith<gen::SettingsFindOperationResponse> SettingsAnswers::findOperation(
    const gen::SettingsFindOperationRequest& request) const {
    gen::SettingsFindOperationResponse response;
    // Records that no operator made have no operation id; an empty one names none of them.
    if (request.operationId.empty()) {
        return response;
    }
    const auto record = _tree.find(request.path);
    if (record && record->operationId == request.operationId) {
        response.__set_record(toMessage(*record));
    } else if (const auto change = _history.findOperation(request.operationId)) {
        response.__set_record(toMessage(change->record));
    }
    return response;
}

std::optional<gen::SettingsEditResponse> SettingsAnswers::decideEdit(
    const gen::SettingsEditRequest& request) const {
    gen::SettingsFindOperationRequest sameOperation;
    sameOperation.operationId = request.operationId;
    sameOperation.path = request.path;
    const auto done = findOperation(sameOperation);
    if (done.value().__isset.record) {
        auto response = makeEditResponse(gen::EditOutcome::Accepted);
        response.__set_version(done.value().record.version);
        return response;
    }
    const auto current = _tree.find(request.path);
    const std::int64_t currentVersion =
        current && !current->deleted ? toSigned(current->version) : 0;
    if (currentVersion > request.basedOnVersion) {
        auto response = makeEditResponse(gen::EditOutcome::Conflict);
        response.__set_current(toMessage(*current));
        return response;
    }
    auto faults = settings::validateEdit(*_tree.snapshot(), recordOf(request));
    if (!faults.empty()) {
        auto response = makeEditResponse(gen::EditOutcome::Refused);
        response.problems = std::move(faults);
        return response;
    }
    if (request.dryRun) {
        return makeEditResponse(gen::EditOutcome::Accepted);
    }
    return std::nullopt;
}

SettingsObjectRecord SettingsAnswers::recordOf(const gen::SettingsEditRequest& request) {
    SettingsObjectRecord record;
    record.path = request.path;
    record.deleted = request.deleteNode;
    record.document = request.deleteNode ? std::string() : request.document;
    record.operationId = request.operationId;
    record.author = request.author;
    return record;
}

}  // namespace coralhoist::operators
