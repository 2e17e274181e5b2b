/** Results of an experiment as one HTML file that needs nothing else. */
#pragma once

#include <string>

#include "lab/experiment/RunResult.h"

namespace coralhoist::experiment {

/** @return the summary as a table and plots of each system's first run. */
std::string toHtml(const ExperimentResult& result);

}  // namespace coralhoist::experiment
