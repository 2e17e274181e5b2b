#include "pooling/CapacityShares.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace coralhoist::pooling {
namespace {

/** A statement that found no room is assumed to be still queued for this time: the pooler retries
 * each queued statement every 50 ms. */
constexpr Duration kStillQueuedFor = std::chrono::milliseconds(120);
/** The part of a rank's demand that fills the slots for up to this time is served before higher
 * ranks. The time is about that of one statement. With a longer time, queued statements of a low
 * rank would wait behind running statements of a high one. */
constexpr Duration kRankHorizon = std::chrono::milliseconds(50);
/** A turn that is used late by no more than this does not delay the next one: the pooler checks its
 * queue at least every 50 ms. */
constexpr Duration kLateTurn = std::chrono::milliseconds(50);
/** A change of demand by less than one part in this many is not reported at once. */
constexpr int kNoticeablePart = 4;

Duration sumOf(const std::vector<Duration>& demand) {
    return std::accumulate(demand.begin(), demand.end(), Duration(0));
}

Duration demandAt(const std::vector<Duration>& demand, std::size_t rank) {
    return rank < demand.size() ? demand[rank] : Duration(0);
}

double ratio(Duration part, Duration whole) {
    return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

bool differs(Duration now, Duration before) {
    const Duration change = now > before ? now - before : before - now;
    return change * kNoticeablePart > before;
}

}  // namespace

void CapacityShares::noteNoRoom(TimePoint now) {
    _queuedUntil = now + kStillQueuedFor;
}

void CapacityShares::noteRefused(const ServerName& server, TimePoint now) {
    _refusedBy.insert(server);
    _lacksRoomUntil = now + kOverloadEndsAfter;
}

bool CapacityShares::take(const LoadReport& report, const std::vector<NodeName>& executors,
                          TimePoint now) {
    if (std::find(executors.begin(), executors.end(), report.sender) == executors.end()) {
        return false;
    }
    _reports[report.sender] = {report.demandByRank, report.crowded, now};
    return true;
}

void CapacityShares::update(const std::vector<NodeName>& executors, OwnLoad load, TimePoint now) {
    _others = executors.size();
    _load = std::move(load);
    std::erase_if(_reports, [&](const auto& entry) {
        const bool executes =
            std::find(executors.begin(), executors.end(), entry.first) != executors.end();
        return !executes || !isFresh(entry.second, now);
    });
    const double equalPart = _load.taken / static_cast<double>(_others + 1);
    const bool queued = now < _queuedUntil;
    if (queued && static_cast<double>(_load.statements) > equalPart) {
        _lacksRoomUntil = now + kOverloadEndsAfter;
    }
    if (!isOverloaded(now)) {
        _overloadedSince.reset();
        _inForce = false;
        _turns.clear();
        _refusedBy.clear();
        return;
    }
    _overloadedSince = _overloadedSince.value_or(now);
    _inForce = now - *_overloadedSince >= kSettling && exceedsServers(now);
}

/** @return whether all executors together have more statements than the servers take at once;
 * executors without a report are assumed to use an equal part. */
bool CapacityShares::exceedsServers(TimePoint now) {
    const Duration own = sumOf(_load.demandByRank);
    if (_load.statements > 0) {
        _statementTime = own / static_cast<Duration::rep>(_load.statements);
    }
    const double known = ratio(sumOf(demandOfAll(now)), _statementTime);
    return known > _load.taken * knownPart(now);
}

bool CapacityShares::isOverloaded(TimePoint now) const {
    const auto reportsOverload = [&](const auto& entry) {
        return entry.second.crowded && isFresh(entry.second, now);
    };
    return _others > 0 &&
           (lacksRoom(now) || std::any_of(_reports.begin(), _reports.end(), reportsOverload));
}

bool CapacityShares::takeReportDue(TimePoint now) {
    const Duration since = now - _lastReportAt;
    const bool due = since >= kRepeatEvery || (since >= kReportEvery && hasChanged());
    if (!due || !isOverloaded(now)) {
        return false;
    }
    _lastReported = _load.demandByRank;
    _lastReportAt = now;
    return true;
}

bool CapacityShares::hasChanged() const {
    const std::vector<Duration>& own = _load.demandByRank;
    const std::size_t ranks = std::max(own.size(), _lastReported.size());
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        if (differs(demandAt(own, rank), demandAt(_lastReported, rank))) {
            return true;
        }
    }
    return false;
}

std::size_t CapacityShares::reportCount(TimePoint now) const {
    return static_cast<std::size_t>(
        std::count_if(_reports.begin(), _reports.end(),
                      [&](const auto& entry) { return isFresh(entry.second, now); }));
}

/** @return the fraction of all executors whose demand is known. */
double CapacityShares::knownPart(TimePoint now) const {
    return static_cast<double>(reportCount(now) + 1) / static_cast<double>(_others + 1);
}

/** @return the known demand of all executors, by rank. */
std::vector<Duration> CapacityShares::demandOfAll(TimePoint now) const {
    std::vector<Duration> all = _load.demandByRank;
    for (const auto& [name, received] : _reports) {
        if (!isFresh(received, now)) {
            continue;
        }
        all.resize(std::max(all.size(), received.demandByRank.size()));
        for (std::size_t rank = 0; rank < received.demandByRank.size(); ++rank) {
            all[rank] += received.demandByRank[rank];
        }
    }
    return all;
}

/** @return this executor's share of a server, from 0 to 1. */
double CapacityShares::partOf(std::uint32_t slots, TimePoint now) const {
    const std::vector<Duration>& own = _load.demandByRank;
    const std::vector<Duration> all = demandOfAll(now);
    const Duration whole = sumOf(all);
    if (whole == Duration(0)) {
        return 1 / static_cast<double>(_others + 1);
    }
    double left = 1;
    double part = 0;
    for (std::size_t rank = 0; rank < all.size() && left > 0; ++rank) {
        if (all[rank] == Duration(0)) {
            continue;
        }
        const double ranksPart = std::min(left, ratio(all[rank], kRankHorizon * slots));
        part += ranksPart * ratio(demandAt(own, rank), all[rank]);
        left -= ranksPart;
    }
    part += left * ratio(sumOf(own), whole);
    return part * knownPart(now);
}

bool CapacityShares::limits(const SharedServer& server) const {
    return _inForce && (server.primary || _refusedBy.contains(server.name));
}

double CapacityShares::limitAt(const SharedServer& server, TimePoint now) const {
    if (!limits(server)) {
        return std::numeric_limits<double>::infinity();
    }
    return partOf(server.slots, now) * std::max(1.0, server.taken);
}

/** @return the interval between two turns at which a fraction of a statement is served on average.
 */
Duration CapacityShares::intervalOf(const SharedServer& server, double fraction) const {
    const double turns = ratio(server.latency, kLongestTurn);
    return fraction <= turns ? kLongestTurn
                             : std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(server.latency) / fraction);
}

bool CapacityShares::admits(const SharedServer& server, std::uint32_t inflight,
                            TimePoint now) const {
    if (!limits(server)) {
        return true;
    }
    const double bound = limitAt(server, now);
    const double whole = std::floor(bound);
    if (inflight + 1 <= whole) {
        return true;
    }
    if (inflight > whole) {
        return false;
    }
    const auto found = _turns.find(server.name);
    return found == _turns.end() || now - found->second.last >= intervalOf(server, bound - whole);
}

void CapacityShares::noteSent(const SharedServer& server, std::uint32_t inflight, TimePoint now) {
    if (!limits(server)) {
        return;
    }
    const double bound = limitAt(server, now);
    const double whole = std::floor(bound);
    if (inflight + 1 <= whole) {
        return;
    }
    const Duration interval = intervalOf(server, bound - whole);
    Turns& turns = _turns[server.name];
    const TimePoint due = turns.last + interval;
    const bool late = due <= now && now - due <= kLateTurn;
    turns.last = late ? due : now;
}

std::optional<TimePoint> CapacityShares::takeTurnWake(const SharedServer& server, TimePoint now) {
    const auto found = _turns.find(server.name);
    if (!limits(server) || found == _turns.end()) {
        return std::nullopt;
    }
    const double bound = limitAt(server, now);
    const TimePoint due = found->second.last + intervalOf(server, bound - std::floor(bound));
    if (due <= now || found->second.wakeAt > now) {
        return std::nullopt;
    }
    found->second.wakeAt = due;
    return due;
}

}  // namespace coralhoist::pooling
