/** What a watch does next. Pure: no socket, no timer. */
#pragma once

#include <cstdint>

#include "link/platform/ReconnectPolicy.h"

namespace coralhoist::platform {

/** The next request of a watch. */
struct WatchAction {
    enum class Kind {
        List,   /**< Read the whole collection. */
        Stream, /**< Open the stream of changes after fromVersion. */
    };
    Kind kind = Kind::List;
    std::uint64_t fromVersion = 0;
    /** Time to wait before the request. */
    Duration delay{0};
};

/**
 * Position and recovery of one watch.
 *
 * Invariant: the position never goes back, and it passes a version only when everything up to that
 * version was delivered. So no change is lost over a reconnect and none is delivered twice.
 */
class WatchState {
public:
    /**
     * @param fromVersion version after which changes are wanted; 0 begins with a list.
     * @param policy delays between attempts.
     */
    WatchState(std::uint64_t fromVersion, ReconnectPolicy policy);

    /** @return the first request. */
    WatchAction start() const;

    /**
     * A list was read.
     * @param version of the list.
     * @return whether it may be delivered; false when it is older than what was delivered before.
     */
    bool onListed(std::uint64_t version);

    /**
     * The stream shows a change.
     * @param version of the change.
     * @return whether it is new and to be delivered.
     */
    bool onChange(std::uint64_t version);

    /** The stream shows that everything up to version has been sent. */
    void onBookmark(std::uint64_t version);

    /** @return the request after a list that was delivered. */
    WatchAction afterList() const;

    /** The platform no longer keeps the changes after the position. @return the next request. */
    WatchAction onGone();

    /** List or stream failed, ended or fell silent. @return the next request. */
    WatchAction onInterrupted();

    /** @return everything up to this version was delivered. */
    std::uint64_t version() const { return _version; }

private:
    WatchAction nextAction(Duration delay) const;

    std::uint64_t _version;
    bool _mustList;
    ReconnectPolicy _policy;
};

}  // namespace coralhoist::platform
