/** How the leader of a shard chooses its standby, replicates to it, drops it, and hands over to it.
 */
#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "tenancy/ShardLeader.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;

/** Time for which a node is not chosen as standby after replication to it has failed. */
constexpr Duration kStandbyPause = std::chrono::seconds(2);
/** A leader that could not write the record for kOfferAfter offers leadership to its standby, and
 * repeats the offer every kOfferEvery. Half of the lease is then left to find a node that can write
 * the record. */
constexpr Duration kOfferAfter = std::chrono::seconds(3);
constexpr Duration kOfferEvery = milliseconds(500);
/** Interval between attempts to find a standby while there is none. */
constexpr Duration kStandbyRetry = milliseconds(500);

}  // namespace

void ShardLeader::chooseStandby(TimePoint now) {
    _nextStandby = now + kStandbyRetry;
    std::erase_if(_failedStandbys,
                  [now](const auto& entry) { return now - entry.second >= kStandbyPause; });
    const pooling::ProxyNode* chosen = nullptr;
    for (const pooling::ProxyNode& node : _context.nodes()) {
        const bool usable = node.name != _context.self.node && _context.calls.canReach(node.name) &&
                            !_failedStandbys.contains(node.name);
        if (usable && node.zone == _context.zone) {
            chosen = &node;
            break;
        }
        if (usable && chosen == nullptr) {
            chosen = &node;
        }
    }
    if (chosen == nullptr) {
        return;
    }
    _standby = {chosen->name, {}};
    _standbyState = StandbyState::Copying;
    _copy = ++_context.lastCopy;
    _lastUpdate = 0;
    _acknowledgedUpdate = 0;
    LedgerUpdate update;
    update.whole = true;
    for (auto& [tenant, ledger] : _ledgers) {
        ledger.copyTo(update.batches, tenant, now);
    }
    sendUpdate(std::move(update), std::nullopt);
}

void ShardLeader::sendUpdate(LedgerUpdate update, std::optional<UnacknowledgedGrant> grant) {
    update.shard = _context.shard;
    update.leaderIncarnation = _context.self.incarnation;
    update.copy = _copy;
    update.sequence = ++_lastUpdate;
    const std::uint64_t number = update.sequence;
    if (grant) {
        _unacknowledged[number] = std::move(*grant);
    }
    _context.calls.update(_standby.node, update,
                          [this, alive = std::weak_ptr<bool>(_alive), copy = _copy,
                           number](const std::optional<LedgerAck>& ack) {
                              if (!alive.expired()) {
                                  onAck(copy, number, ack);
                              }
                          });
}

void ShardLeader::onAck(std::uint64_t copy, std::uint64_t update,
                        const std::optional<LedgerAck>& ack) {
    if (_ended || copy != _copy) {
        // The acknowledgement belongs to a copy that was dropped.
        return;
    }
    if (!ack || !ack->accepted) {
        _successor = ack ? _standby.node : NodeName();
        loseStandby();
        return;
    }
    _acknowledgedUpdate = std::max(_acknowledgedUpdate, update);
    if (_standbyState == StandbyState::Copying) {
        _standby.incarnation = ack->incarnation;
        _standbyState = StandbyState::CatchingUp;
        _mustCatchUpTo = _lastUpdate;
    }
    if (const auto grant = _unacknowledged.extract(update)) {
        grant.mapped().reply(grant.mapped().response);
    }
    if (isCaughtUp()) {
        onTick(_context.clock.now());
    }
}

/** @return whether the record may name the standby, because it has every grant that was sent in a
 * response. */
bool ShardLeader::isCaughtUp() const {
    return _standbyState == StandbyState::CatchingUp && _acknowledgedUpdate >= _mustCatchUpTo;
}

/** Drops the standby. A standby that the record may name might lead by now, so grants stop until
 * the record no longer names it. */
void ShardLeader::loseStandby() {
    if (_standbyState == StandbyState::None || _standbyState == StandbyState::Leaving) {
        return;
    }
    _failedStandbys[_standby.node] = _context.clock.now();
    ++_context.statistics.standbysLost;
    LogEvent("tenancy", LogLevel::Info, "quota.standby_lost")
        .field("shard", _context.shard)
        .field("standby", _standby.node);
    // A standby that no version of the record has named can't take over, so its copy can be dropped
    // at once.
    const bool isNamed =
        _standbyState == StandbyState::Joining || _standbyState == StandbyState::InSync;
    if (isNamed && mayLackGrants(_context)) {
        // The standby may lead under a claim that the store has lost.
        abandon();
        return;
    }
    _standbyState = isNamed ? StandbyState::Leaving : StandbyState::None;
    _copy = 0;
    _standby = {};
    if (!isNamed) {
        answerUnacknowledged();
    }
    _nextStandby = TimePoint{};
    onTick(_context.clock.now());
}

/** Sends the responses that waited for an acknowledgement. No standby can take over any more, so no
 * standby has to hold these grants. */
void ShardLeader::answerUnacknowledged() {
    for (auto& [number, grant] : std::exchange(_unacknowledged, {})) {
        grant.reply(grant.response);
    }
}

/** @return whether to offer leadership to the standby, which may reach the store while this node
 * does not. */
bool ShardLeader::wantsToOffer(TimePoint now) const {
    return _standbyState == StandbyState::InSync && now - _savedAt >= kOfferAfter &&
           now - _offeredAt >= kOfferEvery && !isIdle(now);
}

/** Offers leadership to the standby. This node continues to grant for as long as its lease lasts
 * and the standby acknowledges grants, because the standby stops acknowledging them before it takes
 * over. */
void ShardLeader::offerLead(TimePoint now) {
    _offeredAt = now;
    LedgerUpdate update;
    update.offered = true;
    sendUpdate(std::move(update), std::nullopt);
}

}  // namespace coralhoist::tenancy
