/** Who connects to the back ends, and within which limits. */
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/Time.h"

namespace coralhoist::backend {

/** Identity on the database servers of a group. */
struct BackendCredentials {
    std::string user;
    /** May be empty; a password file is never consulted. */
    std::string password;
    std::string database;
};

/** Limits of back-end connections. */
struct ConnectorOptions {
    /** A connection that is not ready for statements after this time has failed to open. */
    Duration connectTimeout = std::chrono::seconds(3);
    /** A cancel request that is not taken by the server after this time is given up. */
    Duration cancelTimeout = std::chrono::seconds(3);
    /** Sent data unacknowledged for this long breaks the connection (TCP_USER_TIMEOUT). */
    Duration tcpUserTimeout = std::chrono::seconds(5);
    /** Silence before the first TCP keepalive, rounded down to seconds; at least one second. */
    Duration keepaliveIdle = std::chrono::seconds(5);
    /** Time between TCP keepalives, rounded down to seconds; at least one second. */
    Duration keepaliveInterval = std::chrono::seconds(2);
    /** Unanswered keepalives that break the connection. */
    std::uint32_t keepaliveCount = 3;
    /** Forwarded results are delivered once this many bytes are encoded. */
    std::size_t chunkBytes = 64UL * 1024;
    /** Rows of a captured result beyond this number are dropped. */
    std::size_t captureRowLimit = 1000;
    /** Cancel requests under way at once; more are dropped. */
    std::size_t cancelLimit = 64;
};

}  // namespace coralhoist::backend
