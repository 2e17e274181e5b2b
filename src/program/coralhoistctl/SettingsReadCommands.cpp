#include "program/coralhoistctl/SettingsReadCommands.h"

#include <QJsonArray>

#include "program/coralhoistctl/RecordText.h"
#include "program/coralhoistctl/TextTable.h"
#include "settings/KeyRegistry.h"
#include "settings/SettingValue.h"

namespace coralhoist::ctl {
namespace {

using settings::NodePath;

constexpr const char* kWholeTree = "estate";

/** @return the first argument, or the whole tree. */
std::string pathArgument(const Arguments& arguments) {
    return arguments.empty() ? kWholeTree : arguments.front();
}

ExitCode printNodeJson(const CommandContext& context, const gen::SettingsGetResponse& response) {
    QJsonObject object;
    object["exists"] = response.__isset.node;
    object["freshestVersion"] = qint64{response.freshestVersion};
    if (response.__isset.node) {
        object["node"] = recordJson(context, response.node);
    }
    printJson(context, object);
    return ExitCode::Ok;
}

ExitCode printNode(const CommandContext& context, const NodePath& path,
                   const gen::SettingsNodeRecord& record) {
    context.out << record.path << "  " << versionText(record) << "\n";
    printDocument(context, path, record.document);
    return ExitCode::Ok;
}

ExitCode printOneValue(const CommandContext& context, const std::string& path,
                       const settings::NodeDocument& document, const std::string& name) {
    const auto key = settings::KeyRegistry::instance().lookUp(name);
    if (!key.isOk()) {
        return failUsage(context, key.status().message());
    }
    const settings::SettingValue* value = document.find(*key.value());
    if (value == nullptr) {
        return fail(context, ExitCode::Failed, path + ": " + name + " is not set here",
                    "See 'coralhoistctl settings effective " + path + "' for the value in force");
    }
    context.out << valueText(context, *key.value(), *value) << "\n";
    return ExitCode::Ok;
}

/** @return the value as people may see it. */
std::string effectiveText(const CommandContext& context, const gen::EffectiveSetting& setting) {
    const settings::KeyDefinition* key = settings::KeyRegistry::instance().find(setting.key);
    const bool hidden = key != nullptr && key->secret && !setting.value.empty();
    return hidden && !context.options.showSecrets ? "******" : setting.value;
}

}  // namespace

ExitCode settingsGet(const CommandContext& context, const Arguments& arguments) {
    const auto path = NodePath::parse(arguments.front());
    if (!path.isOk()) {
        return failUsage(context, path.status().message());
    }
    gen::SettingsGetRequest request;
    request.path = arguments.front();
    const auto response = context.proxy.ask<gen::SettingsGetResponse>(request);
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    const bool exists = response.value().__isset.node;
    if (context.options.json && arguments.size() == 1) {
        return printNodeJson(context, response.value());
    }
    if (!exists) {
        return fail(context, ExitCode::Failed, request.path + ": there is no such node",
                    "See 'coralhoistctl settings list' for those that exist");
    }
    const gen::SettingsNodeRecord& record = response.value().node;
    const auto document = settings::NodeDocument::parse(path.value(), record.document);
    if (!document.isOk()) {
        return fail(context, ExitCode::Failed, document.status().message(),
                    "The proxy knows keys that this coralhoistctl does not; use the same version");
    }
    return arguments.size() == 1
               ? printNode(context, path.value(), record)
               : printOneValue(context, request.path, document.value(), arguments[1]);
}

ExitCode settingsList(const CommandContext& context, const Arguments& arguments) {
    gen::SettingsListRequest request;
    request.path = pathArgument(arguments);
    const auto response = context.proxy.ask<gen::SettingsListResponse>(request);
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    const std::vector<gen::SettingsNodeRecord>& nodes = response.value().nodes;
    if (context.options.json) {
        QJsonArray array;
        for (const gen::SettingsNodeRecord& node : nodes) {
            array.append(recordJson(context, node));
        }
        printJson(context, {{"nodes", array}, {"truncated", response.value().truncated}});
        return ExitCode::Ok;
    }
    TextTable table({"PATH", "VERSION", "AUTHOR", "KEYS SET"});
    for (const gen::SettingsNodeRecord& node : nodes) {
        const auto keys = differences(node.path, "", node.document).size();
        table.addRow({node.path, std::to_string(node.version), node.author, std::to_string(keys)});
    }
    table.print(context.out);
    if (response.value().truncated) {
        context.out << "... and more; name a group to see all of it\n";
    }
    return ExitCode::Ok;
}

ExitCode settingsEffective(const CommandContext& context, const Arguments& arguments) {
    gen::SettingsEffectiveRequest request;
    request.path = arguments.front();
    const auto response = context.proxy.ask<gen::SettingsEffectiveResponse>(request);
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    QJsonArray array;
    TextTable table({"KEY", "VALUE", "FROM"});
    for (const gen::EffectiveSetting& setting : response.value().settings) {
        const std::string value = effectiveText(context, setting);
        array.append(QJsonObject{{"key", QString::fromStdString(setting.key)},
                                 {"value", QString::fromStdString(value)},
                                 {"source", QString::fromStdString(setting.source)}});
        // The default query is long and known.
        const bool isDefaultText = setting.source == "default" && value.size() > 60;
        const std::string shown = isDefaultText ? "(see settings explain)" : value;
        table.addRow({setting.key, shown.empty() ? "(empty)" : shown, setting.source});
    }
    if (context.options.json) {
        printJson(context, {{"path", QString::fromStdString(request.path)},
                            {"freshestVersion", qint64{response.value().freshestVersion}},
                            {"settings", array}});
    } else {
        table.print(context.out);
    }
    return ExitCode::Ok;
}

ExitCode settingsHistory(const CommandContext& context, const Arguments& arguments) {
    gen::SettingsHistoryRequest request;
    request.path = pathArgument(arguments);
    request.limit = context.options.limit;
    const auto response = context.proxy.ask<gen::SettingsHistoryResponse>(request);
    if (!response.isOk()) {
        return failRead(context, response.status());
    }
    const std::vector<gen::SettingsChangeEvent>& changes = response.value().changes;
    if (context.options.json) {
        QJsonArray array;
        for (const gen::SettingsChangeEvent& change : changes) {
            array.append(changeJson(context, change));
        }
        printJson(context, {{"changes", array}});
        return ExitCode::Ok;
    }
    for (const gen::SettingsChangeEvent& change : changes) {
        printChange(context, change);
    }
    if (changes.empty()) {
        context.out << "no change seen since this proxy started\n";
    }
    return ExitCode::Ok;
}

ExitCode settingsWatch(const CommandContext& context, const Arguments& arguments) {
    gen::SettingsWatchRequest request;
    request.path = pathArgument(arguments);
    std::int32_t seen = 0;
    const Status status =
        context.proxy.watch(request, [&context, &seen](const gen::SettingsChangeEvent& change) {
            if (context.options.json) {
                printJsonLine(context, changeJson(context, change));
            } else {
                printChange(context, change);
            }
            ++seen;
            return seen != context.options.count;
        });
    return status.isOk() ? ExitCode::Ok : failRead(context, status);
}

}  // namespace coralhoist::ctl
