#include "lab/pooled/PooledJudge.h"

#include <algorithm>
#include <optional>

namespace coralhoist::pooled {
namespace {

/** Holders must not take turns within this time. */
constexpr Duration kHolderTime = std::chrono::milliseconds(3000);
/** A log that lacks an old commit lacks the later ones too: so many of the last are looked at. */
constexpr std::size_t kLooksBack = 400;

}  // namespace

void PooledJudge::onAcknowledged(CommitId commit, std::uint64_t session, TimePoint now) {
    _acknowledged[commit] = {session, now};
    _order.push_back(commit);
    if (_byReplaced.contains(commit)) {
        fail("ONE: commit " + std::to_string(commit) + " of a replaced primary was acknowledged");
    }
}

Duration PooledJudge::longestWriteGap(TimePoint since) const {
    Duration longest{0};
    std::optional<TimePoint> last;
    for (const CommitId commit : _order) {
        const auto found = _acknowledged.find(commit);
        if (found == _acknowledged.end()) {
            continue;
        }
        const TimePoint at = found->second.at;
        longest = last ? std::max(longest, at - *last) : longest;
        if (at >= since) {
            last = at;
        }
    }
    return longest;
}

void PooledJudge::onCommitted(const LogPlace& place, const GroupName& group) {
    if (!_commits.emplace(place.commit, Commit{place, group}).second) {
        fail("TWICE: commit " + std::to_string(place.commit) + " took effect twice");
    }
}

void PooledJudge::onReadRan(const ReadRun& read,
                            const std::function<bool(const LogPlace&)>& isVisible) {
    ++_reads;
    const std::size_t first = _order.size() > kLooksBack ? _order.size() - kLooksBack : 0;
    for (std::size_t index = first; index < _order.size(); ++index) {
        const auto found = _acknowledged.find(_order[index]);
        if (found == _acknowledged.end()) {
            continue;
        }
        const auto& [commit, acknowledgement] = *found;
        const bool own = acknowledgement.session == read.session;
        const bool strict = read.promise == ReadPromise::Current ||
                            (own && read.promise == ReadPromise::OwnAndBounded);
        const TimePoint bound = strict ? read.since : read.since - read.staleness;
        const Commit& known = _commits.at(commit);
        if (acknowledgement.at < bound && known.group == read.group && !isVisible(known.place)) {
            fail("STALE: a read of session " + std::to_string(read.session) + " misses commit " +
                 std::to_string(commit));
        }
    }
}

void PooledJudge::onPromoted(const std::set<CommitId>& commits, TimePoint /*now*/,
                             const GroupName& group) {
    for (auto it = _acknowledged.begin(); it != _acknowledged.end();) {
        const auto known = _commits.find(it->first);
        const bool isElsewhere = known != _commits.end() && known->second.group != group;
        if (isElsewhere || commits.contains(it->first)) {
            ++it;
            continue;
        }
        fail("LOST: commit " + std::to_string(it->first) + " isn't in the promoted log");
        it = _acknowledged.erase(it);
    }
}

void PooledJudge::onFenceSent(const GroupName& group, const std::string& holder,
                              std::uint64_t fence) {
    Call& newest = _newestCalls[group];
    if (newest.fence > fence) {
        fail("ONE: fence " + std::to_string(fence) + " after " + std::to_string(newest.fence));
        return;
    }
    if (newest.fence == fence && newest.holder != holder) {
        fail("ONE: two holders used fence " + std::to_string(fence));
    }
    newest.fence = fence;
    newest.holder = holder;
}

void PooledJudge::onPromoteCalled(const GroupName& group, const std::string& holder,
                                  std::uint64_t fence, TimePoint now) {
    onFenceSent(group, holder, fence);
    std::vector<Call>& calls = _calls[group];
    const auto other = std::find_if(calls.rbegin(), calls.rend(),
                                    [&holder](const Call& call) { return call.holder != holder; });
    const bool inTurn =
        other != calls.rend() && std::any_of(other, calls.rend(), [&](const Call& call) {
            return call.holder == holder && now - call.at < kHolderTime;
        });
    if (inTurn) {
        fail("ONE: holders took turns within the time of a lease");
    }
    calls.push_back({holder, fence, now});
}

void PooledJudge::onEnd(const std::set<CommitId>& commits) {
    for (const CommitId commit : _promisedNothing) {
        if (commits.contains(commit)) {
            fail("REFUSED: commit " + std::to_string(commit) + " was kept against the promise");
        }
    }
    for (const auto& [commit, acknowledgement] : _acknowledged) {
        if (!commits.contains(commit)) {
            fail("LOST: commit " + std::to_string(commit) + " is gone at the end");
        }
    }
}

}  // namespace coralhoist::pooled
