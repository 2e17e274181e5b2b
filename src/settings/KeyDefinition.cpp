#include "settings/KeyDefinition.h"

namespace coralhoist::settings {

bool LevelSet::contains(SettingsLevel level) const {
    switch (level) {
        case SettingsLevel::Estate:
            return estate;
        case SettingsLevel::Group:
            return group;
        case SettingsLevel::Service:
            return service;
    }
    return false;
}

std::string LevelSet::text() const {
    std::string names;
    for (const SettingsLevel level :
         {SettingsLevel::Estate, SettingsLevel::Group, SettingsLevel::Service}) {
        if (contains(level)) {
            names += (names.empty() ? "" : ", ") + std::string(levelName(level));
        }
    }
    return names;
}

}  // namespace coralhoist::settings
