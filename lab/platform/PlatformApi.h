/** The stand-in platform's requests and answers. Pure: no socket, no timer. */
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>
#include <QtHttpServer/QHttpServerRequest>
#include <QtHttpServer/QHttpServerResponder>
#include <cstdint>
#include <optional>

#include "lab/platform/ObjectStore.h"

namespace coralhoist::lab {

/** A request, copied out of the HTTP server's own object so that it can wait. */
struct ApiRequest {
    QHttpServerRequest::Method method = QHttpServerRequest::Method::Get;
    /** Collection that the path names; empty when the path is none of the API's. */
    QString collection;
    /** Object that the path names; empty for the whole collection. */
    QString name;
    bool watch = false;
    /** Start version of a watch; 0 asks for the present objects first. */
    std::uint64_t fromVersion = 0;
    QByteArray body;

    bool isEdit() const { return method != QHttpServerRequest::Method::Get; }
};

struct ApiResponse {
    QHttpServerResponder::StatusCode status = QHttpServerResponder::StatusCode::Ok;
    QJsonObject body;
};

/** @return the request; its collection is empty when the path is none of the API's. */
ApiRequest parseApiRequest(const QHttpServerRequest& request);

/** @return the API's Status object for a failure. */
QJsonObject statusObject(const Status& failure);

/** @return the answer for a failure. */
ApiResponse failureResponse(const Status& failure);

/**
 * Serves everything but watches.
 * @param store read and changed; the changes are not published yet.
 */
ApiResponse serveApiRequest(const ApiRequest& request, ObjectStore& store);

}  // namespace coralhoist::lab
