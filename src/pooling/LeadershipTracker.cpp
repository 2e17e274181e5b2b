#include "pooling/LeadershipTracker.h"

#include <algorithm>
#include <tuple>

namespace coralhoist::pooling {
namespace {

/** Time after which a claim that the server contradicted is considered again. */
constexpr Duration kRefutation = std::chrono::milliseconds(300);

}  // namespace

bool announcesNewSuccessor(const PromotionNotice& before, const PromotionNotice& after) {
    return after.phase == PromotionPhase::Promoting &&
           (before.phase != after.phase || before.term != after.term ||
            before.successor != after.successor);
}

void LeadershipTracker::onDirectory(const ServerDirectory::Servers& servers, TimePoint now) {
    for (auto& [name, claim] : _claims) {
        claim.claims = false;
        claim.listed = false;
    }
    for (const auto& [name, listed] : servers) {
        Claim& claim = _claims[name];
        claim.listed = !listed.removed;
        claim.claims = claim.listed && listed.announcement.role == ServerRole::Primary;
        claim.version = listed.announcement.version;
    }
    std::erase_if(_claims,
                  [&servers](const auto& entry) { return !servers.contains(entry.first); });
    choose(now);
}

void LeadershipTracker::onPosition(const ServerName& server, OpTime position, TimePoint now) {
    Claim& claim = _claims[server];
    if (position.term <= claim.term) {
        return;
    }
    claim.term = position.term;
    _newestTerm = std::max(_newestTerm, position.term);
    choose(now);
}

void LeadershipTracker::onReadOnly(const ServerName& server, TimePoint now) {
    Claim& claim = _claims[server];
    claim.refutedVersion = claim.version;
    claim.refutedUntil = now + kRefutation;
    choose(now);
}

void LeadershipTracker::onNotice(const PromotionNotice& notice, TimePoint now) {
    if (notice.version < _notice.version) {
        return;
    }
    const bool announced = announcesNewSuccessor(_notice, notice);
    const bool otherSuccessor =
        notice.successor != _notice.successor || notice.base != _notice.base;
    _notice = notice;
    if (announced || otherSuccessor) {
        _recordedAt = now;
    }
    if (announced) {
        _announcedAt = now;
        _confirmedAt.reset();
        // This also applies to the present primary: another server may have led since without this
        // node noticing.
        _writableFrom = now + leaseAfterAnnouncement();
    }
    if (notice.phase != PromotionPhase::Preparing) {
        _newestTerm = std::max(_newestTerm, notice.term);
    }
    choose(now);
}

void LeadershipTracker::confirm(const Primary& primary, TimePoint at) {
    const bool same = _primary && _primary->server == primary.server;
    if (same && (!_confirmedAt || *_confirmedAt < at)) {
        _confirmedAt = at;
    }
}

void LeadershipTracker::confirmByRecord(const StoreVersion& recordVersion, TimePoint at) {
    const bool newest = _notice.version == recordVersion && _notice.phase == PromotionPhase::None;
    if (!_primary || !newest || !_notice.isConfirmed) {
        return;
    }
    confirm(*_primary, at);
    _writableFrom = std::min(_writableFrom, at);
}

bool LeadershipTracker::isCertainFor(TimePoint arrivedAt) const {
    return _primary && _confirmedAt && arrivedAt <= *_confirmedAt + kLeadershipLease;
}

bool LeadershipTracker::mayWrite(TimePoint now) const {
    return _primary && now >= _writableFrom && _notice.phase != PromotionPhase::Preparing;
}

bool LeadershipTracker::mayLackCommit(const ServerName& server, TimePoint sentAt,
                                      OpTime position) const {
    if (_notice.term == 0 || (server == _notice.successor && !isPromotedSince(sentAt))) {
        return false;
    }
    return !isInSuccessorsLog(position);
}

bool LeadershipTracker::isUsable(const ServerName& server, const Claim& claim,
                                 TimePoint now) const {
    const bool refuted =
        claim.version.exists() && claim.refutedVersion == claim.version && now < claim.refutedUntil;
    if (refuted || !claim.listed) {
        return false;
    }
    if (_notice.term == 0) {
        return claim.claims && mayLeadNewestTerm(claim);
    }
    if (server != _notice.successor) {
        return false;
    }
    if (_newestTerm > _notice.term) {
        return claim.claims && mayLeadNewestTerm(claim);
    }
    return claim.claims || _notice.phase != PromotionPhase::Promoting;
}

/** A server that has not reported a term yet may lead unless another server claims to be the
 * primary in the newest term. */
bool LeadershipTracker::mayLeadNewestTerm(const Claim& claim) const {
    if (claim.term > 0) {
        return claim.term >= _newestTerm;
    }
    return std::none_of(_claims.begin(), _claims.end(), [this](const auto& entry) {
        const Claim& other = entry.second;
        return other.claims && other.term > 0 && other.term >= _newestTerm;
    });
}

/** @return the time after an announcement in which an earlier primary may still be read. */
Duration LeadershipTracker::leaseAfterAnnouncement() const {
    return _notice.leasesExpired ? Duration(0) : kLeadershipLease;
}

void LeadershipTracker::choose(TimePoint now) {
    std::optional<Primary> best;
    std::tuple<Term, StoreVersion> bestRank;
    for (const auto& [name, claim] : _claims) {
        if (!isUsable(name, claim, now)) {
            continue;
        }
        const std::tuple<Term, StoreVersion> rank{claim.term, claim.version};
        if (!best || rank > bestRank) {
            best = Primary{name, claim.term};
            bestRank = rank;
        }
    }
    const bool sameServer = best && _primary && best->server == _primary->server;
    if (!sameServer) {
        _confirmedAt.reset();
        const bool announced = best && _announcedAt && best->server == _notice.successor;
        _writableFrom =
            announced ? *_announcedAt + leaseAfterAnnouncement() : now + kLeadershipLease;
    }
    _primary = best;
}

}  // namespace coralhoist::pooling
