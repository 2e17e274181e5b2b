/** HTTP control interface of a stand-in group. */
#pragma once

#include <QHttpServer>
#include <QJsonObject>
#include <cstdint>

#include "lab/database/DatabaseGroup.h"

namespace coralhoist::lab::database {

/** Serves GET /status and POST /fault; see README.md for the JSON. */
class ControlServer {
public:
    /** @param group outlives the server. */
    explicit ControlServer(DatabaseGroup& group);

    /**
     * @param port 0 lets the kernel choose.
     * @return the port, or Unavailable.
     */
    StatusWith<std::uint16_t> listen(const QHostAddress& address, std::uint16_t port);

private:
    QJsonObject status() const;
    QHttpServerResponse handleFault(const QHttpServerRequest& request);

    DatabaseGroup& _group;
    QHttpServer _server;
};

}  // namespace coralhoist::lab::database
