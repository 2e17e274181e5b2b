#include "lab/benchmark/BenchmarkCommand.h"

#include <charconv>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "lab/benchmark/PointReadBenchmark.h"
#include "program/PoptContext.h"

namespace coralhoist::lab {
namespace {

constexpr int kDone = 0;
constexpr int kFailed = 1;
constexpr int kBadCommandLine = 2;

/** Values of the flags; popt writes into them. */
struct BenchmarkFlags {
    char* direct = nullptr;
    char* proxy = nullptr;
    char* database = nullptr;
    char* service = nullptr;
    int clients = 4;
    int reads = 2000;
    int rounds = 3;
};

bool parseFlags(int argumentCount, char** arguments, BenchmarkFlags& flags) {
    const poptOption options[] = {
        {"direct", 0, POPT_ARG_STRING, &flags.direct, 0, "a server of the group", "IP:PORT"},
        {"proxy", 0, POPT_ARG_STRING, &flags.proxy, 0, "a proxy's port for callers", "IP:PORT"},
        {"database", 0, POPT_ARG_STRING, &flags.database, 0, "database group", "NAME"},
        {"service", 0, POPT_ARG_STRING, &flags.service, 0, "service", "NAME"},
        {"clients", 0, POPT_ARG_INT, &flags.clients, 0, "connections at once", "COUNT"},
        {"reads", 0, POPT_ARG_INT, &flags.reads, 0, "reads on each connection", "COUNT"},
        {"rounds", 0, POPT_ARG_INT, &flags.rounds, 0, "times both are measured in turn", "COUNT"},
        POPT_AUTOHELP POPT_TABLEEND};
    const program::PoptContext context(poptGetContext("coralhoist-lab benchmark", argumentCount,
                                                      const_cast<const char**>(arguments), options,
                                                      0));
    const int result = poptGetNextOpt(context.get());
    if (result < -1) {
        std::fprintf(stderr, "coralhoist-lab benchmark: %s: %s\n",
                     poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(result));
        return false;
    }
    const bool complete = flags.direct != nullptr && flags.proxy != nullptr &&
                          flags.database != nullptr && flags.service != nullptr;
    if (!complete || flags.clients < 1 || flags.reads < 1 || flags.rounds < 1) {
        std::fprintf(stderr,
                     "coralhoist-lab benchmark: --direct, --proxy, --database and --service are "
                     "needed, and counts of at least 1\n");
        return false;
    }
    return true;
}

std::optional<BenchmarkTarget> makeTarget(const std::string& address, const BenchmarkFlags& flags) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    BenchmarkTarget target{address.substr(0, colon), 0, flags.database, flags.service};
    const char* end = address.data() + address.size();
    const auto [stop, error] = std::from_chars(address.data() + colon + 1, end, target.port);
    return error == std::errc() && stop == end ? std::optional(target) : std::nullopt;
}

void print(const char* name, const BenchmarkResult& result) {
    std::printf("%-7s %9.0f reads/s   p50 %6lld us   p99 %6lld us\n", name, result.readsPerSecond,
                static_cast<long long>(result.median.count()),
                static_cast<long long>(result.percentile99.count()));
}

int runRounds(const BenchmarkFlags& flags, const BenchmarkTarget& direct,
              const BenchmarkTarget& proxy) {
    BenchmarkLoad load;
    load.clients = static_cast<std::uint32_t>(flags.clients);
    load.readsPerClient = static_cast<std::uint32_t>(flags.reads);
    for (int round = 0; round < flags.rounds; ++round) {
        const auto straight = runPointReads(direct, load);
        const auto proxied = runPointReads(proxy, load);
        if (!straight.isOk() || !proxied.isOk()) {
            const Status& status = straight.isOk() ? proxied.status() : straight.status();
            std::fprintf(stderr, "coralhoist-lab benchmark: %s\n", status.message().c_str());
            return kFailed;
        }
        print("direct", straight.value());
        print("proxy", proxied.value());
        std::printf("ratio   proxy/direct: throughput %.2f, p50 %.2f, p99 %.2f\n",
                    proxied.value().readsPerSecond / straight.value().readsPerSecond,
                    static_cast<double>(proxied.value().median.count()) /
                        static_cast<double>(straight.value().median.count()),
                    static_cast<double>(proxied.value().percentile99.count()) /
                        static_cast<double>(straight.value().percentile99.count()));
    }
    return kDone;
}

}  // namespace

int runBenchmarkCommand(int argumentCount, char** arguments) {
    BenchmarkFlags flags;
    if (!parseFlags(argumentCount, arguments, flags)) {
        return kBadCommandLine;
    }
    const auto direct = makeTarget(flags.direct, flags);
    const auto proxy = makeTarget(flags.proxy, flags);
    if (!direct || !proxy) {
        std::fprintf(stderr, "coralhoist-lab benchmark: addresses must be IP:PORT\n");
        return kBadCommandLine;
    }
    return runRounds(flags, *direct, *proxy);
}

}  // namespace coralhoist::lab
