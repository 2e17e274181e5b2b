/** Reads scenarios from TOML files. */
#pragma once

#include <string>

#include "base/Status.h"
#include "lab/experiment/Scenario.h"

namespace coralhoist::experiment {

/**
 * Reads and checks a scenario; every key is checked for its name, type and range.
 * @param path of the file.
 * @return the scenario, or InvalidArgument or NotFound with "file:line: key: what is wrong".
 */
StatusWith<Scenario> readScenario(const std::string& path);

/**
 * @param text of a scenario file.
 * @param file name to use in messages.
 */
StatusWith<Scenario> parseScenario(const std::string& text, const std::string& file);

}  // namespace coralhoist::experiment
