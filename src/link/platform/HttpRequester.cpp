#include "link/platform/HttpRequester.h"

#include <QJsonDocument>
#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QTimer>
#include <chrono>
#include <memory>
#include <utility>

namespace coralhoist::platform {
namespace {

constexpr const char* kJsonType = "application/json";

/** @return whether the error can only occur before a connection exists. */
bool precedesSending(QNetworkReply::NetworkError error) {
    return error == QNetworkReply::ConnectionRefusedError ||
           error == QNetworkReply::HostNotFoundError;
}

/** @return whether the answer came whole; a connection cut within the body leaves a status too. */
bool hasWholeAnswer(QNetworkReply::NetworkError error) {
    const bool clientStatus = error >= QNetworkReply::ContentOperationNotPermittedError &&
                              error <= QNetworkReply::UnknownContentError;
    const bool serverStatus = error >= QNetworkReply::InternalServerError;
    return error == QNetworkReply::NoError || clientStatus || serverStatus;
}

HttpAnswer makeAnswer(QNetworkReply& reply, bool sent) {
    HttpAnswer answer;
    const QVariant status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
    const auto error = reply.error();
    if (status.isValid() && hasWholeAnswer(error)) {
        answer.transport = HttpAnswer::Transport::Answered;
        answer.statusCode = status.toInt();
        answer.body = reply.readAll();
        return answer;
    }
    const bool neverSent = !sent && precedesSending(error);
    answer.transport = neverSent ? HttpAnswer::Transport::NotSent : HttpAnswer::Transport::Lost;
    answer.timedOut = error == QNetworkReply::OperationCanceledError;
    answer.message = reply.errorString().toStdString();
    return answer;
}

}  // namespace

HttpRequester::HttpRequester(QUrl baseUrl, QObject* parent)
    : QObject(parent), _baseUrl(std::move(baseUrl)) {
    _manager.setProxy(QNetworkProxy::NoProxy);
}

void HttpRequester::send(const QByteArray& verb, const QString& path, const QJsonObject& body,
                         Duration timeout, HttpCallback callback) {
    QNetworkRequest request = makeRequest(path);
    QByteArray bytes;
    if (!body.isEmpty()) {
        bytes = QJsonDocument(body).toJson(QJsonDocument::Compact);
        request.setHeader(QNetworkRequest::ContentTypeHeader, kJsonType);
    }
    QNetworkReply* reply = _manager.sendCustomRequest(request, verb, bytes);
    // The library may send a request again when a kept connection breaks, and then report only how
    // the second attempt failed: the request counts as sent once any attempt was.
    auto sent = std::make_shared<bool>(false);
    connect(reply, &QNetworkReply::requestSent, this, [sent] { *sent = true; });
    auto* timer = new QTimer(reply);
    timer->setSingleShot(true);
    connect(timer, &QTimer::timeout, reply, &QNetworkReply::abort);
    timer->start(std::chrono::ceil<std::chrono::milliseconds>(timeout));
    connect(reply, &QNetworkReply::finished, this, [reply, sent, callback = std::move(callback)] {
        reply->deleteLater();
        callback(makeAnswer(*reply, *sent));
    });
}

QNetworkReply* HttpRequester::openStream(const QString& path) {
    return _manager.get(makeRequest(path));
}

QNetworkRequest HttpRequester::makeRequest(const QString& path) const {
    QNetworkRequest request(_baseUrl.resolved(QUrl(path, QUrl::StrictMode)));
    request.setRawHeader("Accept", kJsonType);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                         QNetworkRequest::AlwaysNetwork);
    // Redirects are not part of the API and could carry an edit to another host.
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    return request;
}

}  // namespace coralhoist::platform
