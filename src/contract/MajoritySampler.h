/**
 * Majority samples of server status, shared by all requests whose wait began before the queries
 * were sent.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "machine/ServerStatus.h"

namespace coralhoist::contract {

/**
 * A point in the sequence of status queries. Only queries sent after the ticket was taken count for
 * its holder.
 */
using SampleTicket = std::uint64_t;

/** One answered status query. */
struct ServerSample {
    ServerName server;
    machine::ServerStatus status;
};

/**
 * Keeps the latest answered status query of each server with the sequence number under which it was
 * sent.
 *
 * Any number of requests share the queries: each holds a ticket and counts only answers to queries
 * sent after the ticket was taken. At most one query per server is in flight, and servers are
 * independent of each other, so a slow or partitioned server delays nothing once a majority has
 * answered.
 */
class MajoritySampler {
public:
    /** Replaces the servers; answers of servers that remain are kept. */
    void setServers(const std::vector<ServerName>& servers);

    /**
     * @return a ticket for the current time; requests an answer newer than the ticket from every
     *         server.
     */
    SampleTicket takeTicket();

    /** @return whether a query to the server must be sent to satisfy the newest ticket. */
    bool wantsQuery(const ServerName& server) const;

    /** Records that a status query was sent to the server. */
    void onQuerySent(const ServerName& server);

    /** Records the answer to the query in flight. */
    void onAnswer(const ServerName& server, const machine::ServerStatus& status);

    /** Records that the query in flight will not be answered. */
    void onQueryFailed(const ServerName& server);

    /** @return the answers to queries that were sent after the ticket was taken. */
    std::vector<ServerSample> answersSince(SampleTicket ticket) const;

    std::size_t serverCount() const { return _servers.size(); }
    std::size_t majority() const { return _servers.size() / 2 + 1; }

private:
    struct ServerQueries {
        std::optional<std::uint64_t> inFlight;
        std::uint64_t answeredSequence = 0;
        machine::ServerStatus status;
    };
    std::map<ServerName, ServerQueries> _servers;
    /** Sequence number of the last query sent. */
    std::uint64_t _sequence = 0;
    /** Every server should answer a query with a sequence number greater than this. */
    std::optional<SampleTicket> _demanded;
};

}  // namespace coralhoist::contract
