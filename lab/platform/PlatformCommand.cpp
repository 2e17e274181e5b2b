#include "lab/platform/PlatformCommand.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>
#include <cstdio>
#include <string>

#include "base/Error.h"
#include "lab/platform/PlatformServer.h"
#include "program/PoptContext.h"

namespace coralhoist::lab {
namespace {

constexpr int kFailed = 1;
constexpr int kBadCommandLine = 2;

/** Values of the flags; popt writes into them. */
struct PlatformFlags {
    std::string listen = "127.0.0.1";
    int port = 0;
    std::string initialFile;
    int machineLagMilliseconds = 0;
    int bookmarkMilliseconds = 1000;
};

/** @return whether the command line is valid; a fault has been printed otherwise. */
bool parseFlags(int argumentCount, char** arguments, PlatformFlags& flags) {
    program::PoptText listen;
    program::PoptText initialFile;
    const poptOption options[] = {
        {"listen", 'l', POPT_ARG_STRING, &listen.text, 0, "IP number to listen on", "IP"},
        {"port", 'p', POPT_ARG_INT, &flags.port, 0, "port; 0 lets the kernel choose", "PORT"},
        {"initial", 'i', POPT_ARG_STRING, &initialFile.text, 0, "JSON file of initial objects",
         "FILE"},
        {"machine-lag", 0, POPT_ARG_INT, &flags.machineLagMilliseconds, 0,
         "lag of the machine list in milliseconds", "MS"},
        {"bookmark-interval", 0, POPT_ARG_INT, &flags.bookmarkMilliseconds, 0,
         "time between bookmarks in milliseconds", "MS"},
        POPT_AUTOHELP POPT_TABLEEND};
    const program::PoptContext context(poptGetContext(
        "coralhoist-lab platform", argumentCount, const_cast<const char**>(arguments), options, 0));
    const int result = poptGetNextOpt(context.get());
    flags.listen = listen.valueOr(flags.listen);
    flags.initialFile = initialFile.valueOr(flags.initialFile);
    if (result < -1) {
        std::fprintf(stderr, "coralhoist-lab platform: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(result));
        return false;
    }
    const bool portValid = flags.port >= 0 && flags.port <= UINT16_MAX;
    if (!portValid || flags.machineLagMilliseconds < 0 || flags.bookmarkMilliseconds < 1) {
        std::fprintf(stderr, "coralhoist-lab platform: a number is out of range\n");
        return false;
    }
    return true;
}

Status loadInitialFile(PlatformServer& server, const std::string& path) {
    if (path.empty()) {
        return Status::ok();
    }
    QFile file(QString::fromStdString(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return {ErrorCode::NotFound, path + ": " + file.errorString().toStdString()};
    }
    const QJsonDocument content = QJsonDocument::fromJson(file.readAll());
    if (!content.isObject()) {
        return {ErrorCode::InvalidArgument, path + ": no JSON object"};
    }
    return server.loadInitial(content.object());
}

int reportFailure(const Status& status) {
    std::fprintf(stderr, "coralhoist-lab platform: %s\n", status.message().c_str());
    return kFailed;
}

}  // namespace

int runPlatformCommand(int argumentCount, char** arguments) {
    PlatformFlags flags;
    if (!parseFlags(argumentCount, arguments, flags)) {
        return kBadCommandLine;
    }
    QCoreApplication application(argumentCount, arguments);
    PlatformServerOptions options;
    options.bookmarkInterval = std::chrono::milliseconds(flags.bookmarkMilliseconds);
    options.baseFaults.machineLag = std::chrono::milliseconds(flags.machineLagMilliseconds);
    PlatformServer server(options);
    const Status loaded = loadInitialFile(server, flags.initialFile);
    if (!loaded.isOk()) {
        return reportFailure(loaded);
    }
    const auto port =
        server.start(QString::fromStdString(flags.listen), static_cast<std::uint16_t>(flags.port));
    if (!port.isOk()) {
        return reportFailure(port.status());
    }
    std::printf("{\"address\":\"%s\",\"port\":%u}\n", flags.listen.c_str(), port.value());
    std::fflush(stdout);
    return QCoreApplication::exec();
}

}  // namespace coralhoist::lab
