#include "pooling/Statement.h"

#include <functional>

namespace coralhoist::pooling {

const char* describe(StatementFault fault) {
    switch (fault) {
        case StatementFault::Busy:
            return "busy";
        case StatementFault::Aborted:
            return "aborted";
        case StatementFault::Lagging:
            return "lagging";
        case StatementFault::ReadOnly:
            return "read_only";
        case StatementFault::WrongServer:
            return "wrong_server";
        case StatementFault::ConnectionLimit:
            return "connection_limit";
        case StatementFault::Failed:
            return "failed";
        case StatementFault::UnknownName:
            return "unknown_name";
        case StatementFault::Timeout:
            return "timeout";
        case StatementFault::Unauthorized:
            return "unauthorized";
        case StatementFault::UnknownDatabase:
            return "unknown_database";
        case StatementFault::TooLarge:
            return "too_large";
        case StatementFault::Malformed:
            return "malformed";
        case StatementFault::InDoubt:
            return "in_doubt";
    }
    return "unknown";
}

bool provesNotRun(StatementFault fault) {
    return fault != StatementFault::Failed && fault != StatementFault::Timeout &&
           fault != StatementFault::InDoubt;
}

std::size_t contentHash(const Statement& statement) {
    const std::string content = std::to_string(static_cast<int>(statement.verb)) + ' ' +
                                statement.text + ' ' + statement.name + ' ' + statement.argument;
    return std::hash<std::string>()(content);
}

StatementError notRun(const std::string& reason, Duration retryAfter) {
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return {StatementFault::Busy,
            "not run (" + reason + "); come back in " + std::to_string(pause) + " ms", retryAfter};
}

}  // namespace coralhoist::pooling
