#include "program/coralhoistctl/CommandLine.h"

#include <QSysInfo>
#include <array>
#include <charconv>
#include <cstdlib>
#include <limits>

#include "base/Error.h"
#include "program/PoptContext.h"
#include "settings/SettingValue.h"
#include "settings/Suggestion.h"

namespace coralhoist::ctl {
namespace {

constexpr const char* kProxyVariable = "CORALHOIST_PROXY";

enum OptionValue : int {
    ProxyOption = 1,
    JsonOption,
    MarkdownOption,
    WaitOption,
    BasedOnOption,
    TimeoutOption,
    LimitOption,
    CountOption,
    AuthorOption,
    ShowSecretsOption,
    UndoOption,
    HelpOption,
};

/** One option of the command line. */
struct OptionEntry {
    const char* name;
    OptionValue value;
    /** Name of the option's argument, or null. */
    const char* argument;
    const char* help;
};

constexpr std::array<OptionEntry, 12> kOptions = {{
    {"proxy", ProxyOption, "IP:PORT",
     "proxy to ask (default: $CORALHOIST_PROXY, else 127.0.0.1:7434)"},
    {"json", JsonOption, nullptr, "print JSON for programs"},
    {"wait", WaitOption, nullptr, "after an edit: wait until every proxy has it in force"},
    {"based-on", BasedOnOption, "VERSION", "edit only if the node still has this version; 0: new"},
    {"timeout", TimeoutOption, "DURATION", "longest wait, e.g. 10s (the default)"},
    {"limit", LimitOption, "N", "history: at most N changes (default 20)"},
    {"count", CountOption, "N", "watch: end after N changes"},
    {"author", AuthorOption, "NAME", "who makes the edit (default: user@host)"},
    {"show-secrets", ShowSecretsOption, nullptr, "print passwords instead of asterisks"},
    {"markdown", MarkdownOption, nullptr, "settings explain: print the page docs/SETTINGS.md"},
    {"undo", UndoOption, nullptr, "drain: take a drain back"},
    {"help", HelpOption, nullptr, "print this and exit; after a command: its usage"},
}};

std::vector<poptOption> makePoptTable() {
    std::vector<poptOption> table;
    for (const OptionEntry& option : kOptions) {
        const char shortName = option.value == HelpOption ? 'h' : '\0';
        const unsigned kind = option.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({option.name, shortName, kind, nullptr, option.value, nullptr, nullptr});
    }
    table.push_back(POPT_TABLEEND);
    return table;
}

Status invalid(const std::string& message) {
    return {ErrorCode::InvalidArgument, message};
}

template <typename Number>
Status readNumber(const char* option, const std::string& text, Number& number) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end || number < 0) {
        return invalid(std::string("--") + option + ": '" + text + "' is not a whole number");
    }
    return Status::ok();
}

Status readProxy(const std::string& text, CommandLine& commandLine) {
    Status malformed = invalid("--proxy: '" + text + "' is not of the form IP:PORT");
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return malformed;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint32_t port = 0;
    const Status portStatus = readNumber("proxy", text.substr(colon + 1), port);
    const bool portFits = port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
    if (!portStatus.isOk() || !portFits ||
        !commandLine.proxyAddress.setAddress(QString::fromStdString(host))) {
        return malformed;
    }
    commandLine.proxyPort = static_cast<std::uint16_t>(port);
    return Status::ok();
}

Status readTimeout(const std::string& text, CommandLine& commandLine) {
    const auto duration = settings::parseDuration(text);
    if (!duration.isOk() || duration.value() == Duration::zero()) {
        return invalid("--timeout: " +
                       (duration.isOk() ? "must be above zero" : duration.status().message()));
    }
    commandLine.timeout = duration.value();
    return Status::ok();
}

Status applyValue(OptionValue option, const std::string& text, CommandLine& commandLine) {
    switch (option) {
        case ProxyOption:
            return readProxy(text, commandLine);
        case BasedOnOption:
            return readNumber("based-on", text, commandLine.basedOn.emplace());
        case TimeoutOption:
            return readTimeout(text, commandLine);
        case LimitOption:
            return readNumber("limit", text, commandLine.limit);
        case CountOption:
            return readNumber("count", text, commandLine.count);
        default:
            commandLine.author = text;
            return Status::ok();
    }
}

Status applyOption(OptionValue option, const std::string& text, CommandLine& commandLine) {
    switch (option) {
        case JsonOption:
            commandLine.json = true;
            return Status::ok();
        case MarkdownOption:
            commandLine.markdown = true;
            return Status::ok();
        case WaitOption:
            commandLine.wait = true;
            return Status::ok();
        case ShowSecretsOption:
            commandLine.showSecrets = true;
            return Status::ok();
        case UndoOption:
            commandLine.undo = true;
            return Status::ok();
        case HelpOption:
            commandLine.help = true;
            return Status::ok();
        default:
            return applyValue(option, text, commandLine);
    }
}

Status badOption(const std::string& option, int error) {
    std::vector<std::string> names;
    names.reserve(kOptions.size());
    for (const OptionEntry& entry : kOptions) {
        names.push_back(std::string("--") + entry.name);
    }
    const bool unknown = error == POPT_ERROR_BADOPT;
    return invalid(option + ": " + poptStrerror(error) +
                   (unknown ? settings::suggestionFor(option, names) : std::string()));
}

std::string defaultAuthor() {
    const char* user = std::getenv("USER");  // NOLINT(concurrency-mt-unsafe): one thread.
    return std::string(user == nullptr ? "unknown" : user) + "@" +
           QSysInfo::machineHostName().toStdString();
}

}  // namespace

std::string CommandLine::proxyText() const {
    return proxyAddress.toString().toStdString() + ":" + std::to_string(proxyPort);
}

StatusWith<CommandLine> parseCommandLine(int argumentCount, const char** arguments) {
    CommandLine commandLine;
    commandLine.author = defaultAuthor();
    // NOLINTNEXTLINE(concurrency-mt-unsafe): one thread.
    if (const char* proxy = std::getenv(kProxyVariable)) {
        if (Status status = readProxy(proxy, commandLine); !status.isOk()) {
            return status;
        }
    }
    const std::vector<poptOption> table = makePoptTable();
    const program::PoptContext context(
        poptGetContext("coralhoistctl", argumentCount, arguments, table.data(), 0));
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0) {
        const std::string text = program::takeArgument(context.get());
        if (Status status = applyOption(static_cast<OptionValue>(option), text, commandLine);
            !status.isOk()) {
            return status;
        }
    }
    if (option < -1) {
        return badOption(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), option);
    }
    while (const char* argument = poptGetArg(context.get())) {
        commandLine.arguments.emplace_back(argument);
    }
    return commandLine;
}

std::string optionsHelp() {
    constexpr std::size_t kColumn = 24;
    std::string help;
    for (const OptionEntry& option : kOptions) {
        std::string left = std::string("  --") + option.name;
        if (option.argument != nullptr) {
            left += std::string(" ") + option.argument;
        }
        left.resize(std::max(left.size() + 1, kColumn), ' ');
        help += left + option.help + "\n";
    }
    return help;
}

}  // namespace coralhoist::ctl
