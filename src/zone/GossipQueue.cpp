#include "zone/GossipQueue.h"

#include <algorithm>
#include <bit>

namespace coralhoist::zone {

void GossipQueue::add(const Member& update) {
    const auto held = std::find_if(_pending.begin(), _pending.end(), [&](const Pending& pending) {
        return pending.update.name == update.name;
    });
    if (held != _pending.end()) {
        *held = Pending{update, 0};
        return;
    }
    _pending.push_back(Pending{update, 0});
}

std::vector<Member> GossipQueue::take(std::size_t maximum, std::size_t transmissionLimit) {
    std::vector<Member> taken;
    if (_pending.empty()) {
        return taken;
    }
    const std::size_t count = std::min(maximum, _pending.size());
    std::partial_sort(_pending.begin(), _pending.begin() + static_cast<std::ptrdiff_t>(count),
                      _pending.end(), [](const Pending& left, const Pending& right) {
                          return left.transmissions < right.transmissions;
                      });
    for (std::size_t index = 0; index < count; ++index) {
        taken.push_back(_pending[index].update);
        ++_pending[index].transmissions;
    }
    std::erase_if(_pending, [transmissionLimit](const Pending& pending) {
        return pending.transmissions >= transmissionLimit;
    });
    return taken;
}

std::size_t transmissionLimit(std::size_t factor, std::size_t members) {
    return factor * std::max<std::size_t>(1, std::bit_width(members));
}

}  // namespace coralhoist::zone
