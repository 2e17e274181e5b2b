#include "link/caller/ParameterReport.h"

#include <array>

#include "link/caller/SessionToken.h"
#include "link/pgwire/BackendMessageWriter.h"

namespace coralhoist::caller {
namespace {

constexpr const char* kTokenParameter = "coralhoist.session_token";

/** A parameter that PostgreSQL reports when it changes. */
struct ReportedParameter {
    /** As drivers expect it. */
    const char* name;
    /** As in SessionParameters. */
    const char* key;
    /** Reported while the session has set no value: PostgreSQL's own default. */
    const char* defaultValue;
};

constexpr std::array kReportedParameters = {
    ReportedParameter{"application_name", "application_name", ""},
    ReportedParameter{"client_encoding", "client_encoding", "UTF8"},
    ReportedParameter{"DateStyle", "datestyle", "ISO, MDY"},
    ReportedParameter{"IntervalStyle", "intervalstyle", "postgres"},
    ReportedParameter{"TimeZone", "timezone", "UTC"},
    ReportedParameter{"standard_conforming_strings", "standard_conforming_strings", "on"},
};

}  // namespace

std::string ParameterReport::report(const std::string& name, const std::string& value) {
    const auto known = _reported.find(name);
    if (known != _reported.end() && known->second == value) {
        return {};
    }
    _reported[name] = value;
    pgwire::BackendMessageWriter writer;
    writer.parameterStatus(name, value);
    return writer.take();
}

std::string ParameterReport::initial(const CallerContext& context, const SessionState& state) {
    pgwire::BackendMessageWriter writer;
    writer.parameterStatus("server_version", context.serverVersion);
    writer.parameterStatus("server_encoding", "UTF8");
    writer.parameterStatus("integer_datetimes", "on");
    writer.parameterStatus("is_superuser", "off");
    writer.parameterStatus("session_authorization", state.user);
    writer.parameterStatus("default_transaction_read_only", "off");
    writer.parameterStatus("in_hot_standby", "off");
    return writer.take() + changes(state);
}

std::string ParameterReport::changes(const SessionState& state) {
    std::string messages;
    for (const ReportedParameter& parameter : kReportedParameters) {
        messages += report(parameter.name,
                           state.parameters.value(parameter.key).value_or(parameter.defaultValue));
    }
    return messages;
}

std::string ParameterReport::tokenChange(const SessionState& state) {
    if (!state.token) {
        return {};
    }
    return report(kTokenParameter, SessionToken{state.group, *state.token}.toText());
}

}  // namespace coralhoist::caller
