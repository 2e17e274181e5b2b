#include "settings/KeyRegistry.h"

#include "base/Error.h"
#include "settings/KeyTable.h"
#include "settings/Suggestion.h"

namespace coralhoist::settings {

const KeyRegistry& KeyRegistry::instance() {
    static const KeyRegistry registry;
    return registry;
}

KeyRegistry::KeyRegistry() : _keys(makeKeyTable()) {
    for (const KeyDefinition& key : _keys) {
        _byName.emplace(key.name, &key);
        if (key.applyToGroup != nullptr) {
            key.applyToGroup(key.defaultValue, _defaultGroup);
        }
        if (key.applyToService != nullptr) {
            key.applyToService(key.defaultValue, _defaultService);
        }
    }
}

const KeyDefinition* KeyRegistry::find(std::string_view name) const {
    const auto found = _byName.find(name);
    return found == _byName.end() ? nullptr : found->second;
}

StatusWith<const KeyDefinition*> KeyRegistry::lookUp(std::string_view name) const {
    if (const KeyDefinition* key = find(name)) {
        return key;
    }
    std::vector<std::string> names;
    names.reserve(_keys.size());
    for (const KeyDefinition& key : _keys) {
        names.push_back(key.name);
    }
    return Status(ErrorCode::NotFound,
                  "unknown key '" + std::string(name) + "'" + suggestionFor(name, names));
}

}  // namespace coralhoist::settings
