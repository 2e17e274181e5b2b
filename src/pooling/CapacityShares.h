/** How the executors of one group share what each of its servers takes. */
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

/** What one executor has to do for a group, and what the group's servers take. */
struct OwnLoad {
    /** Slot time that waiting and running statements need, by rank. */
    std::vector<Duration> demandByRank;
    /** Number of these statements. */
    std::size_t statements = 0;
    /** Statements that all executors together keep in flight at all servers. */
    double taken = 1;
};

/** A server as far as shares depend on it. */
struct SharedServer {
    ServerName name;
    std::uint32_t slots = 1;
    /** Statements that all executors together keep in flight there. */
    double taken = 1;
    /** Time from sending a statement to its result. */
    Duration latency{0};
    /** What needs it can go to no other server. */
    bool primary = false;
};

/**
 * Answers a crowd: several executors have more for a group than its servers take, and a limit that
 * each finds for itself lets all of them meet at a server at once. There they wait in a queue that
 * knows no ranks, or are refused for want of room, which costs a statement an attempt and its
 * executor a pause. What is kept short of the server waits where ranks decide.
 *
 * An executor with a queue and more than an equal part of what the servers take, or one that was
 * refused, begins a crowd: if all together have more than the servers take, one of them has more
 * than an equal part. In a crowd all executors tell each other the slot time that their statements
 * need, by rank. While that is more than all servers take at once, each keeps to its part of what a
 * server takes: as much as its demand is of the demand of all, rank by rank. Parts bind at the
 * primary, whose work can go nowhere else, and where a server refused; a part of a replica is
 * seldom where its work is, and would leave slots idle. The crowd ends when the demand fits.
 *
 * Executors that tell nothing are taken for ones with an equal part. Outside a crowd there are no
 * shares and no messages.
 *
 * Executors with the same view have parts whose sum is the whole. A part is no whole number of
 * statements; the fraction is served in turns whose distance makes the mean right, with no clock in
 * common. Whatever its part, an executor may send one statement each kLongestTurn: a few hundredths
 * of one slot, and nobody waits for ever for want of a report.
 *
 * Soft state, bounded by the number of executors. Pure: it takes events and the time.
 */
class CapacityShares {
public:
    /** A report counts for so long. Callers of the strictest objectives wait 200 ms: a second of
     * old news is what a crowd of seconds can bear, and outlives two lost reports. */
    static constexpr Duration kReportAge = std::chrono::seconds(1);
    /** Least time between two reports. */
    static constexpr Duration kReportEvery = std::chrono::milliseconds(100);
    /** Time between two reports that say nearly the same: two may be lost before they are missed.
     */
    static constexpr Duration kRepeatEvery = std::chrono::milliseconds(300);
    /** Longest time between two statements of an executor that has something to send. */
    static constexpr Duration kLongestTurn = std::chrono::seconds(1);
    /** Shares begin so long after the crowd: the others' first reports have come by then. */
    static constexpr Duration kSettling = std::chrono::milliseconds(150);
    /** A crowd is over when there was no sign of it for so long. */
    static constexpr Duration kCrowdEndsAfter = std::chrono::seconds(1);

    /** A statement waits because no server has room. */
    void noteNoRoom(TimePoint now);

    /** A server refused a statement for want of room. */
    void noteRefused(const ServerName& server, TimePoint now);

    /**
     * Takes what another node tells.
     * @param executors the group's other executors as this node knows them.
     * @return whether it was taken: a sender that is none of them is not believed.
     */
    bool take(const LoadReport& report, const std::vector<NodeName>& executors, TimePoint now);

    /**
     * Takes the executors and this one's own load.
     * @param executors the group's other executors; none when this node executes nothing of it.
     */
    void update(const std::vector<NodeName>& executors, OwnLoad load, TimePoint now);

    /** @return whether this executor or another one lacks room. */
    bool isCrowded(TimePoint now) const;

    /** @return whether this executor itself was refused for want of room, or has a queue and more
     * than an equal part to do. */
    bool lacksRoom(TimePoint now) const { return now < _lacksRoomUntil; }

    /** @return whether the own demand is to be told now; it is taken for told. */
    bool takeTelling(TimePoint now);

    const std::vector<Duration>& demand() const { return _load.demandByRank; }

    /** @return whether shares bind this executor, as of the last update. */
    bool inForce() const { return _inForce; }

    /** @return whether shares bind this executor at the server. */
    bool binds(const SharedServer& server) const;

    /** @return the statements that this executor may have in flight on average; infinite where
     * shares do not bind. */
    double boundAt(const SharedServer& server, TimePoint now) const;

    /** @return whether one more statement may be sent to the server. */
    bool admits(const SharedServer& server, std::uint32_t inflight, TimePoint now) const;

    /** A statement was sent. @param inflight statements that were in flight before. */
    void noteSent(const SharedServer& server, std::uint32_t inflight, TimePoint now);

    /**
     * @return when the next turn at the server comes, for one that waits for it; nothing when no
     * turn is due or somebody has been told of it.
     */
    std::optional<TimePoint> takeTurnWake(const SharedServer& server, TimePoint now);

    /** @return executors whose reports count. */
    std::size_t heardCount(TimePoint now) const;

private:
    struct Heard {
        std::vector<Duration> demandByRank;
        bool crowded = false;
        TimePoint at{};
    };
    /** Turns at one server. */
    struct Turns {
        /** When the last one was due, or used if that was much later. */
        TimePoint last{};
        /** Somebody will look then. */
        TimePoint wakeAt{};
    };

    double knownPart(TimePoint now) const;
    double partOf(std::uint32_t slots, TimePoint now) const;
    Duration intervalOf(const SharedServer& server, double fraction) const;
    bool hasChanged() const;
    std::vector<Duration> demandOfAll(TimePoint now) const;
    bool exceedsServers(TimePoint now);
    bool isFresh(const Heard& heard, TimePoint now) const { return now - heard.at < kReportAge; }

    std::map<NodeName, Heard> _heard;
    std::size_t _others = 0;
    OwnLoad _load;
    /** Mean slot time of the own statements, when there were any. */
    Duration _statementTime = std::chrono::milliseconds(30);
    std::vector<Duration> _told;
    TimePoint _toldAt{};
    TimePoint _queuedUntil{};
    TimePoint _lacksRoomUntil{};
    std::optional<TimePoint> _crowdedSince;
    bool _inForce = false;
    std::map<ServerName, Turns> _turns;
    /** Servers that refused this executor for want of room in this crowd. */
    std::set<ServerName> _refusedBy;
};

}  // namespace coralhoist::pooling
