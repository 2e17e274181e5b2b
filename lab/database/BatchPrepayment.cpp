/** How ProtocolSession charges the time of service of a pipelined batch. */
#include "lab/database/ProtocolSession.h"

namespace coralhoist::lab::database {

std::vector<StatementPointer> ProtocolSession::upcomingStatements() const {
    std::unordered_map<std::string, StatementPointer> prepared;
    std::unordered_map<std::string, StatementPointer> portals;
    std::vector<StatementPointer> upcoming;
    for (const WorkItem& item : _queue) {
        if (std::holds_alternative<SimpleEnd>(item)) {
            break;
        }
        if (const auto* simple = std::get_if<SimpleStatement>(&item)) {
            upcoming.push_back(simple->statement);
            continue;
        }
        const auto& message = std::get<pgwire::FrontendMessage>(item);
        if (std::holds_alternative<pgwire::Sync>(message) ||
            std::holds_alternative<pgwire::Query>(message)) {
            break;
        }
        if (const auto* parse = std::get_if<pgwire::Parse>(&message)) {
            const auto analysis = _host.analyzer().analyze(parse->sql);
            prepared[parse->statement] =
                analysis->statements.empty() ? nullptr : analysis->statements.front();
        } else if (const auto* bind = std::get_if<pgwire::Bind>(&message)) {
            const auto known = _prepared.find(bind->statement);
            const auto parsed = prepared.find(bind->statement);
            if (parsed != prepared.end()) {
                portals[bind->portal] = parsed->second;
            } else if (known != _prepared.end()) {
                portals[bind->portal] = known->second.statement;
            }
        } else if (const auto* execute = std::get_if<pgwire::Execute>(&message)) {
            const auto bound = portals.find(execute->portal);
            if (bound != portals.end() && bound->second) {
                upcoming.push_back(bound->second);
            }
        }
    }
    return upcoming;
}

// A transaction holds the server's one write lock from its first write to its commit. Charging a
// batch that writes as a whole, before its first statement, keeps the time of service out of the
// lock, so that pipelined transactions are served side by side as under PostgreSQL's row locks.
void ProtocolSession::prepayBatch(const AnalyzedStatement& first) {
    if (_isPrepaid || _queue.empty()) {
        return;
    }
    _isPrepaid = true;
    Duration total = _session.serviceTime(first);
    bool writes = SqlSession::needsLock(first);
    for (const StatementPointer& statement : upcomingStatements()) {
        total += _session.serviceTime(*statement);
        writes = writes || SqlSession::needsLock(*statement);
    }
    if (writes && total > _session.serviceTime(first)) {
        _session.prepay(total);
    }
}

}  // namespace coralhoist::lab::database
