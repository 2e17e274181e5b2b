/** Read access to the settings in force. */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "base/Identifier.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::settings {

/** An immutable view of the whole tree at one moment; shared between threads. */
class SettingsView {
public:
    virtual ~SettingsView() = default;

    /** @return the settings of a group, or nothing when the tree has no such group. */
    virtual std::optional<GroupSettings> group(const GroupName& group) const = 0;

    /**
     * @return the settings of a service: of its own node when it has one, else those it inherits
     * from the group. Nothing when the tree has no such group.
     */
    virtual std::optional<ServiceSettings> service(const GroupName& group,
                                                   const ServiceName& service) const = 0;

    /** @return all groups of the tree, in name order. */
    virtual std::vector<GroupName> groups() const = 0;
};

using SettingsViewPointer = std::shared_ptr<const SettingsView>;

}  // namespace coralhoist::settings
