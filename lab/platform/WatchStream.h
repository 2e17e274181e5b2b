/** One open watch of the stand-in platform. */
#pragma once

#include <QJsonObject>
#include <QPointer>
#include <QString>
#include <QTcpSocket>
#include <QtHttpServer/QHttpServerResponder>

#include "lab/platform/ObjectStore.h"

namespace coralhoist::lab {

/**
 * Writes watch events as a chunked HTTP answer. QHttpServerResponder writes only whole answers by
 * itself, so status line, headers and chunks are written one by one through its lower functions.
 */
class WatchStream {
public:
    /**
     * Sends status and headers.
     * @param responder of the request.
     * @param collection that is watched.
     */
    WatchStream(QHttpServerResponder responder, QString collection);

    void sendChange(const ObjectChange& change);
    /** Everything up to version has been sent. */
    void sendBookmark(std::uint64_t version);
    /** @param status the API's Status object. */
    void sendError(const QJsonObject& status);
    /** Closes the connection after what was sent. */
    void finish();
    /** Ends the connection at once, as a failing network does. */
    void cut();

    bool isOpen() const;
    const QString& collection() const { return _collection; }

private:
    void sendEvent(const char* type, const QJsonObject& object);

    QHttpServerResponder _responder;
    QPointer<QTcpSocket> _socket;
    QString _collection;
};

}  // namespace coralhoist::lab
