#include "pooling/OwnCommitFloors.h"

#include <algorithm>

namespace coralhoist::pooling {

void OwnCommitFloors::raise(const GroupName& group, OpTime position) {
    if (position.term == 0) {
        return;
    }
    const auto known = std::find_if(_floors.begin(), _floors.end(),
                                    [&group](const Floor& floor) { return floor.group == group; });
    if (known != _floors.end()) {
        known->position = std::max(known->position, position);
        std::rotate(known, known + 1, _floors.end());
        return;
    }
    if (_floors.size() == kMaximumGroups) {
        _floors.erase(_floors.begin());
        _dropped = true;
    }
    _floors.push_back({group, position});
}

OpTime OwnCommitFloors::floorOf(const GroupName& group) const {
    const auto known = std::find_if(_floors.begin(), _floors.end(),
                                    [&group](const Floor& floor) { return floor.group == group; });
    return known == _floors.end() ? OpTime{} : known->position;
}

bool OwnCommitFloors::mayLackCommits(const GroupName& group) const {
    return _dropped && floorOf(group).term == 0;
}

}  // namespace coralhoist::pooling
