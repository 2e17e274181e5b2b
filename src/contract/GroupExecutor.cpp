#include "contract/GroupExecutor.h"

#include <utility>

#include "contract/ExecutorCore.h"

namespace coralhoist::contract {

GroupExecutor::GroupExecutor(settings::GroupSettings settings, const Clock& clock,
                             RandomSource& random, BackendConnector& connector, ExecutorKnobs knobs)
    : _core(std::make_unique<ExecutorCore>(std::move(settings), clock, random, connector, knobs)) {}

GroupExecutor::~GroupExecutor() = default;

void GroupExecutor::submit(ExecutionRequest request, ResponseSink& sink) {
    _core->submit(std::move(request), sink);
}

void GroupExecutor::resume(RequestId id) {
    _core->resume(id);
}

void GroupExecutor::cancel(RequestId id) {
    _core->cancel(id);
}

void GroupExecutor::endSession(SessionId session) {
    _core->endSession(session);
}

void GroupExecutor::onOpened(ConnectionId connection) {
    _core->onOpened(connection);
}

void GroupExecutor::onOpenFailed(ConnectionId connection, const std::string& /*sqlState*/,
                                 const std::string& /*message*/) {
    _core->onOpenFailed(connection);
}

void GroupExecutor::onForwardBytes(ConnectionId connection, std::size_t commandIndex,
                                   std::string bytes) {
    _core->onForwardBytes(connection, commandIndex, std::move(bytes));
}

void GroupExecutor::onCommandEnded(ConnectionId connection, std::size_t commandIndex,
                                   CommandOutcome outcome) {
    _core->onCommandEnded(connection, commandIndex, std::move(outcome));
}

void GroupExecutor::onProgramEnded(ConnectionId connection, ConnectionState state) {
    _core->onProgramEnded(connection, state);
}

void GroupExecutor::onLost(ConnectionId connection, bool sent, const std::string& message) {
    _core->onLost(connection, sent, message);
}

void GroupExecutor::applySettings(settings::GroupSettings settings) {
    _core->applySettings(std::move(settings));
}

void GroupExecutor::setConnectionShare(ConnectionShare share) {
    _core->setConnectionShare(share);
}

void GroupExecutor::onTermHint(Term term) {
    _core->onTermHint(term);
}

void GroupExecutor::onTick(TimePoint /*now*/) {
    _core->onTick();
}

std::optional<TimePoint> GroupExecutor::nextTick() const {
    return _core->nextTick();
}

void GroupExecutor::drain() {
    _core->drain();
}

bool GroupExecutor::isDrained() const {
    return _core->isDrained();
}

ExecutorStatistics GroupExecutor::statistics() const {
    return _core->statistics();
}

GroupReport GroupExecutor::status() const {
    return _core->status();
}

}  // namespace coralhoist::contract
