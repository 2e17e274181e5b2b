/** Configuration keys under `pool`: how a process places pooled statements on servers. */
#pragma once

#include <vector>

#include "program/ConfigurationKey.h"

namespace coralhoist::program {

/** @return the keys that fill DaemonConfiguration::pooler. */
std::vector<KeyDescription> poolerKeys();

}  // namespace coralhoist::program
