/**
 * Contents of objects as nodes hand them on: JSON, compressed where that pays. CBOR took four times
 * as long to read and was no smaller once compressed (18.7 and 17.9 kB of a configuration of 459
 * kB).
 */
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
