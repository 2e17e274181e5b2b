/** Decides from status samples and failures which server of a database group leads it. */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"
#include "machine/ServerStatus.h"

namespace coralhoist::machine {

/** How a server failed to answer. */
enum class FailureSignal { None, Refused, Reset, Timeout };

/** @return a word for operators; empty for None. */
const char* describe(FailureSignal signal);

/** What is known about one server. */
struct ServerView {
    std::optional<ServerStatus> status;
    /** Signal since the last answer; None while the server answers. */
    FailureSignal failure = FailureSignal::None;
    bool leaving = false;

    bool isHealthy() const { return status && failure == FailureSignal::None; }
};

/** A server that a majority of the group follows. */
struct ConfirmedPrimary {
    ServerName server;
    Term term = 0;

    bool operator==(const ConfirmedPrimary&) const = default;
};

/**
 * The newest confirmed primary of one group.
 *
 * Invariants: a primary is confirmed only while a majority of the group's servers has reported its
 * term, and the confirmed term never decreases. This choice only directs statements; whether a
 * write counts is decided by the acknowledgement sample, so a wrong choice costs time and no
 * promise.
 */
class GroupTopology {
public:
    /** @param patience time for which a newer term without a majority suspends the older primary.
     */
    explicit GroupTopology(Duration patience) : _patience(patience) {}

    /** Replaces the members; what is known about those that stay is kept. */
    void setServers(const std::vector<ServerName>& servers, const std::vector<ServerName>& leaving);

    /** @param status answer of a server; one of an older term than already known is ignored. */
    void onStatus(const ServerName& server, const ServerStatus& status, TimePoint now);

    /** A server did not answer or broke a connection. */
    void onFailure(const ServerName& server, FailureSignal signal);

    /** Someone has seen this term: the older primary is suspended until the term is confirmed. */
    void onTermSeen(Term term, TimePoint now);

    /**
     * @return the confirmed primary, whether it answers or not; nothing while a newer term waits
     * for its majority.
     */
    std::optional<ConfirmedPrimary> primary(TimePoint now) const;

    /** @return the primary when it takes new work: it answers and is not leaving. */
    std::optional<ConfirmedPrimary> usablePrimary(TimePoint now) const;

    /** @return the newest confirmed term; 0 before the first. */
    Term confirmedTerm() const { return _confirmed ? _confirmed->term : 0; }

    /** @return whether a majority has reported a term above the given one. */
    bool isReplaced(Term term) const;

    const std::map<ServerName, ServerView>& servers() const { return _servers; }

    /** @return the view of a server; nothing when it is no member. */
    const ServerView* find(const ServerName& server) const;

    /** @return how many servers are a majority. */
    std::size_t majority() const { return _servers.size() / 2 + 1; }

private:
    void confirm();

    Duration _patience;
    std::map<ServerName, ServerView> _servers;
    std::optional<ConfirmedPrimary> _confirmed;
    Term _newestTerm = 0;
    TimePoint _newestTermSeenAt{};
};

}  // namespace coralhoist::machine
