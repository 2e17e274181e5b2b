#include "settings/ChangeHistory.h"

#include <algorithm>
#include <utility>

namespace coralhoist::settings {

bool isAtOrBelow(std::string_view path, std::string_view ancestor) {
    if (!path.starts_with(ancestor)) {
        return false;
    }
    return ancestor.empty() || path.size() == ancestor.size() || path[ancestor.size()] == '/';
}

void ChangeHistory::add(SettingsChange change) {
    _changes.push_front(std::move(change));
    if (_changes.size() > _capacity) {
        _changes.pop_back();
    }
}

std::vector<SettingsChange> ChangeHistory::latest(std::string_view pathPrefix,
                                                  std::size_t limit) const {
    std::vector<SettingsChange> found;
    for (const SettingsChange& change : _changes) {
        if (found.size() == limit) {
            break;
        }
        if (isAtOrBelow(change.record.path, pathPrefix)) {
            found.push_back(change);
        }
    }
    return found;
}

std::optional<SettingsChange> ChangeHistory::findOperation(std::string_view operationId) const {
    const auto found =
        std::find_if(_changes.begin(), _changes.end(), [operationId](const SettingsChange& change) {
            return change.record.operationId == operationId;
        });
    return found == _changes.end() ? std::nullopt : std::optional(*found);
}

}  // namespace coralhoist::settings
