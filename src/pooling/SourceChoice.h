/** Choice among nodes that may be asked, and how long one that failed is left alone. */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "base/Time.h"

namespace coralhoist::pooling {

/** Remembers which nodes gave no answer. */
class SourceChoice {
public:
    /** @param random outlives the choice. */
    explicit SourceChoice(RandomSource& random) : _random(random) {}

    /** @return the first candidate that is not passed over and can be reached. */
    std::optional<NodeName> choose(const std::vector<NodeName>& candidates,
                                   const std::function<bool(const NodeName&)>& canReach,
                                   TimePoint now) const;

    /** The node failed: it is left alone for a time that doubles with each failure in a row. */
    void passOver(const NodeName& node, TimePoint now);

    /** The node answered well. */
    void noteGood(const NodeName& node) { _passedOver.erase(node); }

private:
    struct PassedOver {
        TimePoint until{};
        Duration pause{0};
    };

    RandomSource& _random;
    std::map<NodeName, PassedOver> _passedOver;
};

}  // namespace coralhoist::pooling
