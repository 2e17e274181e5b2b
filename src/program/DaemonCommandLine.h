/** Command line of coralhoistd. */
#pragma once

#include <string>
#include <vector>

#include "base/Status.h"
#include "program/DaemonConfiguration.h"

namespace coralhoist::program {

/** What the command line asks for. */
struct DaemonCommandLine {
    /** Path of the configuration file; empty when not given. */
    std::string settingsFile;
    std::vector<ConfigurationOverride> overrides;
    /** Check the configuration, print the result and exit. */
    bool checkOnly = false;
    bool showVersion = false;
    bool showKeys = false;
    /** Print the page of the proxy's own errors and exit. */
    bool showErrors = false;
};

/**
 * Parses the arguments of main; prints the help and exits the process when --help is given.
 * @return the command line, or InvalidArgument naming the argument.
 */
StatusWith<DaemonCommandLine> parseDaemonCommandLine(int argumentCount, const char** arguments);

}  // namespace coralhoist::program
