/** Results of an experiment as JSON. */
#pragma once

#include <QByteArray>

#include "lab/experiment/RunResult.h"

namespace coralhoist::experiment {

/** @return the whole result; the same result gives the same bytes. */
QByteArray toJson(const ExperimentResult& result);

}  // namespace coralhoist::experiment
