/** Elections of primaries. */
#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "lab/database/Replicator.h"

namespace coralhoist::lab::database {

/**
 * Elects a new primary when a majority of the group has not heard of one for the election timeout.
 *
 * A candidate asks all servers that it is connected with for their votes. With a majority, the most
 * advanced of the voters becomes the primary of a new term: it holds everything that a majority
 * ever received, because two majorities share a server. Each voter accepts nothing from older terms
 * afterwards. A primary that is cut off is not told; it steps down when the new one reaches it.
 */
class Election {
public:
    Election(TimerQueue& timers, const GroupOptions& options, const Servers& servers,
             const Replicator& replicator);
    ~Election();
    Election(const Election&) = delete;
    Election& operator=(const Election&) = delete;

    /** Starts to watch for silence. */
    void start();

    /**
     * Makes a replica the primary of a new term with the votes of its majority.
     * @return whether it got them.
     */
    bool elect(Server& candidate);

private:
    void check();
    bool isSilent(const Server& server) const;
    std::vector<Server*> votersFor(const Server& candidate) const;
    bool isMajority(std::size_t count) const { return count > _servers.size() / 2; }
    void stand(Server& candidate);

    TimerQueue& _timers;
    const GroupOptions& _options;
    const Servers& _servers;
    const Replicator& _replicator;
    std::mt19937_64 _random;
    std::map<ServerName, Duration> _timeouts;
    std::optional<TimerId> _check;
    std::optional<TimerId> _ballot;
};

}  // namespace coralhoist::lab::database
