/** A scripted forwarder for units that a pooler forwards to other nodes. */
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "pooling/UnitForwarding.h"

namespace coralhoist::pooling {

/** Records forwarded units; the test delivers the events itself. */
class ScriptedForwarder final : public UnitForwarder {
public:
    struct Sent {
        UnitId unit;
        NodeName node;
        std::optional<UnitOpening> opening;
        UnitStatement statement;
    };

    bool canReach(const NodeName& node) const override { return !unreachable.contains(node); }
    void open(UnitId unit, const NodeName& node, const UnitOpening& opening,
              const UnitStatement& statement) override {
        sent.push_back({unit, node, opening, statement});
    }
    void submit(UnitId unit, const UnitStatement& statement) override {
        sent.push_back({unit, sent.back().node, std::nullopt, statement});
    }
    void end(UnitId unit) override { ended.push_back(unit); }

    std::vector<Sent> sent;
    std::vector<UnitId> ended;
    std::set<NodeName> unreachable;
};

}  // namespace coralhoist::pooling
