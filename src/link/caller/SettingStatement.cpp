#include "link/caller/SettingStatement.h"

#include <QJsonArray>
#include <QRegularExpression>
#include <QSet>
#include <QStringList>
#include <optional>

namespace coralhoist::caller {
namespace {

using contract::StatementKind;

void refuse(ClassifiedStatement& result, std::string reason) {
    result.kind = StatementKind::Unsupported;
    result.refusal = std::move(reason);
}

/** @return a list element as PostgreSQL would write it, quoted when it is not a plain name. */
QString quotedIdentifier(const QString& name) {
    static const QRegularExpression plain("^[a-z_][a-z0-9_$]*$");
    if (plain.match(name).hasMatch()) {
        return name;
    }
    return '"' + QString(name).replace('"', "\"\"") + '"';
}

/** @return the text of a constant, or nothing when it is not one. */
std::optional<QString> constantText(const QJsonObject& argument) {
    const QJsonObject constant = argument.value("A_Const").toObject();
    if (constant.contains("sval")) {
        return constant.value("sval").toObject().value("sval").toString();
    }
    if (constant.contains("ival")) {
        return QString::number(constant.value("ival").toObject().value("ival").toInt());
    }
    if (constant.contains("fval")) {
        return constant.value("fval").toObject().value("fval").toString();
    }
    if (constant.contains("boolval")) {
        return constant.value("boolval").toObject().value("boolval").toBool() ? "on" : "off";
    }
    return std::nullopt;
}

/** @return the value of a SET statement, or nothing when it is not made of constants. */
std::optional<std::string> settingValue(const QString& name, const QJsonArray& arguments) {
    QStringList values;
    for (const auto& argument : arguments) {
        const std::optional<QString> text = constantText(argument.toObject());
        if (!text) {
            return std::nullopt;
        }
        values.append(name == "search_path" ? quotedIdentifier(*text) : *text);
    }
    return values.join(", ").toStdString();
}

/** Parameters whose SET would change who the back-end connection is. */
bool isIdentityParameter(const QString& name) {
    static const QSet<QString> names = {"role", "session_authorization"};
    return names.contains(name);
}

void classifyMultiple(const QJsonObject& node, ClassifiedStatement& result) {
    if (node.value("name").toString() == "TRANSACTION") {
        return;
    }
    refuse(result, "SET SESSION CHARACTERISTICS and SET TRANSACTION SNAPSHOT are not supported");
}

void classifyValue(const QString& name, const QJsonObject& node, ClassifiedStatement& result) {
    std::optional<std::string> value = settingValue(name, node.value("args").toArray());
    if (!value) {
        refuse(result, "SET accepts constant values only");
        return;
    }
    result.command =
        SetParameter{name.toStdString(), std::move(value), node.value("is_local").toBool()};
}

}  // namespace

void classifySet(const QJsonObject& node, ClassifiedStatement& result) {
    const QString kind = node.value("kind").toString();
    const QString name = node.value("name").toString().toLower();
    result.kind = StatementKind::SessionSetting;
    result.returnsRows = false;
    result.changesSession = true;
    if (isIdentityParameter(name) && kind != "VAR_RESET") {
        refuse(result, "SET ROLE and SET SESSION AUTHORIZATION are not supported");
    } else if (kind == "VAR_SET_VALUE") {
        classifyValue(name, node, result);
    } else if (kind == "VAR_SET_DEFAULT" || kind == "VAR_RESET") {
        result.command =
            SetParameter{name.toStdString(), std::nullopt, node.value("is_local").toBool()};
    } else if (kind == "VAR_RESET_ALL") {
        result.command = ResetAllParameters{};
    } else if (kind == "VAR_SET_MULTI") {
        classifyMultiple(node, result);
    } else {
        refuse(result, "this form of SET is not supported");
    }
}

}  // namespace coralhoist::caller
