/** Rendezvous hashing over nodes. */
#pragma once

#include <string>
#include <vector>

#include "base/Identifier.h"

namespace coralhoist::pooling {

/** @return the nodes in the order of their hashes with the key, which all nodes agree on. */
std::vector<NodeName> rankedNodes(const std::string& key, const std::vector<NodeName>& nodes);

}  // namespace coralhoist::pooling
