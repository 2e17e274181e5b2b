#include "program/coralhoistctl/EditSubmission.h"

#include <QElapsedTimer>
#include <QUuid>

#include "base/Error.h"
#include "program/coralhoistctl/RecordText.h"

namespace coralhoist::ctl {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(200);

/** Measures the time-out of the whole command. */
class Stopwatch {
public:
    explicit Stopwatch(Duration limit) : _limit(limit) { _timer.start(); }
    bool isOver() const { return std::chrono::nanoseconds(_timer.nsecsElapsed()) >= _limit; }

private:
    Duration _limit;
    QElapsedTimer _timer;
};

/** Whether a request with this failure may have taken effect. */
bool mayHaveTakenEffect(const Status& status) {
    return status.code() == ErrorCode::OutcomeUnknown ||
           status.code() == ErrorCode::DeadlineExceeded ||
           status.code() == ErrorCode::ProtocolViolation;
}

SubmittedEdit makeAccepted(std::int64_t version) {
    SubmittedEdit submitted;
    submitted.response.outcome = gen::EditOutcome::Accepted;
    submitted.response.__set_version(version);
    return submitted;
}

/** @return the outcome when the proxy knows the operation. */
std::optional<SubmittedEdit> findOperation(const CommandContext& context,
                                           const gen::SettingsEditRequest& edit) {
    gen::SettingsFindOperationRequest request;
    request.operationId = edit.operationId;
    request.path = edit.path;
    const auto response = context.proxy.ask<gen::SettingsFindOperationResponse>(request);
    if (!response.isOk() || !response.value().__isset.record) {
        return std::nullopt;
    }
    return makeAccepted(response.value().record.version);
}

/**
 * @param resent whether an earlier sending of the edit may have taken effect.
 * @return the outcome, or nothing when it is still unknown.
 */
std::optional<SubmittedEdit> interpret(const CommandContext& context,
                                       const gen::SettingsEditRequest& edit,
                                       const gen::SettingsEditResponse& response, bool resent) {
    SubmittedEdit submitted;
    submitted.response = response;
    switch (response.outcome) {
        case gen::EditOutcome::Accepted:
            return submitted;
        case gen::EditOutcome::Refused:
            submitted.code = ExitCode::Failed;
            return submitted;
        case gen::EditOutcome::Conflict:
            break;
        default:
            return std::nullopt;
    }
    if (response.__isset.current && response.current.operationId == edit.operationId) {
        return makeAccepted(response.current.version);
    }
    if (resent) {
        // The first sending may have taken effect and have been replaced by another edit since.
        if (auto found = findOperation(context, edit)) {
            return found;
        }
        submitted.code = ExitCode::OutcomeUnknown;
        submitted.reason = "the answer was lost, and the node has been changed by another edit";
        return submitted;
    }
    submitted.code = ExitCode::Conflict;
    return submitted;
}

std::string joined(const std::vector<std::string>& texts) {
    std::string all;
    for (const std::string& text : texts) {
        all += (all.empty() ? "" : "; ") + text;
    }
    return all;
}

ExitCode reportConflict(const CommandContext& context, const EditBase& base,
                        const gen::SettingsEditRequest& edit,
                        const gen::SettingsEditResponse& response) {
    const bool exists = response.__isset.current;
    const std::string currentText =
        exists ? versionText(response.current) : std::string("deleted or never made");
    const std::string current = exists ? response.current.document : std::string();
    if (!context.options.json) {
        context.out << "yours, based on version " << edit.basedOnVersion << ":\n";
        printDocument(context, base.path, edit.document);
        context.out << "theirs, " << currentText << ":\n";
        printDocument(context, base.path, current);
        context.out << "from theirs to yours:\n";
        printKeyChanges(context, differences(edit.path, current, edit.document));
    } else {
        QJsonObject object;
        object["outcome"] = "conflict";
        object["basedOnVersion"] = qint64{edit.basedOnVersion};
        object["yours"] = documentJson(context, base.path, edit.document);
        if (exists) {
            object["theirs"] = recordJson(context, response.current);
        }
        printJson(context, object);
    }
    context.error << "coralhoistctl: " << edit.path << " was changed by another edit: it is now "
                  << currentText << ", yours was based on version " << edit.basedOnVersion
                  << "; nothing was changed. Look at both and run the command again\n";
    return ExitCode::Conflict;
}

}  // namespace

StatusWith<EditBase> readEditBase(const CommandContext& context, const std::string& text) {
    const auto path = settings::NodePath::parse(text);
    if (!path.isOk()) {
        return path.status();
    }
    gen::SettingsGetRequest request;
    request.path = text;
    const auto response = context.proxy.ask<gen::SettingsGetResponse>(request);
    if (!response.isOk()) {
        return response.status();
    }
    EditBase base;
    base.path = path.value();
    if (response.value().__isset.node) {
        const gen::SettingsNodeRecord& node = response.value().node;
        auto document = settings::NodeDocument::parse(path.value(), node.document);
        if (!document.isOk()) {
            return document.status();
        }
        base.version = node.version;
        base.document = std::move(document).value();
    }
    return base;
}

gen::SettingsEditRequest makeEdit(const CommandContext& context, const EditBase& base,
                                  const settings::NodeDocument& document) {
    gen::SettingsEditRequest edit;
    edit.path = base.path.text();
    edit.basedOnVersion = context.options.basedOn.value_or(base.version);
    edit.deleteNode = false;
    edit.document = document.text();
    edit.operationId = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    edit.author = context.options.author;
    edit.dryRun = false;
    return edit;
}

SubmittedEdit submitEdit(const CommandContext& context, const gen::SettingsEditRequest& edit) {
    const Stopwatch stopwatch(context.options.timeout);
    bool resent = false;
    std::string reason;
    do {
        if (resent) {
            ProxyConnection::pause(kRetryInterval);
        }
        const auto response = context.proxy.ask<gen::SettingsEditResponse>(edit);
        if (response.isOk()) {
            if (auto outcome = interpret(context, edit, response.value(), resent)) {
                return *outcome;
            }
            reason = joined(response.value().problems);
        } else {
            reason = response.status().message();
            if (!mayHaveTakenEffect(response.status()) && !resent) {
                SubmittedEdit submitted;
                const bool unreachable = response.status().code() == ErrorCode::Unavailable;
                submitted.code = unreachable ? ExitCode::Unreachable : ExitCode::Failed;
                submitted.response.problems = {reason};
                submitted.reason = reason;
                return submitted;
            }
        }
        resent = true;
        // Also when the time is over: the lost answer itself may have taken all of it.
        if (auto found = findOperation(context, edit)) {
            return *found;
        }
    } while (!stopwatch.isOver());
    SubmittedEdit submitted;
    submitted.code = ExitCode::OutcomeUnknown;
    submitted.reason = reason;
    return submitted;
}

ExitCode reportFailedEdit(const CommandContext& context, const EditBase& base,
                          const gen::SettingsEditRequest& edit, const SubmittedEdit& submitted) {
    switch (submitted.code) {
        case ExitCode::Conflict:
            return reportConflict(context, base, edit, submitted.response);
        case ExitCode::Unreachable:
            return fail(context, ExitCode::Unreachable, submitted.reason,
                        "Nothing was changed; ask another proxy with --proxy IP:PORT");
        case ExitCode::OutcomeUnknown:
            return fail(
                context, ExitCode::OutcomeUnknown,
                edit.path + ": the edit (operation " + edit.operationId +
                    ") may or may not have taken effect: " + submitted.reason,
                "See 'coralhoistctl settings history " + edit.path + "' before you try again");
        default:
            return fail(context, ExitCode::Failed,
                        "refused: " + joined(submitted.response.problems), "Nothing was changed");
    }
}

ExitCode waitUntilInForce(const CommandContext& context, const std::string& path,
                          std::int64_t version, gen::SettingsInForceResponse& answer) {
    gen::SettingsInForceRequest request;
    request.path = path;
    request.version = version;
    const Stopwatch stopwatch(context.options.timeout);
    while (true) {
        const auto response = context.proxy.ask<gen::SettingsInForceResponse>(request);
        if (response.isOk()) {
            answer = response.value();
            if (answer.missingCount == 0 && answer.inForceCount > 0) {
                return ExitCode::Ok;
            }
        }
        if (stopwatch.isOver()) {
            return ExitCode::NotInForceEverywhere;
        }
        ProxyConnection::pause(kRetryInterval);
    }
}

}  // namespace coralhoist::ctl
