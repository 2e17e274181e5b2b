/** Follows all objects of one kind: lists them, then waits for changes, and recovers. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "link/store/ObjectProtocol.h"

namespace coralhoist::store {

/** Told what a watch brings. */
class WatchSink {
public:
    virtual ~WatchSink() = default;

    /** All objects of the kind, at one version or a little later. */
    virtual void onList(const std::vector<StoredObject>& objects, const StoreVersion& version) = 0;
    virtual void onEvent(const ObjectEvent& event) = 0;
    /** The store answered, or did not; reported on each change. */
    virtual void onReachable(bool reachable) = 0;
};

/** How long a watch waits. */
struct WatchTiming {
    /** Longest wait of one call for a change. */
    Duration wait = std::chrono::milliseconds(5000);
    /** A call is given up on so long after its wait. */
    Duration slack = std::chrono::milliseconds(700);
    /** Pause after a call that failed; doubled each time up to the longest. */
    Duration firstPause = std::chrono::milliseconds(80);
    Duration longestPause = std::chrono::milliseconds(1600);
    /** Changes that come in quick succession are fetched together: the pause after an answer with
     * changes that came soon after the last; doubled each time up to the longest. */
    Duration firstGather = std::chrono::milliseconds(0);
    Duration longestGather = std::chrono::milliseconds(0);
};

/**
 * A watch tells of changes soon; it proves nothing, for it may stay silent while changes are made.
 * Invariants: the position grows only with changes that were delivered, here or by a list; what the
 * store no longer remembers, and an answer of another era than the position's, lead to a new list;
 * one call runs at a time.
 */
class ObjectWatch {
public:
    /** References outlive the watch. */
    ObjectWatch(std::string kind, socket::HttpCaller& client, const ObjectProtocol& protocol,
                const Clock& clock, RandomSource& random, WatchSink& sink, WatchTiming timing);
    ~ObjectWatch();

    const std::string& kind() const { return _kind; }

    /** Starts calls that are due. */
    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** @return whether the objects have been listed since the start. */
    bool isListed() const { return _position.has_value(); }

    /** @return whether the newest call was answered well. */
    bool isReachable() const { return _reachable; }

    /** @return when the last list of its own was asked for, which showed all objects. */
    TimePoint listedAt() const { return _listedAt; }

    /** @return up to which position all changes were delivered; none before the first list. */
    std::optional<StoreVersion> position() const { return _position; }

    /** The changes up to the position came another way; the next call goes on from there. */
    void resumeFrom(const StoreVersion& position);

    /**
     * Another call was answered and showed all objects at the position. The store answers, so a
     * watch that had failed goes on after its pause.
     * @param missed whether it showed changes that the watch has not delivered: a call that was
     *        asked for before is given up, because its connection may be silent.
     */
    void noteList(const StoreVersion& position, TimePoint askedAt, bool missed);

private:
    void startCall();
    void onAnswer(const socket::HttpAnswer& answer);
    bool takePage(const socket::HttpAnswer& answer);
    void noteReachable();
    void gatherMore(TimePoint now);
    void listAnew(const char* reason);
    bool takeEvents(const socket::HttpAnswer& answer);
    void fail(int status);

    std::string _kind;
    socket::HttpCaller& _client;
    const ObjectProtocol& _protocol;
    const Clock& _clock;
    RandomSource& _random;
    WatchSink& _sink;
    WatchTiming _timing;
    std::shared_ptr<bool> _alive;
    std::optional<StoreVersion> _position;
    bool _running = false;
    /** Number of the call that is waited for; answers to earlier ones are dropped. */
    std::uint64_t _call = 0;
    bool _reachable = true;
    TimePoint _nextCall{};
    Duration _pause{0};
    Duration _gather{0};
    TimePoint _changedAt{};
    TimePoint _listedAt{};
    TimePoint _askedAt{};
    /** Pages of the list that is being read. */
    std::vector<StoredObject> _pages;
    std::string _after;
    std::optional<StoreVersion> _listVersion;
};

}  // namespace coralhoist::store
