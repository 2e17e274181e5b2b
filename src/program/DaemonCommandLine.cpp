#include "program/DaemonCommandLine.h"

#include <array>

#include "base/Error.h"
#include "program/PoptContext.h"

namespace coralhoist::program {
namespace {

/** A flag that overrides one key of the file. */
struct OverrideFlag {
    const char* flag;
    const char* key;
    const char* help;
    const char* argument;
};

constexpr std::array<OverrideFlag, 12> kOverrideFlags{{
    {"name", "node.name", "name of this proxy", "NAME"},
    {"region", "node.region", "region of this machine", "NAME"},
    {"zone", "node.zone", "zone of this machine", "NAME"},
    {"address", "node.address", "IP number on which all ports listen", "IP"},
    {"caller-port", "caller.port", "port for callers", "PORT"},
    {"peer-port", "peer.port", "TCP and UDP port for other proxies", "PORT"},
    {"seeds", "peer.seeds", "proxies to contact first", "IP:PORT,..."},
    {"operator-port", "operator.port", "port for coralhoistctl", "PORT"},
    {"metrics-port", "metrics.port", "HTTP port of the metrics", "PORT"},
    {"platform", "platform.url", "base address of the platform's object API", "URL"},
    {"log-level", "log.level", "trace, debug, info, warning or error", "LEVEL"},
    {"drain-timeout-ms", "node.drain_timeout_ms", "longest wait at a planned stop", "MS"},
}};

enum OptionValue : int {
    SettingsOption = 1,
    CheckOption,
    VersionOption,
    KeysOption,
    ErrorsOption,
    SetOption,
    FirstOverrideOption,
};

std::vector<poptOption> makeOptions() {
    std::vector<poptOption> options = {
        {"settings", 's', POPT_ARG_STRING, nullptr, SettingsOption, "configuration file", "FILE"},
        {"check", '\0', POPT_ARG_NONE, nullptr, CheckOption, "check the configuration and exit",
         nullptr},
        {"version", 'V', POPT_ARG_NONE, nullptr, VersionOption, "print the version and exit",
         nullptr},
        {"keys", '\0', POPT_ARG_NONE, nullptr, KeysOption,
         "print all keys of the configuration file and exit", nullptr},
        {"errors", '\0', POPT_ARG_NONE, nullptr, ErrorsOption,
         "print the errors that callers may get and exit", nullptr},
        {"set", '\0', POPT_ARG_STRING, nullptr, SetOption, "set any key of the configuration file",
         "KEY=VALUE"},
    };
    int value = FirstOverrideOption;
    for (const OverrideFlag& flag : kOverrideFlags) {
        options.push_back(
            {flag.flag, '\0', POPT_ARG_STRING, nullptr, value, flag.help, flag.argument});
        ++value;
    }
    static poptOption helpOptions[] = {POPT_AUTOHELP POPT_TABLEEND};
    options.push_back(helpOptions[0]);
    options.push_back(POPT_TABLEEND);
    return options;
}

Status addAssignment(DaemonCommandLine& commandLine, const std::string& assignment) {
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos) {
        return {ErrorCode::InvalidArgument, "--set " + assignment + ": must be KEY=VALUE"};
    }
    commandLine.overrides.push_back({assignment.substr(0, equals), assignment.substr(equals + 1)});
    return Status::ok();
}

Status applyOption(DaemonCommandLine& commandLine, int option, const std::string& argument) {
    switch (option) {
        case SettingsOption:
            commandLine.settingsFile = argument;
            return Status::ok();
        case CheckOption:
            commandLine.checkOnly = true;
            return Status::ok();
        case VersionOption:
            commandLine.showVersion = true;
            return Status::ok();
        case KeysOption:
            commandLine.showKeys = true;
            return Status::ok();
        case ErrorsOption:
            commandLine.showErrors = true;
            return Status::ok();
        case SetOption:
            return addAssignment(commandLine, argument);
        default:
            break;
    }
    const auto index = static_cast<std::size_t>(option - FirstOverrideOption);
    commandLine.overrides.push_back({kOverrideFlags.at(index).key, argument});
    return Status::ok();
}

}  // namespace

StatusWith<DaemonCommandLine> parseDaemonCommandLine(int argumentCount, const char** arguments) {
    const std::vector<poptOption> options = makeOptions();
    const PoptContext context(
        poptGetContext("coralhoistd", argumentCount, arguments, options.data(), 0));
    DaemonCommandLine commandLine;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        Status status = applyOption(commandLine, option, takeArgument(context.get()));
        if (!status.isOk()) {
            return status;
        }
    }
    if (option < -1) {
        return Status(ErrorCode::InvalidArgument,
                      std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                          poptStrerror(option) + " (see coralhoistd --help)");
    }
    const char* extra = poptGetArg(context.get());
    if (extra != nullptr) {
        return Status(ErrorCode::InvalidArgument,
                      std::string(extra) + ": unexpected argument (see coralhoistd --help)");
    }
    return commandLine;
}

}  // namespace coralhoist::program
