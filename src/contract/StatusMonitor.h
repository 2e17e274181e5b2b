/**
 * Keeps a status connection to every server of a group and polls the server's status when needed.
 */
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/BackendConnector.h"
#include "contract/ExecutorKnobs.h"
#include "contract/MajoritySampler.h"
#include "machine/GroupTopology.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::contract {

/**
 * Health check with one status connection per server. A query is sent when the sampler requests one
 * or the status interval has passed. When a query is not answered in time, its connection is closed
 * and the server counts as failed until it answers again.
 */
class StatusMonitor {
public:
    /** The referenced objects must outlive the monitor. */
    StatusMonitor(BackendConnector& connector, RandomSource& random, const ExecutorKnobs& knobs,
                  machine::GroupTopology& topology, MajoritySampler& sampler);

    /** @param active whether status connections are kept at all. */
    void configure(const settings::GroupSettings& settings, bool active);

    /** @return whether the connection belongs to the monitor. */
    bool owns(ConnectionId connection) const { return _owners.contains(connection); }

    void onOpened(ConnectionId connection, TimePoint now);
    void onOpenFailed(ConnectionId connection, TimePoint now);
    void onCommandEnded(ConnectionId connection, const CommandOutcome& outcome, TimePoint now);
    void onProgramEnded(ConnectionId connection, TimePoint now);
    void onLost(ConnectionId connection, TimePoint now);

    /** @param searching whether to poll frequently because a new primary is awaited. */
    void setSearching(bool searching) { _searching = searching; }

    /**
     * Opens connections, sends queries that are due, and abandons queries that exceed their
     * timeout.
     */
    void pump(TimePoint now);

    /** @return when pump must be called next. */
    std::optional<TimePoint> nextTick() const;

    /** @return whether an answer or failure has arrived since the last call. */
    bool consumeUpdate();

    /** @return whether the server is expected to answer soon. */
    bool isAnswering(const ServerName& server) const;

    std::uint64_t queriesSent() const { return _queriesSent; }

    /** @return the number of connections that are open or being opened. */
    std::size_t connectionCount() const { return _owners.size(); }

private:
    enum class LinkState { Closed, Opening, Idle, Querying };
    struct Link {
        LinkState state = LinkState::Closed;
        std::optional<ConnectionId> connection;
        /** Time when the state was entered, or when the last query was sent. */
        TimePoint since{};
        TimePoint nextAttempt{};
        TimePoint lastQuery{};
        Duration backoff{0};
    };

    Link* linkOf(ConnectionId connection);
    void pumpLink(const ServerName& server, Link& link, TimePoint now);
    void sendQuery(const ServerName& server, Link& link, TimePoint now);
    void fail(const ServerName& server, Link& link, machine::FailureSignal signal, TimePoint now);
    TimePoint dueTime(const ServerName& server, const Link& link) const;

    BackendConnector& _connector;
    RandomSource& _random;
    const ExecutorKnobs& _knobs;
    machine::GroupTopology& _topology;
    MajoritySampler& _sampler;
    std::string _statusQuery;
    Duration _interval{0};
    Duration _timeout{0};
    bool _active = false;
    bool _updated = false;
    bool _searching = false;
    std::uint64_t _queriesSent = 0;
    std::map<ServerName, Link> _links;
    std::unordered_map<ConnectionId, ServerName> _owners;
};

}  // namespace coralhoist::contract
