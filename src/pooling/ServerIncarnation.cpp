#include "pooling/ServerIncarnation.h"

namespace coralhoist::pooling {

ServerName incarnationName(const std::string& id, std::optional<std::int64_t> startedAt) {
    return startedAt ? ServerName(id + kIncarnationSeparator + std::to_string(*startedAt))
                     : ServerName(id);
}

bool hasStartTime(const ServerName& server) {
    return server.value().find(kIncarnationSeparator) != std::string::npos;
}

std::string idOf(const ServerName& server) {
    return server.value().substr(0, server.value().find(kIncarnationSeparator));
}

}  // namespace coralhoist::pooling
