/** Confirms with linearizable calls that the settings of this node are the newest. */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"

namespace coralhoist::cluster {

/** What a confirmation is made of. All outlive it. */
struct ConfirmationDependencies {
    const Clock& clock;
    RandomSource& random;
    socket::HttpCaller& storeClient;
    const store::ObjectProtocol& protocol;
    /** Told of the objects, the version of the store and the time of the call that showed them. */
    std::function<void(const std::vector<store::StoredObject>&, std::uint64_t, TimePoint)> onList;
};

/**
 * Lists the settings when what is known of them has not been confirmed for a while. A watch is no
 * confirmation: it may stay silent while changes are made, until its history is cut off. One call
 * runs at a time; a store that does not answer is asked less and less often.
 */
class SettingsConfirmation {
public:
    SettingsConfirmation(std::string kind, ConfirmationDependencies dependencies);

    /**
     * Asks when it is due.
     * @param confirmedAt up to when the settings are known.
     * @param isFed other nodes confirm them, too: this one asks only when they are late.
     */
    void onTick(TimePoint now, TimePoint confirmedAt, bool isFed);
    TimePoint nextTick(TimePoint confirmedAt, bool isFed) const;

private:
    void call(TimePoint now);
    void onAnswer(const socket::HttpAnswer& answer);
    TimePoint dueAt(TimePoint confirmedAt, bool isFed) const;

    std::string _kind;
    ConfirmationDependencies _dependencies;
    std::shared_ptr<bool> _alive;
    /** This node's part of the time over which late nodes ask. */
    Duration _spread;
    bool _running = false;
    TimePoint _askedAt{};
    TimePoint _nextCall{};
    Duration _pause{0};
};

}  // namespace coralhoist::cluster
