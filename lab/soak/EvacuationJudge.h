/** Judges from what servers see whether evacuated zones are empty in time. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::soak {

/**
 * A zone must be empty from a bound after its evacuation was acknowledged. Where the store was away
 * by then, the bound begins anew when it is back; a zone that had to be empty stays so whatever
 * becomes of the store, until the operator takes its evacuation back.
 */
class EvacuationJudge {
public:
    explicit EvacuationJudge(Duration bound) : _bound(bound) {}

    /** The store has acknowledged the evacuation, or its end. */
    void onAsked(const ZoneName& zone, TimePoint now);
    void onTakenBack(const ZoneName& zone, TimePoint now);

    /** The store went away, or is back. */
    void onStoreAway(bool away, TimePoint now);

    /** A caller's statement has reached a server of the zone. */
    void onStatement(const ZoneName& zone, TimePoint now);

    /** @return statements that came while a zone had to be empty: how many, and the latest. */
    std::vector<std::string> violations() const;
    /** @return zones that had to be empty for some time, each evacuation counted once. */
    std::size_t judged() const { return _judged; }

private:
    struct Asked {
        /** From then on the zone must be empty; none while the store is away before that. */
        std::optional<TimePoint> emptyFrom;
        std::size_t late = 0;
        Duration latest{0};
    };

    static bool mustBeEmpty(const Asked& asked, TimePoint now) {
        return asked.emptyFrom && now > *asked.emptyFrom;
    }
    void close(const ZoneName& zone, const Asked& asked, TimePoint now);

    Duration _bound;
    bool _away = false;
    std::map<ZoneName, Asked> _asked;
    std::vector<std::string> _violations;
    std::size_t _judged = 0;
};

}  // namespace coralhoist::soak
