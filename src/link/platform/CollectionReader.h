/** Reads a collection and turns HTTP answers into outcomes. */
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <cstdint>

#include "base/Status.h"
#include "link/platform/HttpRequester.h"

namespace coralhoist::platform {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpCreated = 201;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpClientErrors = 400;
inline constexpr int kHttpServerErrors = 500;

/** A collection as listed. */
struct ObjectList {
    QJsonArray items;
    std::uint64_t version = 0;
};

/** @return the URL path of a collection. */
QString collectionPath(const char* collection);

/** @return the URL path of an object. */
QString objectPath(const char* collection, const QString& name);

/** @return why an answer is of no use, with the platform's own message when there is one. */
Status failureOf(const HttpAnswer& answer);

/** @return the JSON object of an answered request; empty when the body is none. */
QJsonObject objectOf(const HttpAnswer& answer);

/** @return the list of a 200 answer, or why there is none. */
StatusWith<ObjectList> decodeList(const HttpAnswer& answer);

}  // namespace coralhoist::platform
