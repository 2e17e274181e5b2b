#include "program/coralhoistctl/CommandContext.h"

#include <QJsonDocument>

#include "base/Error.h"

namespace coralhoist::ctl {

void printJson(const CommandContext& context, const QJsonObject& object) {
    context.out << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

void printJsonLine(const CommandContext& context, const QJsonObject& object) {
    context.out << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() << std::endl;
}

ExitCode fail(const CommandContext& context, ExitCode code, const std::string& message,
              const std::string& nextStep) {
    context.error << "coralhoistctl: " << message;
    if (!nextStep.empty()) {
        context.error << (message.ends_with('?') ? " " : ". ") << nextStep;
    }
    context.error << "\n";
    if (context.options.json) {
        QJsonObject object;
        object["error"] = QString::fromStdString(message);
        object["exitCode"] = static_cast<int>(code);
        printJson(context, object);
    }
    return code;
}

ExitCode failRead(const CommandContext& context, const Status& status) {
    const std::error_code& code = status.code();
    if (code == ErrorCode::Unavailable) {
        return fail(context, ExitCode::Unreachable, status.message(),
                    "Check the address, or ask another proxy with --proxy IP:PORT");
    }
    if (code == ErrorCode::DeadlineExceeded || code == ErrorCode::OutcomeUnknown ||
        code == ErrorCode::ProtocolViolation) {
        return fail(context, ExitCode::Unreachable,
                    "proxy " + context.options.proxyText() + ": " + status.message(),
                    "Ask another proxy with --proxy IP:PORT");
    }
    return fail(context, ExitCode::Failed, status.message());
}

ExitCode failUsage(const CommandContext& context, const std::string& message) {
    return fail(context, ExitCode::Usage, message);
}

}  // namespace coralhoist::ctl
