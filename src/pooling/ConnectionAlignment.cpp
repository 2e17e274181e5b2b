#include "pooling/ConnectionAlignment.h"

#include <algorithm>
#include <utility>

namespace coralhoist::pooling {

std::vector<ServerCommand> alignValues(ServerConnection& connection, const SessionValues& values,
                                       std::size_t preparedBound) {
    std::vector<ServerCommand> commands;
    const auto isForeign = [&values](const auto& value) { return !values.contains(value.first); };
    const bool exceedsBound = connection.prepared.size() > preparedBound;
    if (!connection.pinned && (exceedsBound || std::any_of(connection.values.begin(),
                                                           connection.values.end(), isForeign))) {
        ServerCommand reset;
        reset.kind = ServerCommand::Kind::Reset;
        commands.push_back(std::move(reset));
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& [name, value] : values) {
        const auto found = connection.values.find(name);
        if (found != connection.values.end() && found->second == value) {
            continue;
        }
        ServerCommand set;
        set.kind = ServerCommand::Kind::Set;
        set.name = name;
        set.argument = value;
        commands.push_back(std::move(set));
    }
    connection.values = values;
    connection.awaited.insert(connection.awaited.end(), commands.size(),
                              AwaitedResult::Housekeeping);
    return commands;
}

void alignPrepared(ServerConnection& connection, const PreparedShape& shape,
                   std::vector<ServerCommand>& commands) {
    if (!connection.prepared.insert(shape.serverName).second) {
        return;
    }
    ServerCommand prepare;
    prepare.kind = ServerCommand::Kind::Prepare;
    prepare.name = shape.serverName;
    prepare.argument = shape.shape;
    prepare.shapeKind = shape.kind;
    commands.push_back(std::move(prepare));
    connection.awaited.push_back(AwaitedResult::Housekeeping);
}

}  // namespace coralhoist::pooling
