#include "lab/database/DatabaseCommand.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QStringList>
#include <cstdio>

#include "base/Error.h"
#include "lab/TerminationSignal.h"
#include "lab/database/ControlServer.h"
#include "lab/database/DatabaseGroup.h"
#include "program/PoptContext.h"

namespace coralhoist::lab::database {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kDefaultServers = 3;

/** The options as popt stores them; durations in milliseconds. */
struct RawOptions {
    char** servers = nullptr;
    char** zoneDelays = nullptr;
    char* address = nullptr;
    char* commit = nullptr;
    char* initialSqlFile = nullptr;
    int controlPort = 0;
    int maxConnections = 100;
    int executionSlots = 8;
    int seed = 1;
    double connectionCost = 0;
    double readTime = 0;
    double writeTime = 0;
    double replicationDelay = 0;
    double replayLag = 0;
    double heartbeat = 50;
    double electionTimeout = 500;
};

Status invalid(const std::string& message) {
    return {ErrorCode::InvalidArgument, message};
}

Duration fromMilliseconds(double milliseconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

QStringList listOf(char** values) {
    QStringList list;
    for (char** value = values; value != nullptr && *value != nullptr; ++value) {
        list.append(QString::fromLocal8Bit(*value));
    }
    return list;
}

/** Reads NAME[:ZONE[:PORT]]. */
StatusWith<ServerOptions> parseServer(const QString& text) {
    const QStringList parts = text.split(':');
    ServerOptions server;
    server.name = ServerName(parts[0].toStdString());
    bool valid = !parts[0].isEmpty() && parts.size() <= 3;
    if (parts.size() > 1) {
        server.zone = ZoneName(parts[1].toStdString());
    }
    if (valid && parts.size() > 2) {
        server.port = parts[2].toUShort(&valid);
    }
    if (!valid) {
        return invalid("--server " + text.toStdString() + ": expected NAME[:ZONE[:PORT]]");
    }
    return server;
}

Status addZoneDelay(const QString& text, ZoneDelays& delays) {
    const QStringList parts = text.split(':');
    bool valid = parts.size() == 3;
    const double milliseconds = valid ? parts[2].toDouble(&valid) : 0;
    if (!valid || milliseconds < 0) {
        return invalid("--zone-delay " + text.toStdString() + ": expected ZONE:ZONE:MILLISECONDS");
    }
    delays.set(ZoneName(parts[0].toStdString()), ZoneName(parts[1].toStdString()),
               fromMilliseconds(milliseconds));
    return Status::ok();
}

Status addServers(const QStringList& texts, GroupOptions& options) {
    for (const QString& text : texts) {
        StatusWith<ServerOptions> server = parseServer(text);
        if (!server.isOk()) {
            return server.status();
        }
        for (const ServerOptions& other : options.servers) {
            if (other.name == server.value().name) {
                return invalid("--server " + text.toStdString() + ": the name is taken");
            }
        }
        options.servers.push_back(std::move(server).value());
    }
    for (int number = 1; texts.isEmpty() && number <= kDefaultServers; ++number) {
        options.servers.push_back({ServerName("server" + std::to_string(number)), {}, 0});
    }
    return Status::ok();
}

Status readInitialSql(const char* path, GroupOptions& options) {
    if (path == nullptr) {
        return Status::ok();
    }
    QFile file(QString::fromLocal8Bit(path));
    if (!file.open(QIODevice::ReadOnly)) {
        return invalid("--init-sql " + std::string(path) + ": " + file.errorString().toStdString());
    }
    options.initialSql = file.readAll().toStdString();
    return Status::ok();
}

Status checkRanges(const RawOptions& raw) {
    for (const double milliseconds :
         {raw.connectionCost, raw.readTime, raw.writeTime, raw.replicationDelay, raw.replayLag}) {
        if (milliseconds < 0) {
            return invalid("times must not be negative");
        }
    }
    if (raw.heartbeat <= 0 || raw.electionTimeout <= 0) {
        return invalid("--heartbeat and --election-timeout must be above 0");
    }
    if (raw.maxConnections < 1 || raw.executionSlots < 1) {
        return invalid("--max-connections and --slots must be at least 1");
    }
    if (raw.controlPort < 0 || raw.controlPort > 0xFFFF) {
        return invalid("--control-port must be a port number");
    }
    return Status::ok();
}

StatusWith<GroupOptions> makeGroupOptions(const RawOptions& raw) {
    GroupOptions options;
    if (Status status = checkRanges(raw); !status.isOk()) {
        return status;
    }
    if (Status status = addServers(listOf(raw.servers), options); !status.isOk()) {
        return status;
    }
    for (const QString& text : listOf(raw.zoneDelays)) {
        if (Status status = addZoneDelay(text, options.zoneDelays); !status.isOk()) {
            return status;
        }
    }
    if (raw.address != nullptr &&
        !options.address.setAddress(QString::fromLocal8Bit(raw.address))) {
        return invalid("--listen " + std::string(raw.address) + ": not an IP address");
    }
    const QString commit = raw.commit == nullptr ? "local" : QString::fromLocal8Bit(raw.commit);
    if (commit != "local" && commit != "majority") {
        return invalid("--commit must be local or majority");
    }
    options.commitMode = commit == "local" ? CommitMode::Local : CommitMode::Majority;
    options.limits.maxConnections = raw.maxConnections;
    options.limits.executionSlots = raw.executionSlots;
    options.limits.connectionCost = fromMilliseconds(raw.connectionCost);
    options.limits.readServiceTime = fromMilliseconds(raw.readTime);
    options.limits.writeServiceTime = fromMilliseconds(raw.writeTime);
    options.replicationDelay = fromMilliseconds(raw.replicationDelay);
    options.replayLag = fromMilliseconds(raw.replayLag);
    options.heartbeatInterval = fromMilliseconds(raw.heartbeat);
    options.electionTimeout = fromMilliseconds(raw.electionTimeout);
    options.randomSeed = static_cast<std::uint64_t>(raw.seed);
    if (Status status = readInitialSql(raw.initialSqlFile, options); !status.isOk()) {
        return status;
    }
    return options;
}

/** Fills raw; prints the mistake and returns false when there is one. */
bool parseOptions(int argumentCount, char** arguments, RawOptions& raw) {
    const poptOption table[] = {
        {"server", 0, POPT_ARG_ARGV, &raw.servers, 0, "a server; the first leads (default: three)",
         "NAME[:ZONE[:PORT]]"},
        {"listen", 0, POPT_ARG_STRING, &raw.address, 0, "address (default: 127.0.0.1)", "IP"},
        {"control-port", 0, POPT_ARG_INT, &raw.controlPort, 0, "HTTP port (0: kernel's choice)",
         "PORT"},
        {"commit", 0, POPT_ARG_STRING, &raw.commit, 0, "when commits are answered",
         "local|majority"},
        {"init-sql", 0, POPT_ARG_STRING, &raw.initialSqlFile, 0, "SQL run on all servers at start",
         "FILE"},
        {"max-connections", 0, POPT_ARG_INT, &raw.maxConnections, 0, "per server", "COUNT"},
        {"connection-cost", 0, POPT_ARG_DOUBLE, &raw.connectionCost, 0, "per new connection",
         "MILLISECONDS"},
        {"slots", 0, POPT_ARG_INT, &raw.executionSlots, 0, "statements served at once per server",
         "COUNT"},
        {"read-time", 0, POPT_ARG_DOUBLE, &raw.readTime, 0, "service time of a read",
         "MILLISECONDS"},
        {"write-time", 0, POPT_ARG_DOUBLE, &raw.writeTime, 0, "service time of a write",
         "MILLISECONDS"},
        {"zone-delay", 0, POPT_ARG_ARGV, &raw.zoneDelays, 0, "one-way delay between two zones",
         "ZONE:ZONE:MILLISECONDS"},
        {"replication-delay", 0, POPT_ARG_DOUBLE, &raw.replicationDelay, 0,
         "added to replication messages", "MILLISECONDS"},
        {"replay-lag", 0, POPT_ARG_DOUBLE, &raw.replayLag, 0, "from receipt to visibility",
         "MILLISECONDS"},
        {"heartbeat", 0, POPT_ARG_DOUBLE, &raw.heartbeat, 0, "interval of the primary's heartbeats",
         "MILLISECONDS"},
        {"election-timeout", 0, POPT_ARG_DOUBLE, &raw.electionTimeout, 0,
         "silence of the primary before an election", "MILLISECONDS"},
        {"seed", 0, POPT_ARG_INT, &raw.seed, 0, "of random()", "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND};
    const program::PoptContext context(poptGetContext(
        "coralhoist-lab database", argumentCount, const_cast<const char**>(arguments), table, 0));
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        std::fprintf(stderr, "coralhoist-lab database: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
        return false;
    }
    if (const char* extra = poptGetArg(context.get())) {
        std::fprintf(stderr, "coralhoist-lab database: unexpected argument: %s\n", extra);
        return false;
    }
    return true;
}

void printPorts(const DatabaseGroup& group, std::uint16_t controlPort) {
    const QString address = group.options().address.toString();
    QJsonArray servers;
    for (const auto& server : group.servers()) {
        servers.append(QJsonObject{{"name", QString::fromStdString(server->name().value())},
                                   {"zone", QString::fromStdString(server->zone().value())},
                                   {"address", address},
                                   {"port", server->listener().port()}});
    }
    const QJsonObject line{{"control", QJsonObject{{"address", address}, {"port", controlPort}}},
                           {"servers", servers}};
    std::printf("%s\n", QJsonDocument(line).toJson(QJsonDocument::Compact).constData());
    std::fflush(stdout);
}

int fail(const Status& status, int exitCode) {
    std::fprintf(stderr, "coralhoist-lab database: %s\n", status.message().c_str());
    return exitCode;
}

}  // namespace

int runDatabaseCommand(int argumentCount, char** arguments) {
    RawOptions raw;
    if (!parseOptions(argumentCount, arguments, raw)) {
        return kExitUsage;
    }
    StatusWith<GroupOptions> options = makeGroupOptions(raw);
    if (!options.isOk()) {
        return fail(options.status(), kExitUsage);
    }
    int qtArgumentCount = 1;
    QCoreApplication application(qtArgumentCount, arguments);
    const TerminationSignal termination([] { QCoreApplication::quit(); });
    DatabaseGroup group(std::move(options).value());
    if (Status status = group.start(); !status.isOk()) {
        return fail(status, kExitFailure);
    }
    ControlServer control(group);
    const StatusWith<std::uint16_t> controlPort =
        control.listen(group.options().address, static_cast<std::uint16_t>(raw.controlPort));
    if (!controlPort.isOk()) {
        return fail(controlPort.status(), kExitFailure);
    }
    printPorts(group, controlPort.value());
    return QCoreApplication::exec();
}

}  // namespace coralhoist::lab::database
