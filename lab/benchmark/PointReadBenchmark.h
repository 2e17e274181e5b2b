/** Throughput and latency of a point read, through a proxy beside straight to a server. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/Status.h"

namespace coralhoist::lab {

/** Where the reads go. */
struct BenchmarkTarget {
    /** IP number. */
    std::string host;
    std::uint16_t port = 0;
    std::string database;
    /** application_name; the service when the target is a proxy. */
    std::string service;
};

/** How much is read. */
struct BenchmarkLoad {
    /** Connections, each with a thread that waits for one answer before it asks again. */
    std::uint32_t clients = 4;
    /** Reads on each connection. */
    std::uint32_t readsPerClient = 2000;
    std::string query = "SELECT $1::bigint";
};

/** What was measured. */
struct BenchmarkResult {
    double readsPerSecond = 0;
    std::chrono::microseconds median{0};
    std::chrono::microseconds percentile99{0};
};

/**
 * Runs the load in closed loop, after a tenth of it as a warm-up. Blocks.
 * @return the figures, or Unavailable with the first error of a client.
 */
StatusWith<BenchmarkResult> runPointReads(const BenchmarkTarget& target, const BenchmarkLoad& load);

}  // namespace coralhoist::lab
