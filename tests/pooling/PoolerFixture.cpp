#include "PoolerFixture.h"

#include <algorithm>
#include <utility>

namespace coralhoist::pooling {
namespace {

using std::chrono::milliseconds;

std::shared_ptr<const ServiceCatalog> makeServices(const GroupName& group,
                                                   const settings::GroupSettings& groupSettings) {
    auto catalog = std::make_shared<ServiceCatalog>();
    settings::ServiceSettings service;
    service.statementTimeout = milliseconds(800);
    service.latencyObjective = milliseconds(200);
    service.idleInTransactionTimeout = milliseconds(1000);
    service.priority = settings::Priority::Urgent;
    catalog->services[ServiceName("current")] = {group, service};
    service.priority = settings::Priority::Ordinary;
    service.readRouting = settings::ReadRouting::Replica;
    service.maxStaleness = milliseconds(1500);
    catalog->services[ServiceName("bounded")] = {group, service};
    catalog->services[ServiceName("own")] = {group, service};
    catalog->groups[group] = groupSettings;
    return catalog;
}

PoolerKnobs makeKnobs() {
    PoolerKnobs knobs;
    knobs.node = NodeName("n0");
    knobs.zone = ZoneName("z1");
    return knobs;
}

}  // namespace

ConnectionId ScriptedConnector::open(const ServerAddress& address, const TenantName& tenant,
                                     ServerEvents& /*events*/) {
    const ConnectionId id(serverOf.size() + 1);
    serverOf[id] = address.server;
    tenantOf[id] = tenant;
    opening.push_back(id);
    return id;
}

void ScriptedConnector::send(ConnectionId connection, const std::vector<ServerCommand>& commands) {
    for (const ServerCommand& command : commands) {
        sent.push_back({connection, serverOf.at(connection), command});
        ++reached[serverOf.at(connection)];
    }
}

void ScriptedConnector::close(ConnectionId connection) {
    closed.push_back(connection);
    std::erase(opening, connection);
    std::erase_if(
        sent, [connection](const SentCommand& entry) { return entry.connection == connection; });
}

PoolerFixture::PoolerFixture() : pooler(clock, connector, *this, makeKnobs()) {
    applySettings();
    announce("s1", 1);
    pooler.onTick();
    openConnections();
    advance(milliseconds(600));
    pooler.confirmLeadership(group, clock.now());
}

void PoolerFixture::applySettings() {
    pooler.applyCatalog(makeServices(group, groupSettings));
}

void PoolerFixture::announce(const std::string& primary, std::uint64_t version) {
    for (int index = 1; index <= 3; ++index) {
        const std::string name = "s" + std::to_string(index);
        ServerAnnouncement announcement;
        announcement.address = {group, ServerName(name), "10.0.0." + std::to_string(index), 1};
        announcement.zone = ZoneName("z" + std::to_string(index));
        announcement.slots = 3;
        announcement.role = name == primary ? ServerRole::Primary : ServerRole::Replica;
        announcement.version.revision = version * 10 + static_cast<std::uint64_t>(index);
        directory.put(announcement, clock.now());
    }
    pooler.applyDirectory(directory);
}

void PoolerFixture::openConnections() {
    std::vector<ConnectionId> opening;
    opening.swap(connector.opening);
    for (const ConnectionId id : opening) {
        pooler.onOpened(id, OpTime{1, 1});
    }
}

void PoolerFixture::advance(Duration span) {
    clock.advance(span);
    pooler.onTick();
}

SessionId PoolerFixture::session(const std::string& service) {
    return pooler.openSession(ServiceName(service));
}

std::string PoolerFixture::submit(SessionId session, StatementVerb verb, const std::string& text,
                                  const std::string& name, const std::string& argument,
                                  ShapeKind kind) {
    Statement statement;
    statement.id = "r" + std::to_string(++_lastId);
    statement.verb = verb;
    statement.text = text;
    statement.name = name;
    statement.argument = argument;
    statement.shapeKind = kind;
    pooler.submit(session, statement);
    return statement.id;
}

void PoolerFixture::answer(StatementResult result) {
    const ConnectionId connection = connector.sent.front().connection;
    connector.sent.erase(connector.sent.begin());
    pooler.onResult(connection, std::move(result));
}

void PoolerFixture::succeed(OpTime position, SessionState state) {
    StatementResult result;
    result.signature = "sig";
    result.position = position;
    result.state = state;
    answer(result);
}

void PoolerFixture::refuse(StatementFault fault, SessionState state) {
    StatementResult result;
    result.error = StatementError{fault, "refused"};
    result.state = state;
    answer(result);
}

void PoolerFixture::acknowledge(SessionState state) {
    StatementResult result;
    result.state = state;
    result.position = OpTime{1, 100};
    answer(result);
}

void PoolerFixture::reply(SessionId session, StatementResult result) {
    replies.push_back({session, std::move(result)});
    if (withinReply) {
        std::exchange(withinReply, nullptr)();
    }
}

void PoolerFixture::suspectPrimary(const GroupName& /*group*/, const ServerName& /*server*/,
                                   SuspicionReason reason) {
    suspicions.push_back(reason);
}

}  // namespace coralhoist::pooling
