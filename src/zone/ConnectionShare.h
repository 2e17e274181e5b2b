/** How many connections an owner of a group may hold to each of its servers. */
#pragma once

#include <chrono>
#include <cstdint>

#include "base/Time.h"
#include "settings/EffectiveSettings.h"
#include "zone/Placement.h"

namespace coralhoist::zone {

/**
 * Splits a server's connections among the owners of its group. The shares of all owners of one view
 * never sum above connectionsPerServer.
 * @param settings of the group.
 * @param placement where the group is served.
 * @param node the owner whose share is asked for.
 * @return connections to each server; 0 for a node that is no owner.
 */
std::uint32_t connectionShare(const settings::GroupSettings& settings,
                              const GroupPlacement& placement, const NodeName& node);

/** Tunables of ShareAllowance. */
struct ShareAllowanceOptions {
    /** Time after a view change during which other owners may not have shrunk yet. */
    Duration growthDelay = std::chrono::seconds(5);
    /** Connections that a new owner may open before the delay is over, to serve at once. */
    std::uint32_t startingConnections = 2;
    /** First pause of growth after a server refused a connection as one too many. */
    Duration refusalBackoff = std::chrono::milliseconds(500);
    /** Longest pause of growth after repeated refusals. */
    Duration refusalBackoffMaximum = std::chrono::seconds(30);
};

/**
 * @return options for an owner of a group. A new owner may at once open as many connections as a
 *         server executes statements, and one for its status: with less it could not serve, and its
 *         predecessor does not need more either.
 */
ShareAllowanceOptions allowanceOptions(const settings::GroupSettings& settings);

/**
 * The share that an owner may use now. A loss of share holds at once; a gain only after a delay,
 * because the owners that lose it may not have noticed. While views differ for longer, the
 * server's own refusal (SQLSTATE 53300) is the limit, and growth pauses with a jittered back-off.
 */
class ShareAllowance {
public:
    ShareAllowance(const ShareAllowanceOptions& options, RandomSource& random)
        : _options(options), _random(random) {}

    /** The current view gives this node another share. */
    void setShare(std::uint32_t share, TimePoint now);

    /**
     * A server refused a connection because it has too many.
     * @param open connections that this node holds to that server.
     */
    void onRefused(std::uint32_t open, TimePoint now);

    /** @return the connections to each server that this node may hold now. */
    std::uint32_t allowance(TimePoint now);

private:
    ShareAllowanceOptions _options;
    RandomSource& _random;
    std::uint32_t _share = 0;
    std::uint32_t _granted = 0;
    TimePoint _growAt;
    TimePoint _lastRefusal;
    Duration _backoff{0};
};

}  // namespace coralhoist::zone
