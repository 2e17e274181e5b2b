/** All commands of coralhoistctl. */
#pragma once

#include <string>
#include <vector>

#include "program/coralhoistctl/CommandContext.h"

namespace coralhoist::ctl {

/** One command. */
struct Command {
    /** The words that name it, e.g. "settings get". */
    std::string name;
    /** What follows the name. */
    std::string usage;
    std::string summary;
    std::size_t fewestArguments = 0;
    std::size_t mostArguments = 0;
    ExitCode (*run)(const CommandContext&, const Arguments&) = nullptr;
};

/** @return every command, in the order of --help. */
const std::vector<Command>& commands();

/** Runs the command that the arguments name, or explains what is wrong with them. */
ExitCode runCommand(const CommandContext& context);

/** @return the text of --help: commands, options and exit codes. */
std::string helpText();

}  // namespace coralhoist::ctl
