/** Translation between the platform's JSON objects and the typed records. */
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>
#include <cstdint>
#include <optional>
#include <string>

#include "base/Status.h"
#include "link/platform/EditResolution.h"
#include "link/platform/MachineRecord.h"

namespace coralhoist::platform {

/** Root of both collections. */
inline constexpr const char* kApiRoot = "/apis/coralhoist.io/v1/";
inline constexpr const char* kApiVersion = "coralhoist.io/v1";
inline constexpr const char* kSettingsCollection = "settingsnodes";
inline constexpr const char* kMachinesCollection = "machines";

/**
 * Reversible encoding of a path as an object name. All bytes but lower-case letters and digits
 * become ".XX" (hexadecimal), so that the result is a valid DNS subdomain as object names have to
 * be.
 * @param path e.g. "estate/ledger".
 * @return e.g. "estate.2fledger".
 */
QString objectNameOfPath(const std::string& path);

/** @return the path of which objectNameOfPath made the name. */
std::string pathOfObjectName(const QString& name);

/** @return metadata.resourceVersion, or nothing when it is missing or no number. */
std::optional<std::uint64_t> resourceVersionOf(const QJsonObject& object);

/** @return metadata.name; empty when missing. */
QString objectNameOf(const QJsonObject& object);

/**
 * @param object as stored by the platform.
 * @return the node, or ProtocolViolation when name or version are missing. Faults in the document
 *         are left to the validation of settings.
 */
StatusWith<StoredNode> decodeNode(const QJsonObject& object);

/**
 * @param node its record.version is not encoded.
 * @param baseVersion version that the write replaces; 0 for a new object.
 * @return the object, or InvalidArgument when the document is no JSON object.
 */
StatusWith<QJsonObject> encodeNode(const StoredNode& node, std::uint64_t baseVersion);

/** @return the machine, or ProtocolViolation when name or version are missing. */
StatusWith<MachineRecord> decodeMachine(const QJsonObject& object);

/** @return the object for a machine; for the tools that fill the list. */
QJsonObject encodeMachine(const MachineRecord& machine);

}  // namespace coralhoist::platform
