/**
 * Names of servers that may end and start again under their id. A server that has started again
 * knows nothing of before, so everywhere in the product it is another server: its name is its id
 * and the moment of its start, and what was learnt under one name is never used under another.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/Identifier.h"

namespace coralhoist::pooling {

/** Between the id and the start; no id contains it. */
constexpr char kLifeSeparator = '@';

/**
 * @param startedAt tells the lives of a server apart; nothing where the platform does not tell it.
 *        Only its equality counts: clocks of different machines may differ.
 */
ServerName nameOfLife(const std::string& id, std::optional<std::int64_t> startedAt);

/** @return whether the name tells a start. */
bool tellsStart(const ServerName& server);

/** @return the id by which the server itself and the platform know it. */
std::string idOf(const ServerName& server);

}  // namespace coralhoist::pooling
