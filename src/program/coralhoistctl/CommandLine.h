/** The command line of coralhoistctl. */
#pragma once

#include <QHostAddress>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/Status.h"
#include "base/Time.h"

namespace coralhoist::ctl {

/** Where proxies listen for operators unless told otherwise. */
constexpr std::uint16_t kDefaultOperatorPort = 7434;

/** The options and arguments as given. */
struct CommandLine {
    QHostAddress proxyAddress{QHostAddress::LocalHost};
    std::uint16_t proxyPort = kDefaultOperatorPort;
    bool json = false;
    bool markdown = false;
    bool wait = false;
    bool showSecrets = false;
    bool undo = false;
    bool help = false;
    /** Version that an edit must replace; the version read when it is not given. */
    std::optional<std::int64_t> basedOn;
    /** Longest duration of a request, and of --wait. */
    Duration timeout = std::chrono::seconds(10);
    /** Most entries of a history. */
    std::int32_t limit = 20;
    /** A watch ends after this many changes; 0: never. */
    std::int32_t count = 0;
    std::string author;
    /** Command, subcommand and what follows. */
    std::vector<std::string> arguments;

    std::string proxyText() const;
};

/**
 * Reads the command line. The proxy's address comes from --proxy, else from the environment
 * variable CORALHOIST_PROXY, else it is 127.0.0.1:7434.
 * @return InvalidArgument with one line that names the faulty option.
 */
StatusWith<CommandLine> parseCommandLine(int argumentCount, const char** arguments);

/** @return the table of options for --help. */
std::string optionsHelp();

}  // namespace coralhoist::ctl
