#include "tests/tenancy/GatedNode.h"

#include <utility>

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTries = 3;
constexpr std::array<milliseconds, kSimulatedRanks> kObjectives{
    milliseconds(200), milliseconds(400), milliseconds(1500)};
constexpr std::array<milliseconds, kSimulatedRanks> kTimeouts{
    milliseconds(1000), milliseconds(1000), milliseconds(3000)};

ServiceName serviceOf(std::uint32_t rank) {
    return ServiceName("rank" + std::to_string(rank));
}

std::shared_ptr<const pooling::ServiceCatalog> catalogWith(bool several) {
    auto catalog = std::make_shared<pooling::ServiceCatalog>();
    for (std::uint32_t rank = 0; rank < kSimulatedRanks; ++rank) {
        settings::ServiceSettings service;
        service.name = serviceOf(rank);
        service.rank = several ? rank : 0;
        service.latencyObjective = kObjectives[rank];
        service.statementTimeout = kTimeouts[rank];
        catalog->services[service.name] = {GroupName("g"), service};
    }
    return catalog;
}

}  // namespace

std::shared_ptr<const pooling::ServiceCatalog> threeRanks() {
    return catalogWith(true);
}

std::shared_ptr<const pooling::ServiceCatalog> oneRank() {
    return catalogWith(false);
}

GatedNode::GatedNode(const Clock& clock, QuotaExchange& quotas, CallersServed& served,
                     std::vector<TimePoint>& runs,
                     const std::shared_ptr<const TenantDirectory>& tenants,
                     const std::shared_ptr<const pooling::ServiceCatalog>& catalog, unsigned seed)
    : _clock(clock),
      _served(served),
      _runs(runs),
      _pooler(clock, _servers, *this, {}),
      _gate(clock, _pooler, quotas, [&clock] { return clock.now(); }, {seconds(3), seconds(5)}),
      _random(seed) {
    _pooler.applyCatalog(catalog);
    applyTenants(tenants);
}

void GatedNode::applyTenants(const std::shared_ptr<const TenantDirectory>& tenants) {
    _gate.applyTenants(tenants);
}

void GatedNode::ask(std::uint32_t rank) {
    const SessionId session = *_gate.openSession(serviceOf(rank), "key").session;
    ++_served.ranks[rank].asked;
    _callers[session] = {rank, _clock.now(), 0, false};
    submit(session);
}

void GatedNode::leave() {
    if (!_callers.empty()) {
        end(std::prev(_callers.end())->first);
    }
}

void GatedNode::submit(SessionId session) {
    ++_callers.at(session).tries;
    pooling::Statement statement;
    statement.id = std::to_string(++_lastStatement);
    statement.verb = pooling::StatementVerb::Begin;
    _gate.submit(session, statement);
}

void GatedNode::reply(SessionId session, pooling::StatementResult result) {
    const auto found = _callers.find(session);
    if (found == _callers.end() || found->second.isDone) {
        return;
    }
    Caller& caller = found->second;
    CallersServed::Rank& served = _served.ranks[caller.rank];
    const TimePoint now = _clock.now();
    if (!result.error) {
        caller.isDone = true;
        ++served.ran;
        served.inTime += now - caller.firstAsked <= kObjectives[caller.rank] ? 1 : 0;
        _runs.push_back(now);
        _returns.emplace(now, session);
        return;
    }
    ++served.refusals;
    served.immediateRetries += result.error->retryAfter <= milliseconds(1) ? 1 : 0;
    if (caller.tries == kTries) {
        caller.isDone = true;
        ++served.refused;
        _returns.emplace(now, session);
        return;
    }
    const milliseconds pause(std::uniform_int_distribution<int>(50, 180)(_random));
    _returns.emplace(now + pause, session);
}

void GatedNode::end(SessionId session) {
    _callers.erase(session);
    _gate.endSession(session);
}

void GatedNode::step(TimePoint now) {
    while (!_returns.empty() && _returns.begin()->first <= now) {
        const SessionId session = _returns.extract(_returns.begin()).mapped();
        const auto caller = _callers.find(session);
        if (caller == _callers.end()) {
            continue;
        }
        if (caller->second.isDone) {
            end(session);
        } else {
            submit(session);
        }
    }
    const std::optional<TimePoint> next = _gate.nextTick();
    if (next && *next <= now) {
        _gate.onTick(now);
    }
}

}  // namespace coralhoist::tenancy
