#include "link/backend/ConnectError.h"

#include <regex>

namespace coralhoist::backend {

ConnectError parseConnectError(const std::string& text) {
    // libpq puts two spaces after the severity and one after the SQLSTATE.
    const std::regex pattern(R"(:  ([0-9A-Z]{5}): ([^\n]*))");
    std::smatch match;
    if (!std::regex_search(text, match, pattern)) {
        return {.sqlState = {}, .message = text.substr(0, text.find_last_not_of('\n') + 1)};
    }
    return {.sqlState = match[1].str(), .message = match[2].str()};
}

}  // namespace coralhoist::backend
