/** The text form of a database server's address. */
#pragma once

#include <string>
#include <string_view>

#include "base/Status.h"
#include "settings/EffectiveSettings.h"

namespace coralhoist::settings {

/**
 * @param text "name=IP:port@zone"; an IPv6 number stands in brackets.
 * @return the endpoint, or InvalidArgument with a sentence that quotes the text.
 */
StatusWith<ServerEndpoint> parseServerEndpoint(std::string_view text);

/** @return the text that parseServerEndpoint() reads. */
std::string formatServerEndpoint(const ServerEndpoint& server);

}  // namespace coralhoist::settings
