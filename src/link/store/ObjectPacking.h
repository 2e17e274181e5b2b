/** Contents of objects as nodes hand them on: CBOR, compressed where that pays. */
#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

namespace coralhoist::store {

/** @return the packed content. */
std::string packContent(const QJsonObject& content);

/** @return the content; nothing for bytes that packContent can't have made. */
std::optional<QJsonObject> unpackContent(const std::string& packed);

}  // namespace coralhoist::store
