#include "lab/benchmark/PointReadBenchmark.h"

#include <libpq-fe.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/Error.h"

namespace coralhoist::lab {
namespace {

using BenchmarkClock = std::chrono::steady_clock;
using Latencies = std::vector<std::chrono::nanoseconds>;

constexpr double kPercentile99 = 0.99;
constexpr double kMedian = 0.5;
constexpr std::uint32_t kWarmUpShare = 10;

struct ConnectionDeleter {
    void operator()(PGconn* connection) const { PQfinish(connection); }
};
using ConnectionPointer = std::unique_ptr<PGconn, ConnectionDeleter>;

struct ResultDeleter {
    void operator()(PGresult* result) const { PQclear(result); }
};
using ResultPointer = std::unique_ptr<PGresult, ResultDeleter>;

ConnectionPointer connect(const BenchmarkTarget& target) {
    const std::string text = "hostaddr=" + target.host + " port=" + std::to_string(target.port) +
                             " dbname=" + target.database +
                             " user=benchmark application_name=" + target.service +
                             " sslmode=disable";
    return ConnectionPointer(PQconnectdb(text.c_str()));
}

/** One connection with its thread's measurements. */
struct Client {
    ConnectionPointer connection;
    Latencies latencies;
    std::string error;
};

bool readOnce(Client& client, const std::string& query, std::uint32_t number) {
    const std::string parameter = std::to_string(number);
    const char* values[] = {parameter.c_str()};
    const ResultPointer result(PQexecParams(client.connection.get(), query.c_str(), 1, nullptr,
                                            values, nullptr, nullptr, 0));
    if (PQresultStatus(result.get()) != PGRES_TUPLES_OK) {
        client.error = PQerrorMessage(client.connection.get());
        return false;
    }
    return true;
}

void runClient(Client& client, const BenchmarkLoad& load) {
    const std::uint32_t warmUp = load.readsPerClient / kWarmUpShare;
    client.latencies.reserve(load.readsPerClient);
    for (std::uint32_t number = 0; number < warmUp + load.readsPerClient; ++number) {
        const auto begin = BenchmarkClock::now();
        if (!readOnce(client, load.query, number)) {
            return;
        }
        if (number >= warmUp) {
            client.latencies.push_back(BenchmarkClock::now() - begin);
        }
    }
}

std::chrono::microseconds quantile(Latencies& latencies, double share) {
    const auto index =
        static_cast<std::ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    const auto position = latencies.begin() + index;
    std::nth_element(latencies.begin(), position, latencies.end());
    return std::chrono::duration_cast<std::chrono::microseconds>(*position);
}

BenchmarkResult summarize(const std::vector<Client>& clients) {
    Latencies all;
    double readsPerSecond = 0;
    for (const Client& client : clients) {
        std::chrono::nanoseconds total{0};
        for (const std::chrono::nanoseconds latency : client.latencies) {
            total += latency;
        }
        const double seconds = std::chrono::duration<double>(total).count();
        readsPerSecond += static_cast<double>(client.latencies.size()) / seconds;
        all.insert(all.end(), client.latencies.begin(), client.latencies.end());
    }
    return {readsPerSecond, quantile(all, kMedian), quantile(all, kPercentile99)};
}

}  // namespace

StatusWith<BenchmarkResult> runPointReads(const BenchmarkTarget& target,
                                          const BenchmarkLoad& load) {
    std::vector<Client> clients(load.clients);
    for (Client& client : clients) {
        client.connection = connect(target);
        if (PQstatus(client.connection.get()) != CONNECTION_OK) {
            return Status(ErrorCode::Unavailable, PQerrorMessage(client.connection.get()));
        }
    }
    std::vector<std::thread> threads;
    threads.reserve(clients.size());
    for (Client& client : clients) {
        threads.emplace_back([&client, &load] { runClient(client, load); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    for (const Client& client : clients) {
        if (!client.error.empty()) {
            return Status(ErrorCode::Unavailable, client.error);
        }
    }
    return summarize(clients);
}

}  // namespace coralhoist::lab
