/** The status of a proxy as JSON. */
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <string>
#include <vector>

#include "gen/operator_types.h"

namespace coralhoist::ctl {

/** @return the status with the field names of gen/operator.thrift. */
QJsonObject statusJson(const gen::StatusResponse& status);

/** @return the names as a JSON list. */
QJsonArray namesJson(const std::vector<std::string>& names);

}  // namespace coralhoist::ctl
