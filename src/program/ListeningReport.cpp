#include "program/ListeningReport.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace coralhoist::program {

std::string listeningReport(const std::string& name, const std::string& address,
                            const ListeningPorts& ports) {
    const QJsonObject report{
        {"node", QString::fromStdString(name)}, {"address", QString::fromStdString(address)},
        {"caller_port", ports.caller},          {"peer_port", ports.peer},
        {"operator_port", ports.operators},     {"metrics_port", ports.metrics},
    };
    return QJsonDocument(report).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace coralhoist::program
