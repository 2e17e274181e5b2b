/** How the executors of one group divide the capacity of each of its servers among themselves. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "pooling/LoadReport.h"

namespace coralhoist::pooling {

/** The load that one executor has for a group, and the capacity of the group's servers. */
struct OwnLoad {
    /** Slot time that queued and running statements need, by rank. */
    std::vector<Duration> demandByRank;
    /** Number of queued and running statements. */
    std::size_t statements = 0;
    /** Statements that all executors together keep in flight at all servers. */
    double taken = 1;
};

/** The properties of a server that shares depend on. */
struct SharedServer {
    ServerName name;
    std::uint32_t slots = 1;
    /** Statements that all executors together keep in flight at this server. */
    double taken = 1;
    /** Time from sending a statement to its result. */
    Duration latency{0};
    /** Statements that need the primary can't be sent to any other server. */
    bool primary = false;
};

/**
 * Coordinates executors under overload. When several executors have more statements for a group
 * than its servers take, and each executor finds its limit on its own, all of them can reach a
 * server at once. Statements then wait in the server's queue, which knows no ranks, or are refused
 * for lack of room, which costs the statement an attempt and its executor a pause. Statements that
 * are held back in the executors wait where ranks decide their order.
 *
 * An overload begins when an executor has a queue and more than an equal part of what the servers
 * take, or when a server refused one of its statements for lack of room: if all executors together
 * have more than the servers take, at least one of them has more than an equal part. During an
 * overload all executors report to each other the slot time that their statements need, by rank.
 * While the total is more than all servers take at once, each executor limits itself to its share
 * of each server's capacity: the ratio of its demand to the demand of all executors, rank by rank.
 * Shares limit an executor at the primary, because the primary's work can't run elsewhere, and at
 * servers that refused a statement for lack of room. Shares do not limit it at other replicas: the
 * statements of an executor are seldom distributed over the replicas in proportion to its shares,
 * so such limits would leave slots idle. The overload ends when the demand fits the servers.
 *
 * Executors that send no report are assumed to use an equal part. Outside an overload there are no
 * shares and no messages.
 *
 * Executors with the same view have shares that add up to the whole capacity. A share is usually
 * not a whole number of statements; the fraction is served in turns, spaced so that the mean is
 * right, without a shared clock. Whatever its share, an executor may send one statement each
 * kLongestTurn: that uses a few hundredths of one slot, and no statement waits forever because a
 * report is missing.
 *
 * Soft state, bounded by the number of executors. Does no I/O and reads no clock: events and the
 * time are passed in.
 */
class CapacityShares {
public:
    /** How long a report is used. Callers with the strictest objectives wait 200 ms. A report that
     * is one second old is still accurate enough for an overload that lasts seconds, and this age
     * tolerates the loss of two reports. */
    static constexpr Duration kReportAge = std::chrono::seconds(1);
    /** Minimum time between two reports. */
    static constexpr Duration kReportEvery = std::chrono::milliseconds(100);
    /** Time between two reports that are nearly equal: two may be lost before the report expires.
     */
    static constexpr Duration kRepeatEvery = std::chrono::milliseconds(300);
    /** Longest time between two statements of an executor that has something to send. */
    static constexpr Duration kLongestTurn = std::chrono::seconds(1);
    /** Delay from the start of an overload to the start of shares: the other executors' first
     * reports have arrived by then. */
    static constexpr Duration kSettling = std::chrono::milliseconds(150);
    /** An overload ends when there was no sign of it for this time. */
    static constexpr Duration kOverloadEndsAfter = std::chrono::seconds(1);

    /** A statement is queued because no server has room. */
    void noteNoRoom(TimePoint now);

    /** A server refused a statement for lack of room. */
    void noteRefused(const ServerName& server, TimePoint now);

    /**
     * Takes the report of another node.
     * @param executors the group's other executors as this node knows them.
     * @return whether the report was accepted: a report from a node that is not an executor of the
     * group is ignored.
     */
    bool take(const LoadReport& report, const std::vector<NodeName>& executors, TimePoint now);

    /**
     * Updates the group's executors and this executor's own load.
     * @param executors the group's other executors; empty when this node does not execute the
     * group.
     */
    void update(const std::vector<NodeName>& executors, OwnLoad load, TimePoint now);

    /** @return whether this executor or another one reports an overload. */
    bool isOverloaded(TimePoint now) const;

    /** @return whether this executor itself was refused for lack of room, or has a queue and more
     * than an equal part of the work. */
    bool lacksRoom(TimePoint now) const { return now < _lacksRoomUntil; }

    /** @return whether this executor's demand must be reported now; if so, it is recorded as
     * reported. */
    bool takeReportDue(TimePoint now);

    const std::vector<Duration>& demand() const { return _load.demandByRank; }

    /** @return whether shares limit this executor, as of the last update. */
    bool inForce() const { return _inForce; }

    /** @return whether shares limit this executor at the server. */
    bool limits(const SharedServer& server) const;

    /** @return the statements that this executor may have in flight on average; infinite where
     * shares do not limit it. */
    double limitAt(const SharedServer& server, TimePoint now) const;

    /** @return whether one more statement may be sent to the server. */
    bool admits(const SharedServer& server, std::uint32_t inflight, TimePoint now) const;

    /** A statement was sent. @param inflight statements that were in flight before. */
    void noteSent(const SharedServer& server, std::uint32_t inflight, TimePoint now);

    /**
     * @return when the next turn at the server comes, so that the caller can schedule a wake-up;
     * nothing when there is no turn to wait for or a wake-up for it has been returned already.
     */
    std::optional<TimePoint> takeTurnWake(const SharedServer& server, TimePoint now);

    /** @return the number of executors whose reports are still used. */
    std::size_t reportCount(TimePoint now) const;

private:
    struct ReceivedReport {
        std::vector<Duration> demandByRank;
        bool crowded = false;
        TimePoint at{};
    };
    /** The turns of this executor at one server. */
    struct Turns {
        /** When the last turn was due, or when it was used if that was much later. */
        TimePoint last{};
        /** A wake-up is scheduled for this time. */
        TimePoint wakeAt{};
    };

    double knownPart(TimePoint now) const;
    double partOf(std::uint32_t slots, TimePoint now) const;
    Duration intervalOf(const SharedServer& server, double fraction) const;
    bool hasChanged() const;
    std::vector<Duration> demandOfAll(TimePoint now) const;
    bool exceedsServers(TimePoint now);
    bool isFresh(const ReceivedReport& received, TimePoint now) const {
        return now - received.at < kReportAge;
    }

    std::map<NodeName, ReceivedReport> _reports;
    std::size_t _others = 0;
    OwnLoad _load;
    /** Mean slot time of this executor's statements as of the last update that had any. */
    Duration _statementTime = std::chrono::milliseconds(30);
    std::vector<Duration> _lastReported;
    TimePoint _lastReportAt{};
    TimePoint _queuedUntil{};
    TimePoint _lacksRoomUntil{};
    std::optional<TimePoint> _overloadedSince;
    bool _inForce = false;
    std::map<ServerName, Turns> _turns;
    /** Servers that refused a statement of this executor for lack of room during this overload. */
    std::set<ServerName> _refusedBy;
};

}  // namespace coralhoist::pooling
