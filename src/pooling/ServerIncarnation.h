/**
 * Names of server incarnations. A server may end and start again under its id. A restarted server
 * has no knowledge of its past, so it is treated as a different server everywhere: its name is its
 * id and its start time, and what was learned under one name is never used under another.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/Identifier.h"

namespace coralhoist::pooling {

/** Separates the id from the start time; no id contains it. */
constexpr char kIncarnationSeparator = '@';

/**
 * @param startedAt distinguishes the incarnations of a server; nothing where the platform does not
 * report it. It is compared only for equality, because clocks of different machines may differ.
 */
ServerName incarnationName(const std::string& id, std::optional<std::int64_t> startedAt);

/** @return whether the name contains a start time. */
bool hasStartTime(const ServerName& server);

/** @return the id of the server, which the server itself and the platform use. */
std::string idOf(const ServerName& server);

}  // namespace coralhoist::pooling
