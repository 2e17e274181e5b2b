/** Suspicions that turn into deaths unless refuted. */
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"
#include "zone/MembershipOptions.h"

namespace coralhoist::zone {

/**
 * Timers of suspected members. The more members confirm a suspicion, the sooner it expires.
 */
class SuspicionTimers {
public:
    explicit SuspicionTimers(const MembershipOptions& options) : _options(options) {}

    /**
     * Starts or confirms a suspicion.
     * @param target the suspected member.
     * @param accuser who failed to reach it.
     * @param possibleConfirmations members that could confirm it, besides the first accuser.
     * @return whether the accuser is news worth passing on.
     */
    bool accuse(const NodeName& target, const NodeName& accuser, TimePoint now,
                std::size_t possibleConfirmations);

    /** Ends a suspicion: it was refuted, or the member is dead. */
    void clear(const NodeName& target) { _suspicions.erase(target); }

    /** Moves all expiry times, because this process was paused and could not hear refutations. */
    void postpone(Duration delay);

    /** @return the members whose suspicion has expired; they are forgotten here. */
    std::vector<NodeName> takeExpired(TimePoint now, int factor);

    /** @return the earliest time at which a suspicion may expire. */
    std::optional<TimePoint> nextExpiry() const;

    bool contains(const NodeName& target) const { return _suspicions.contains(target); }

private:
    struct Suspicion {
        TimePoint since;
        std::vector<NodeName> accusers;
        std::size_t neededConfirmations = 0;
    };

    Duration timeout(const Suspicion& suspicion) const;

    const MembershipOptions& _options;
    std::unordered_map<NodeName, Suspicion> _suspicions;
};

}  // namespace coralhoist::zone
