#include "program/coralhoistctl/ExplainCommand.h"

#include <QJsonArray>

#include "program/coralhoistctl/TextTable.h"
#include "settings/KeyDocumentation.h"
#include "settings/KeyRegistry.h"
#include "settings/SettingValue.h"

namespace coralhoist::ctl {
namespace {

using settings::KeyDefinition;
using settings::KeyRegistry;

QJsonObject keyJson(const KeyDefinition& key) {
    return {{"key", QString::fromStdString(key.name)},
            {"type", QString::fromStdString(settings::typeName(key))},
            {"default", QString::fromStdString(settings::formatValue(key.defaultValue))},
            {"values", QString::fromStdString(settings::describeRange(key))},
            {"levels", QString::fromStdString(key.levels.text())},
            {"description", QString::fromStdString(key.description)}};
}

ExitCode explainAll(const CommandContext& context) {
    QJsonArray array;
    TextTable table({"KEY", "TYPE", "VALUES", "LEVELS"});
    for (const KeyDefinition& key : KeyRegistry::instance().keys()) {
        array.append(keyJson(key));
        table.addRow(
            {key.name, settings::typeName(key), settings::describeRange(key), key.levels.text()});
    }
    if (context.options.json) {
        printJson(context, {{"keys", array}});
        return ExitCode::Ok;
    }
    table.print(context.out);
    context.out << "'coralhoistctl settings explain KEY' says what a key means\n";
    return ExitCode::Ok;
}

}  // namespace

ExitCode settingsExplain(const CommandContext& context, const Arguments& arguments) {
    if (context.options.markdown) {
        context.out << settings::settingsPage();
        return ExitCode::Ok;
    }
    if (arguments.empty()) {
        return explainAll(context);
    }
    const auto key = KeyRegistry::instance().lookUp(arguments.front());
    if (!key.isOk()) {
        return fail(context, ExitCode::Usage, key.status().message(),
                    "See 'coralhoistctl settings explain' for all keys");
    }
    if (context.options.json) {
        printJson(context, keyJson(*key.value()));
    } else {
        context.out << settings::explainKey(*key.value());
    }
    return ExitCode::Ok;
}

}  // namespace coralhoist::ctl
