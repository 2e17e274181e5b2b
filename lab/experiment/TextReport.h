/** The summary of an experiment as text. */
#pragma once

#include <string>

#include "lab/experiment/RunResult.h"

namespace coralhoist::experiment {

/** @return a number of digits that suits a figure of any size. */
std::string formatFigure(double value);

/** @return a table with a row for each figure and a column for each system. */
std::string toText(const ExperimentResult& result);

}  // namespace coralhoist::experiment
