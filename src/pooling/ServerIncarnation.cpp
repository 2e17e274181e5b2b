#include "pooling/ServerIncarnation.h"

namespace coralhoist::pooling {

ServerName nameOfLife(const std::string& id, std::optional<std::int64_t> startedAt) {
    return startedAt ? ServerName(id + kLifeSeparator + std::to_string(*startedAt))
                     : ServerName(id);
}

bool tellsStart(const ServerName& server) {
    return server.value().find(kLifeSeparator) != std::string::npos;
}

std::string idOf(const ServerName& server) {
    return server.value().substr(0, server.value().find(kLifeSeparator));
}

}  // namespace coralhoist::pooling
