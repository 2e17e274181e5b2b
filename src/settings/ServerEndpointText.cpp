#include "settings/ServerEndpointText.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

#include "base/Error.h"
#include "settings/NodePath.h"

namespace coralhoist::settings {
namespace {

Status malformed(std::string_view text, const std::string& reason) {
    return {ErrorCode::InvalidArgument,
            "server '" + std::string(text) + "' is not of the form name=IP:port@zone: " + reason};
}

bool isAddress(int family, const std::string& host) {
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, host.c_str(), address.data()) == 1;
}

bool isBracketed(std::string_view host) {
    return host.size() > 2 && host.front() == '[' && host.back() == ']';
}

/** Reads "IP:port". */
Status readAddress(std::string_view address, ServerEndpoint& server) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return {ErrorCode::InvalidArgument, "the port is missing"};
    }
    const std::string_view host = address.substr(0, colon);
    const bool bracketed = isBracketed(host);
    server.host = std::string(bracketed ? host.substr(1, host.size() - 2) : host);
    if (!isAddress(bracketed ? AF_INET6 : AF_INET, server.host)) {
        return {ErrorCode::InvalidArgument, "'" + std::string(host) + "' is not an IP number"};
    }
    const std::string_view port = address.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), server.port);
    if (error != std::errc() || end != port.data() + port.size() || server.port == 0) {
        return {ErrorCode::InvalidArgument, "'" + std::string(port) + "' is not a port"};
    }
    return Status::ok();
}

}  // namespace

StatusWith<ServerEndpoint> parseServerEndpoint(std::string_view text) {
    const std::size_t equals = text.find('=');
    const std::size_t at = text.rfind('@');
    if (equals == std::string_view::npos || at == std::string_view::npos || at < equals) {
        return malformed(text, "'=' or '@' is missing");
    }
    const std::string_view name = text.substr(0, equals);
    const std::string_view zone = text.substr(at + 1);
    ServerEndpoint server;
    for (const Status& status : {checkName(name, "server name"), checkName(zone, "zone name"),
                                 readAddress(text.substr(equals + 1, at - equals - 1), server)}) {
        if (!status.isOk()) {
            return malformed(text, status.message());
        }
    }
    server.name = ServerName(std::string(name));
    server.zone = ZoneName(std::string(zone));
    return server;
}

std::string formatServerEndpoint(const ServerEndpoint& server) {
    const bool bracketed = server.host.find(':') != std::string::npos;
    const std::string host = bracketed ? "[" + server.host + "]" : server.host;
    return server.name.value() + "=" + host + ":" + std::to_string(server.port) + "@" +
           server.zone.value();
}

}  // namespace coralhoist::settings
