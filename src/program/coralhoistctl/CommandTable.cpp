#include "program/coralhoistctl/CommandTable.h"

#include <limits>
#include <sstream>

#include "program/coralhoistctl/ControlCommands.h"
#include "program/coralhoistctl/ExplainCommand.h"
#include "program/coralhoistctl/SettingsEditCommands.h"
#include "program/coralhoistctl/SettingsReadCommands.h"
#include "program/coralhoistctl/StatusCommand.h"
#include "program/coralhoistctl/TextTable.h"
#include "settings/Suggestion.h"

namespace coralhoist::ctl {
namespace {

constexpr std::size_t kAnyNumber = std::numeric_limits<std::size_t>::max();
constexpr const char* kSettings = "settings";

constexpr const char* kExitCodes = R"(Exit codes:
  0  done
  1  the proxy refused; nothing was changed
  2  the command line is wrong; nothing was sent
  3  another edit came first; nothing was changed, both versions are shown
  4  the proxy can't be reached; nothing was changed
  5  the answer was lost and the change may or may not have taken effect
  6  the change is accepted, and not all proxies have confirmed it within --timeout
)";

constexpr const char* kIntroduction =
    R"(coralhoistctl: reads and changes the settings and shows the state of coralhoist proxies.
Usage: coralhoistctl [OPTIONS] COMMAND [ARGUMENTS]

PATH is estate, estate/GROUP or estate/GROUP/SERVICE.

Commands:
)";

const Command* findCommand(const std::string& name) {
    for (const Command& command : commands()) {
        if (command.name == name) {
            return &command;
        }
    }
    return nullptr;
}

std::string usageLine(const Command& command) {
    return "coralhoistctl " + command.name + (command.usage.empty() ? "" : " " + command.usage);
}

/** @return the command's name and how many of the arguments it takes. */
std::string commandName(const Arguments& arguments) {
    const bool hasSubcommand = arguments.size() > 1 && arguments.front() == kSettings;
    return hasSubcommand ? arguments[0] + " " + arguments[1] : arguments[0];
}

ExitCode failUnknown(const CommandContext& context, const std::string& name) {
    if (name == kSettings) {
        return fail(context, ExitCode::Usage, "'settings' needs a subcommand, e.g. settings list",
                    "See 'coralhoistctl --help'");
    }
    std::vector<std::string> names;
    for (const Command& command : commands()) {
        names.push_back(command.name);
    }
    // "setings get" is compared whole; so are its first two words when the first is no command.
    const Arguments& arguments = context.options.arguments;
    const std::string twoWords = arguments.size() > 1 ? arguments[0] + " " + arguments[1] : name;
    std::string suggestion = settings::suggestionFor(name, names);
    if (suggestion.empty()) {
        suggestion = settings::suggestionFor(twoWords, names);
    }
    return fail(context, ExitCode::Usage, "unknown command '" + name + "'" + suggestion,
                "See 'coralhoistctl --help'");
}

}  // namespace

const std::vector<Command>& commands() {
    static const std::vector<Command> table = {
        {"status", "", "what needs attention; members, groups and sessions", 0, 0, showStatus},
        {"settings list", "[PATH]", "nodes of the tree", 0, 1, settingsList},
        {"settings get", "PATH [KEY]", "what a node sets itself", 1, 2, settingsGet},
        {"settings effective", "PATH", "every value in force and the node it comes from", 1, 1,
         settingsEffective},
        {"settings set", "PATH KEY=VALUE...", "change values; makes the node if there is none", 2,
         kAnyNumber, settingsSet},
        {"settings unset", "PATH KEY...", "remove values, so that they are inherited", 2,
         kAnyNumber, settingsUnset},
        {"settings delete", "PATH", "delete a node", 1, 1, settingsDelete},
        {"settings diff", "PATH KEY=VALUE...", "show what set would change", 2, kAnyNumber,
         settingsDiff},
        {"settings validate", "PATH KEY=VALUE...", "check an edit and change nothing", 2,
         kAnyNumber, settingsValidate},
        {"settings watch", "[PATH]", "print changes as they take effect", 0, 1, settingsWatch},
        {"settings history", "[PATH]", "recent changes that the proxy saw", 0, 1, settingsHistory},
        {"settings explain", "[KEY]", "what a key means; all keys", 0, 1, settingsExplain},
        {"drain", "[node NAME | server GROUP/SERVER]",
         "give no new work to this proxy, another one or a database server", 0, 2, drain},
        {"version", "", "versions of this program and of the proxy", 0, 0, showVersion},
    };
    return table;
}

ExitCode runCommand(const CommandContext& context) {
    const Arguments& words = context.options.arguments;
    if (words.empty()) {
        context.out << helpText();
        return context.options.help ? ExitCode::Ok : ExitCode::Usage;
    }
    const std::string name = commandName(words);
    const Command* command = findCommand(name);
    if (context.options.help && (command != nullptr || name == kSettings)) {
        context.out << (command == nullptr ? helpText()
                                           : "Usage: " + usageLine(*command) + "\n" +
                                                 command->summary + "\n\n" + optionsHelp());
        return ExitCode::Ok;
    }
    if (command == nullptr) {
        return failUnknown(context, name);
    }
    const std::size_t nameWords = name == words[0] ? 1 : 2;
    const Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(nameWords), words.end());
    if (arguments.size() < command->fewestArguments || arguments.size() > command->mostArguments) {
        return failUsage(context, "usage: " + usageLine(*command));
    }
    return command->run(context, arguments);
}

std::string helpText() {
    std::ostringstream text;
    text << kIntroduction;
    TextTable table({"COMMAND", "WHAT IT DOES"});
    for (const Command& command : commands()) {
        table.addRow({command.name + " " + command.usage, command.summary});
    }
    table.print(text, 2);
    text << "\nOptions:\n" << optionsHelp() << "\n" << kExitCodes;
    return text.str();
}

}  // namespace coralhoist::ctl
