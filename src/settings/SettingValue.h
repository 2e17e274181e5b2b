/** Conversion of setting values from and to text and JSON, checked against their key. */
#pragma once

#include <QJsonValue>
#include <string>
#include <string_view>

#include "base/Status.h"
#include "settings/KeyDefinition.h"

namespace coralhoist::settings {

/**
 * @param text a whole number and a unit out of us, ms, s, m, h, d, without a space.
 * @return the duration, or InvalidArgument.
 */
StatusWith<Duration> parseDuration(std::string_view text);

/** @return the shortest text that parseDuration() reads back, e.g. "90s", "2h". */
std::string formatDuration(Duration duration);

/**
 * Reads a value as an operator writes it; the elements of a list are separated by commas.
 * @return the value, or InvalidArgument with a sentence that says what is wrong with it; the key's
 * name is not part of the sentence.
 */
StatusWith<SettingValue> parseValue(const KeyDefinition& key, std::string_view text);

/** Reads a value from a node's document; errors as for parseValue(). */
StatusWith<SettingValue> readJsonValue(const KeyDefinition& key, const QJsonValue& json);

/** @return the value as readJsonValue() reads it. */
QJsonValue writeJsonValue(const SettingValue& value);

/** @return the value as parseValue() reads it. */
std::string formatValue(const SettingValue& value);

/** @return the value for people: a secret that is not empty is replaced by asterisks. */
std::string displayValue(const KeyDefinition& key, const SettingValue& value);

}  // namespace coralhoist::settings
