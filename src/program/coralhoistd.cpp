/** coralhoistd: the proxy daemon. */
#include <QCoreApplication>
#include <cstdio>

#include "base/Log.h"
#include "base/ProcessEnd.h"
#include "contract/RefusalDocumentation.h"
#include "link/backend/ConnectionParameters.h"
#include "program/Daemon.h"
#include "program/DaemonCommandLine.h"
#include "program/SignalWatch.h"

namespace {

using coralhoist::LogEvent;
using coralhoist::LogLevel;
using coralhoist::Status;
using coralhoist::program::Daemon;
using coralhoist::program::DaemonCommandLine;
using coralhoist::program::DaemonConfiguration;

constexpr int kSuccess = 0;
constexpr int kStartFailed = 1;
constexpr int kBadConfiguration = 2;
constexpr const char* kVersion = CORALHOIST_VERSION;

int reportBadConfiguration(const Status& status) {
    std::fprintf(stderr, "coralhoistd: %s\n", status.message().c_str());
    return kBadConfiguration;
}

/** Starts the daemon and runs it until SIGTERM or SIGINT has been carried out. */
int runDaemon(int argumentCount, char** arguments, const DaemonConfiguration& configuration) {
    coralhoist::program::SignalWatch::blockSignals();
    QCoreApplication application(argumentCount, arguments);
    coralhoist::initializeLogging(configuration.logLevel, coralhoist::LogStart::Held);
    Daemon daemon(configuration, [] { QCoreApplication::exit(kSuccess); });
    const Status started = daemon.start();
    if (!started.isOk()) {
        LogEvent("daemon", LogLevel::Error, "daemon.start_failed")
            .field("reason", started.message());
        coralhoist::shutDownLogging();
        return kStartFailed;
    }
    std::printf("%s\n", daemon.listeningReport().c_str());
    std::fflush(stdout);
    coralhoist::releaseLogging();
    coralhoist::program::SignalWatch signals(
        [&daemon] { daemon.drain(); },
        [] { LogEvent("daemon", LogLevel::Info, "daemon.reload_ignored"); });
    const int exitCode = QCoreApplication::exec();
    daemon.stop();
    coralhoist::shutDownLogging();
    return exitCode;
}

int runProgram(int argumentCount, char** arguments) {
    // Before any thread: nothing in the environment may redirect back-end connections.
    coralhoist::backend::clearLibpqEnvironment();
    const auto commandLine = coralhoist::program::parseDaemonCommandLine(
        argumentCount, const_cast<const char**>(arguments));
    if (!commandLine.isOk()) {
        return reportBadConfiguration(commandLine.status());
    }
    const DaemonCommandLine& asked = commandLine.value();
    if (asked.showVersion) {
        std::printf("coralhoistd %s\n", kVersion);
        return kSuccess;
    }
    if (asked.showKeys) {
        std::printf("%s", coralhoist::program::describeDaemonConfiguration().c_str());
        return kSuccess;
    }
    if (asked.showErrors) {
        std::printf("%s", coralhoist::contract::refusalMarkdown().c_str());
        return kSuccess;
    }
    const auto configuration =
        coralhoist::program::loadDaemonConfiguration(asked.settingsFile, asked.overrides);
    if (!configuration.isOk()) {
        return reportBadConfiguration(configuration.status());
    }
    if (asked.checkOnly) {
        std::printf("configuration is valid\n");
        return kSuccess;
    }
    return runDaemon(argumentCount, arguments, configuration.value());
}

}  // namespace

int main(int argumentCount, char** arguments) {
    coralhoist::endProcess(runProgram(argumentCount, arguments));
}
