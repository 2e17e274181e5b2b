/** The one place that knows every settings key. */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/Status.h"
#include "settings/KeyDefinition.h"

namespace coralhoist::settings {

/**
 * All keys. Validation of documents, `settings explain`, the table of docs/SETTINGS.md and the
 * filling of GroupSettings and ServiceSettings come from here, so that they can't disagree.
 */
class KeyRegistry {
public:
    /** @return the registry of this program; immutable, usable from any thread. */
    static const KeyRegistry& instance();

    /** @return all keys in the order of the documentation. */
    const std::vector<KeyDefinition>& keys() const { return _keys; }

    /** @return the key, or null. */
    const KeyDefinition* find(std::string_view name) const;

    /** @return the key, or NotFound with a sentence that suggests the nearest name. */
    StatusWith<const KeyDefinition*> lookUp(std::string_view name) const;

    /** @return settings of a group where nothing is set: every field has its key's default. */
    const GroupSettings& defaultGroup() const { return _defaultGroup; }

    /** @return settings of a service where nothing is set. */
    const ServiceSettings& defaultService() const { return _defaultService; }

private:
    KeyRegistry();

    std::vector<KeyDefinition> _keys;
    std::map<std::string, const KeyDefinition*, std::less<>> _byName;
    GroupSettings _defaultGroup;
    ServiceSettings _defaultService;
};

}  // namespace coralhoist::settings
