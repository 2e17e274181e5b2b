#include "program/coralhoistctl/SettingsEditCommands.h"

#include "base/Error.h"
#include "program/coralhoistctl/EditSubmission.h"
#include "program/coralhoistctl/RecordText.h"
#include "program/coralhoistctl/StatusJson.h"
#include "settings/EditPlanner.h"

namespace coralhoist::ctl {
namespace {

/** An edit that was planned and not yet sent. */
struct PlannedEdit {
    EditBase base;
    gen::SettingsEditRequest request;
};

/** A plan, or the code of the failure that was reported. */
struct Planning {
    std::optional<PlannedEdit> planned;
    ExitCode code = ExitCode::Ok;
};

Planning failedPlanning(ExitCode code) {
    return {std::nullopt, code};
}

/** Reads the node and applies the assignments to its document. Faulty arguments are not sent. */
Planning planAssignments(const CommandContext& context, const Arguments& arguments) {
    const auto path = settings::NodePath::parse(arguments.front());
    if (!path.isOk()) {
        return failedPlanning(failUsage(context, path.status().message()));
    }
    std::vector<settings::Assignment> assignments;
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        const auto assignment = settings::parseAssignment(arguments[index]);
        if (!assignment.isOk()) {
            return failedPlanning(failUsage(context, assignment.status().message()));
        }
        assignments.push_back(assignment.value());
    }
    // Before the proxy is asked, so that a mistyped key needs no proxy.
    if (const auto trial = settings::planSet(path.value(), {}, assignments); !trial.isOk()) {
        return failedPlanning(fail(context, ExitCode::Usage, trial.status().message(),
                                   "See 'coralhoistctl settings explain' for all keys"));
    }
    const auto base = readEditBase(context, arguments.front());
    if (!base.isOk()) {
        return failedPlanning(failRead(context, base.status()));
    }
    const auto document = settings::planSet(path.value(), base.value().document, assignments);
    return {PlannedEdit{base.value(), makeEdit(context, base.value(), document.value())},
            ExitCode::Ok};
}

QJsonObject acceptedJson(const gen::SettingsEditRequest& request, std::int64_t version) {
    return {{"outcome", "accepted"},
            {"path", QString::fromStdString(request.path)},
            {"version", qint64{version}},
            {"operationId", QString::fromStdString(request.operationId)}};
}

std::string namesText(const gen::SettingsInForceResponse& answer) {
    std::string text;
    for (const std::string& name : answer.missing) {
        text += " " + name;
    }
    return text + (answer.truncated ? " ..." : "");
}

/** Waits for all proxies when asked to, and reports who has and has not got the change. */
ExitCode reportWait(const CommandContext& context, const gen::SettingsEditRequest& request,
                    std::int64_t version, QJsonObject& object) {
    gen::SettingsInForceResponse answer;
    const ExitCode code = waitUntilInForce(context, request.path, version, answer);
    object["inForceCount"] = answer.inForceCount;
    object["missingCount"] = answer.missingCount;
    object["inForce"] = namesJson(answer.inForce);
    object["missing"] = namesJson(answer.missing);
    if (code == ExitCode::Ok) {
        if (!context.options.json) {
            context.out << "in force on every proxy (" << answer.inForceCount << ")\n";
        }
        return code;
    }
    context.error << "coralhoistctl: accepted, and in force on " << answer.inForceCount
                  << " so far; not confirmed by " << answer.missingCount << ":" << namesText(answer)
                  << ". It spreads by itself; run 'coralhoistctl status' to see those proxies\n";
    return code;
}

/** Sends an edit and reports what became of it. */
ExitCode runEdit(const CommandContext& context, const PlannedEdit& planned) {
    const SubmittedEdit submitted = submitEdit(context, planned.request);
    if (submitted.code != ExitCode::Ok) {
        return reportFailedEdit(context, planned.base, planned.request, submitted);
    }
    const std::int64_t version = submitted.response.version;
    QJsonObject object = acceptedJson(planned.request, version);
    if (!context.options.json) {
        context.out << planned.request.path << ": accepted as version " << version << "\n";
        printKeyChanges(context, differences(planned.request.path, planned.base.document.text(),
                                             planned.request.document));
    }
    ExitCode code = ExitCode::Ok;
    if (context.options.wait) {
        code = reportWait(context, planned.request, version, object);
    }
    if (context.options.json) {
        printJson(context, object);
    }
    return code;
}

}  // namespace

ExitCode settingsSet(const CommandContext& context, const Arguments& arguments) {
    const Planning planning = planAssignments(context, arguments);
    return planning.planned ? runEdit(context, *planning.planned) : planning.code;
}

ExitCode settingsUnset(const CommandContext& context, const Arguments& arguments) {
    if (const auto path = settings::NodePath::parse(arguments.front()); !path.isOk()) {
        return failUsage(context, path.status().message());
    }
    const auto base = readEditBase(context, arguments.front());
    if (!base.isOk()) {
        return failRead(context, base.status());
    }
    const Arguments keys(arguments.begin() + 1, arguments.end());
    const auto document = settings::planUnset(base.value().path, base.value().document, keys);
    if (!document.isOk()) {
        return failUsage(context, document.status().message());
    }
    return runEdit(context, {base.value(), makeEdit(context, base.value(), document.value())});
}

ExitCode settingsDelete(const CommandContext& context, const Arguments& arguments) {
    if (const auto path = settings::NodePath::parse(arguments.front()); !path.isOk()) {
        return failUsage(context, path.status().message());
    }
    const auto base = readEditBase(context, arguments.front());
    if (!base.isOk()) {
        return failRead(context, base.status());
    }
    if (base.value().version == 0) {
        return fail(context, ExitCode::Failed, arguments.front() + ": there is no such node",
                    "See 'coralhoistctl settings list' for those that exist");
    }
    PlannedEdit planned{base.value(), makeEdit(context, base.value(), {})};
    planned.request.deleteNode = true;
    planned.request.document.clear();
    return runEdit(context, planned);
}

ExitCode settingsDiff(const CommandContext& context, const Arguments& arguments) {
    const Planning planning = planAssignments(context, arguments);
    if (!planning.planned) {
        return planning.code;
    }
    const PlannedEdit& planned = *planning.planned;
    const auto changes =
        differences(planned.request.path, planned.base.document.text(), planned.request.document);
    if (context.options.json) {
        printJson(context, {{"path", QString::fromStdString(planned.request.path)},
                            {"version", qint64{planned.base.version}},
                            {"changes", keyChangesJson(context, changes)}});
        return ExitCode::Ok;
    }
    context.out << planned.request.path << "  version " << planned.base.version
                << (changes.empty() ? ": no change\n" : ": would change\n");
    printKeyChanges(context, changes);
    return ExitCode::Ok;
}

ExitCode settingsValidate(const CommandContext& context, const Arguments& arguments) {
    Planning planning = planAssignments(context, arguments);
    if (!planning.planned) {
        return planning.code;
    }
    PlannedEdit& planned = *planning.planned;
    planned.request.dryRun = true;
    const auto response = context.proxy.ask<gen::SettingsEditResponse>(planned.request);
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    if (response.value().outcome != gen::EditOutcome::Accepted) {
        SubmittedEdit submitted;
        submitted.response = response.value();
        const bool conflict = response.value().outcome == gen::EditOutcome::Conflict;
        submitted.code = conflict ? ExitCode::Conflict : ExitCode::Failed;
        return reportFailedEdit(context, planned.base, planned.request, submitted);
    }
    if (context.options.json) {
        printJson(context, {{"outcome", "valid"}});
    } else {
        context.out << planned.request.path << ": valid; nothing was changed\n";
    }
    return ExitCode::Ok;
}

}  // namespace coralhoist::ctl
