#include "program/coralhoistctl/ControlCommands.h"

#include <QUuid>
#include <optional>

#include "base/Error.h"
#include "settings/NodePath.h"

namespace coralhoist::ctl {
namespace {

constexpr const char* kProgramVersion = CORALHOIST_VERSION;

/** Reads "node NAME" or "server GROUP/SERVER" into the request. */
Status readTarget(const Arguments& arguments, gen::DrainRequest& request) {
    if (arguments.empty()) {
        return Status::ok();
    }
    if (arguments.size() != 2 || (arguments[0] != "node" && arguments[0] != "server")) {
        return {ErrorCode::InvalidArgument,
                "drain takes nothing, 'node NAME' or 'server GROUP/SERVER'"};
    }
    if (arguments[0] == "node") {
        request.__set_node(arguments[1]);
        return settings::checkName(arguments[1], "node name");
    }
    const std::size_t slash = arguments[1].find('/');
    if (slash == std::string::npos) {
        return {ErrorCode::InvalidArgument, "'" + arguments[1] + "' is not GROUP/SERVER"};
    }
    request.__set_group(arguments[1].substr(0, slash));
    request.__set_server(arguments[1].substr(slash + 1));
    Status status = settings::checkName(request.group, "group name");
    return status.isOk() ? settings::checkName(request.server, "server name") : status;
}

}  // namespace

ExitCode drain(const CommandContext& context, const Arguments& arguments) {
    gen::DrainRequest request;
    request.undo = context.options.undo;
    request.operationId = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    request.author = context.options.author;
    if (Status status = readTarget(arguments, request); !status.isOk()) {
        return failUsage(context, status.message());
    }
    const auto response = context.proxy.ask<gen::DrainResponse>(request);
    if (response.status().code() == ErrorCode::OutcomeUnknown ||
        response.status().code() == ErrorCode::DeadlineExceeded) {
        return fail(context, ExitCode::OutcomeUnknown,
                    "the drain may or may not have begun: " + response.status().message(),
                    "See 'coralhoistctl status'; to drain twice does no harm");
    }
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    if (context.options.json) {
        printJson(context, {{"message", QString::fromStdString(response.value().message)}});
    } else {
        context.out << response.value().message << "\n";
    }
    return ExitCode::Ok;
}

ExitCode showVersion(const CommandContext& context, const Arguments& /*arguments*/) {
    if (!context.options.json) {
        context.out << "coralhoistctl " << kProgramVersion << "\n";
    }
    const auto response = context.proxy.ask<gen::VersionResponse>(gen::VersionRequest());
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    const gen::VersionResponse& proxy = response.value();
    if (context.options.json) {
        printJson(context, {{"coralhoistctl", kProgramVersion},
                            {"proxy", QString::fromStdString(proxy.version)},
                            {"node", QString::fromStdString(proxy.node)}});
    } else {
        context.out << "proxy " << proxy.node << " " << proxy.version << "\n";
    }
    return ExitCode::Ok;
}

}  // namespace coralhoist::ctl
