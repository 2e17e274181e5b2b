/** Suggestions for mistyped names. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coralhoist::settings {

/** @return the name that differs least from the mistyped one, or an empty text when none is near.
 */
std::string nearestName(std::string_view mistyped, const std::vector<std::string>& names);

/** @return "; did you mean 'NAME'?" or an empty text. */
std::string suggestionFor(std::string_view mistyped, const std::vector<std::string>& names);

}  // namespace coralhoist::settings
