/** Chooses among nodes that may be asked, with a backoff for nodes that failed. */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Remembers which nodes did not respond. */
class SourceChoice {
public:
    /** @param random outlives this object. */
    explicit SourceChoice(RandomSource& random) : _random(random) {}

    /** @return the first candidate that is not in backoff and can be reached. */
    std::optional<NodeName> choose(const std::vector<NodeName>& candidates,
                                   const std::function<bool(const NodeName&)>& canReach,
                                   TimePoint now) const;

    /** The node failed: it is not asked for a time that doubles with each failure in a row. */
    void passOver(const NodeName& node, TimePoint now);

    /** The node returned a usable response. */
    void noteSuccess(const NodeName& node) { _passedOver.erase(node); }

private:
    struct PassedOver {
        TimePoint until{};
        Duration pause{0};
    };

    RandomSource& _random;
    std::map<NodeName, PassedOver> _passedOver;
};

}  // namespace coralhoist::pooling
