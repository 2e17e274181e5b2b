/** Texts about keys for operators, all from the registry. */
#pragma once

#include <string>

#include "settings/KeyDefinition.h"

namespace coralhoist::settings {

/** @return "duration", "integer", "enumeration", "text" or "list". */
std::string typeName(const KeyDefinition& key);

/** @return the permitted values, e.g. "1 to 10000 statements" or "primary, replica". */
std::string describeRange(const KeyDefinition& key);

/** @return the default as an operator writes it; "(empty)" for an empty one. */
std::string describeDefault(const KeyDefinition& key);

/** @return everything about one key as lines of text for a terminal. */
std::string explainKey(const KeyDefinition& key);

/** @return the page docs/SETTINGS.md. */
std::string settingsPage();

}  // namespace coralhoist::settings
