/** ParameterStatus messages: tells the caller which parameters have changed. */
#pragma once

#include <map>
#include <string>

#include "link/caller/CallerContext.h"
#include "link/caller/SessionState.h"

namespace coralhoist::caller {

/** Remembers what the caller was told, so that only changes are reported. */
class ParameterReport {
public:
    /** @return the messages of the start-up phase. */
    std::string initial(const CallerContext& context, const SessionState& state);

    /** @return messages for parameters that differ from what was reported last. */
    std::string changes(const SessionState& state);

    /** @return a message for the session token if it differs from what was reported last. */
    std::string tokenChange(const SessionState& state);

private:
    std::string report(const std::string& name, const std::string& value);

    std::map<std::string, std::string> _reported;
};

}  // namespace coralhoist::caller
