/** The list of all settings keys; KeyRegistry is the access to it. */
#pragma once

#include <vector>

#include "settings/KeyDefinition.h"

namespace coralhoist::settings {

/** @return every key, in the order of the documentation. */
std::vector<KeyDefinition> makeKeyTable();

}  // namespace coralhoist::settings
