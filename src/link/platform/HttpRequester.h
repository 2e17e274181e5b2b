/** Single requests to the platform over QtNetwork, with a time limit. */
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QObject>
#include <QUrl>
#include <functional>
#include <string>

#include "base/Time.h"

namespace coralhoist::platform {

/** How a request ended. */
struct HttpAnswer {
    enum class Transport {
        Answered, /**< A whole answer came; statusCode and body are set. */
        NotSent,  /**< The request provably never left this process. */
        Lost,     /**< No whole answer came; the request may have been served. */
    };
    Transport transport = Transport::Lost;
    int statusCode = 0;
    QByteArray body;
    /** Whether the time limit ended it. */
    bool timedOut = false;
    /** What went wrong, for people. */
    std::string message;
};

using HttpCallback = std::function<void(const HttpAnswer&)>;

/** Sends requests and reports exactly one answer for each, unless destroyed before. */
class HttpRequester final : public QObject {
    Q_OBJECT

public:
    /** @param baseUrl scheme, host and port of the platform. */
    explicit HttpRequester(QUrl baseUrl, QObject* parent = nullptr);

    /**
     * @param verb HTTP method.
     * @param path absolute path, with the query if any.
     * @param body JSON body; empty for none.
     * @param timeout time from now to the whole answer.
     * @param callback called later, on this thread.
     */
    void send(const QByteArray& verb, const QString& path, const QJsonObject& body,
              Duration timeout, HttpCallback callback);

    /**
     * Opens a stream.
     * @return the reply, owned by the caller; its data arrives through readyRead.
     */
    QNetworkReply* openStream(const QString& path);

private:
    QNetworkRequest makeRequest(const QString& path) const;

    QUrl _baseUrl;
    QNetworkAccessManager _manager;
};

}  // namespace coralhoist::platform
