/** Records and changes of the settings as operators read them. */
#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

#include "gen/operator_types.h"
#include "program/coralhoistctl/CommandContext.h"
#include "settings/EditPlanner.h"
#include "settings/NodeDocument.h"

namespace coralhoist::ctl {

/** @return a value for people; passwords are hidden unless --show-secrets was given. */
std::string valueText(const CommandContext& context, const settings::KeyDefinition& key,
                      const settings::SettingValue& value);

/** @return a document as JSON; passwords are hidden unless --show-secrets was given. */
QJsonObject documentJson(const CommandContext& context, const settings::NodePath& path,
                         const std::string& document);

/** @return the record as JSON. */
QJsonObject recordJson(const CommandContext& context, const gen::SettingsNodeRecord& record);

/** @return the change as JSON. */
QJsonObject changeJson(const CommandContext& context, const gen::SettingsChangeEvent& change);

/** @return the changes of single keys as JSON. */
QJsonArray keyChangesJson(const CommandContext& context,
                          const std::vector<settings::KeyChange>& changes);

/** Prints one line per value that a document sets: "KEY = VALUE". */
void printDocument(const CommandContext& context, const settings::NodePath& path,
                   const std::string& document);

/** Prints one line per changed key: "KEY: OLD -> NEW". */
void printKeyChanges(const CommandContext& context,
                     const std::vector<settings::KeyChange>& changes);

/** Prints who changed what, and each changed key. */
void printChange(const CommandContext& context, const gen::SettingsChangeEvent& change);

/** @return "version 7 by NAME". */
std::string versionText(const gen::SettingsNodeRecord& record);

/** @return the keys in which two texts of documents differ; faulty texts count as empty. */
std::vector<settings::KeyChange> differences(const std::string& path, const std::string& before,
                                             const std::string& after);

}  // namespace coralhoist::ctl
