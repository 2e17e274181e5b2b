/** Objects that the stand-in platform holds from its start. */
#pragma once

#include <QJsonObject>
#include <QString>
#include <vector>

#include "base/Status.h"

namespace coralhoist::lab {

/** An object and where it belongs. */
struct InitialObject {
    QString collection;
    QJsonObject object;
};

/**
 * @param content {"nodes": [{"path": "estate", "document": {...}}, ...],
 *        "machines": [{"name": ..., "host": ..., "peerPort": ..., "zone": ..., "region": ...,
 *        "phase": "Live"|"Leaving"}, ...]}; both lists may be absent.
 * @return the objects, or InvalidArgument naming the entry.
 */
StatusWith<std::vector<InitialObject>> decodeInitialContent(const QJsonObject& content);

}  // namespace coralhoist::lab
