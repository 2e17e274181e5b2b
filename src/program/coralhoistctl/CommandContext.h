/** What every command of coralhoistctl gets. */
#pragma once

#include <QJsonObject>
#include <ostream>
#include <string>
#include <vector>

#include "base/Status.h"
#include "program/coralhoistctl/CommandLine.h"
#include "program/coralhoistctl/ExitCode.h"
#include "program/coralhoistctl/ProxyConnection.h"

namespace coralhoist::ctl {

/** Options, connection and output of one run. */
struct CommandContext {
    const CommandLine& options;
    ProxyConnection& proxy;
    std::ostream& out;
    std::ostream& error;
};

/** Arguments that follow the command's own words. */
using Arguments = std::vector<std::string>;

/** Prints a JSON object on lines of its own. */
void printJson(const CommandContext& context, const QJsonObject& object);

/** Prints a JSON object on one line, for streams. */
void printJsonLine(const CommandContext& context, const QJsonObject& object);

/**
 * Reports a failure: one line for people on the error stream, and with --json an object with error
 * and exitCode on the output.
 * @param nextStep what to do next; may be empty.
 * @return the code.
 */
ExitCode fail(const CommandContext& context, ExitCode code, const std::string& message,
              const std::string& nextStep = {});

/** Reports the failure of a request that changes nothing. */
ExitCode failRead(const CommandContext& context, const Status& status);

/** Reports faulty arguments. */
ExitCode failUsage(const CommandContext& context, const std::string& message);

}  // namespace coralhoist::ctl
