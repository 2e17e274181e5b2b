#include "lab/database/Server.h"

#include <algorithm>
#include <utility>

namespace coralhoist::lab::database {
namespace {

constexpr OpTime kLogStart{1, 0x1000000};
constexpr LogPosition kEntryHeaderBytes = 64;
constexpr LogPosition kAlignment = 8;

/** @return the length that an entry takes in the log. */
LogPosition sizeOfEntry(const std::vector<LoggedStatement>& statements) {
    LogPosition size = kEntryHeaderBytes;
    for (const LoggedStatement& logged : statements) {
        size += logged.statement->sql.size();
    }
    return (size + kAlignment - 1) / kAlignment * kAlignment;
}

}  // namespace

Server::Server(TimerQueue& timers, StatementAnalyzer& analyzer, const GroupOptions& group,
               const ServerOptions& options, std::uint64_t randomSeed, Appended appended)
    : _timers(timers),
      _analyzer(analyzer),
      _group(group),
      _options(options),
      _random(randomSeed),
      _appended(std::move(appended)),
      _log(kLogStart),
      _replayed(kLogStart.position),
      _lastContact(timers.now()),
      _replayLag(group.replayLag),
      _executionSlots(timers, group.limits.executionSlots),
      _listener(*this, options, group.zoneDelays, randomSeed) {}

Server::~Server() {
    if (_replayTimer) {
        _timers.cancel(*_replayTimer);
    }
}

std::optional<SqlError> Server::applyInitial(const LogEntryPointer& entry) {
    _log.append(entry);
    _replayed = entry->opTime.position;
    return _storage.apply(*entry);
}

void Server::countServed(ServedKind kind) {
    ++_counters.served[static_cast<std::size_t>(kind)];
    if (_isLeaving && (kind == ServedKind::Read || kind == ServedKind::Write)) {
        ++_counters.servedSinceLeave;
    }
}

LogPosition Server::commit(std::vector<LoggedStatement> statements, std::int64_t nowMicroseconds) {
    ++_counters.committedWrites;
    append(std::move(statements), nowMicroseconds);
    return _log.end().position;
}

void Server::append(std::vector<LoggedStatement> statements, std::int64_t nowMicroseconds) {
    auto entry = std::make_shared<LogEntry>();
    entry->previous = _log.end().position;
    entry->opTime = {_term, entry->previous + sizeOfEntry(statements)};
    entry->nowMicroseconds = nowMicroseconds;
    entry->statements = std::move(statements);
    _log.append(entry);
    replay(*entry);
    _appended(*this);
}

void Server::replay(const LogEntry& entry) {
    const std::optional<SqlError> error = _storage.apply(entry);
    if (error) {
        qCritical("server %s: replay diverged: %s", name().value().c_str(), error->message.c_str());
        if (_isPrimary) {
            _storage.rebuildCommitted();
        }
    }
    _replayed = entry.opTime.position;
}

bool Server::takeAnswerLoss() {
    if (_answersToLose == 0) {
        return false;
    }
    --_answersToLose;
    return true;
}

bool Server::mayAnswerCommit(LogPosition position) const {
    if (_group.commitMode == CommitMode::Local) {
        return true;
    }
    const auto received =
        std::count_if(_acknowledged.begin(), _acknowledged.end(),
                      [position](const auto& each) { return each.second >= position; });
    // This server is one of the majority.
    return static_cast<std::size_t>(received) + 1 > _group.servers.size() / 2;
}

MajorityWaitId Server::awaitCommit(LogPosition position, std::function<void()> reached) {
    const MajorityWaitId id(++_lastWait);
    _majorityWaits.push_back({id, position, std::move(reached)});
    return id;
}

void Server::cancelAwait(MajorityWaitId wait) {
    std::erase_if(_majorityWaits, [wait](const MajorityWait& each) { return each.id == wait; });
}

void Server::onAcknowledged(const ServerName& replica, LogPosition position) {
    if (!_isPrimary) {
        return;
    }
    LogPosition& known = _acknowledged[replica];
    known = std::max(known, position);
    answerMajorityWaits();
}

void Server::answerMajorityWaits() {
    // Positions grow along the list, so the first that is not reached ends the search. Each call
    // may change the list.
    while (!_majorityWaits.empty() && mayAnswerCommit(_majorityWaits.front().position)) {
        const MajorityWait wait = std::move(_majorityWaits.front());
        _majorityWaits.erase(_majorityWaits.begin());
        wait.reached();
    }
}

void Server::promote(Term term) {
    for (const PendingReplay& pending : std::exchange(_pendingReplay, {})) {
        replay(*pending.entry);
    }
    _storage.becomePrimary();
    _acknowledged.clear();
    _term = term;
    _votedTerm = term;
    _isPrimary = true;
    _writeLock.setSuspended(false);
    // Opens the term, so that the log ends in it even before the first write.
    append({}, 0);
}

void Server::stepDown() {
    if (!_isPrimary) {
        return;
    }
    _isPrimary = false;
    _lastContact = _timers.now();
    _listener.terminateAll(true);
    _storage.becomeReplica();
    _writeLock.setSuspended(false);
    _writeLock.revoke();
}

void Server::follow(Server& primary) {
    _votedTerm = primary.term();
    noteContact();
    stepDown();
    if (!primary._log.contains(_log.end())) {
        copyFrom(primary);
    }
    _term = primary.term();
}

void Server::copyFrom(Server& primary) {
    _storage.copyFrom(primary._storage);
    _pendingReplay.clear();
    _log = primary._log;
    _replayed = _log.end().position;
}

bool Server::receive(LogEntryPointer entry) {
    if (entry->previous != _log.end().position) {
        return false;
    }
    _log.append(entry);
    if (_replayLag <= Duration::zero() && _pendingReplay.empty()) {
        replay(*entry);
        return true;
    }
    _pendingReplay.push_back({_timers.now() + _replayLag, std::move(entry)});
    armReplay();
    return true;
}

void Server::setReplayLag(Duration lag) {
    _replayLag = lag;
    // Entries that wait for a longer lag become due earlier.
    const TimePoint latest = _timers.now() + lag;
    for (PendingReplay& pending : _pendingReplay) {
        pending.due = std::min(pending.due, latest);
    }
    if (_replayTimer) {
        _timers.cancel(*std::exchange(_replayTimer, std::nullopt));
    }
    armReplay();
}

void Server::armReplay() {
    if (_replayTimer || _pendingReplay.empty()) {
        return;
    }
    _replayTimer = _timers.schedule(_pendingReplay.front().due - _timers.now(), [this] {
        _replayTimer.reset();
        replayDue();
    });
}

void Server::replayDue() {
    const TimePoint now = _timers.now();
    while (!_pendingReplay.empty() && _pendingReplay.front().due <= now) {
        const LogEntryPointer entry = std::move(_pendingReplay.front().entry);
        _pendingReplay.pop_front();
        replay(*entry);
    }
    armReplay();
}

void Server::cut(CutScope scope) {
    _isCut = true;
    _isCutFromClients = scope == CutScope::Everything;
    updateFrozen();
}

void Server::heal() {
    _isCut = false;
    _isCutFromClients = false;
    noteContact();
    updateFrozen();
}

void Server::setPaused(bool paused) {
    _isPaused = paused;
    noteContact();
    updateFrozen();
}

void Server::updateFrozen() {
    _listener.setFrozen(_isPaused || _isCutFromClients);
}

void Server::crash() {
    _isAlive = false;
    _listener.stop();
    stepDown();
}

Status Server::restart() {
    if (_isAlive) {
        return Status::ok();
    }
    Status status = _listener.listen(_group.address);
    if (status.isOk()) {
        _isAlive = true;
        _isLeaving = false;
        noteContact();
        updateFrozen();
    }
    return status;
}

void Server::setLeaving() {
    _isLeaving = true;
    _counters.servedSinceLeave = 0;
}

}  // namespace coralhoist::lab::database
