/** Judges a simulated run by what servers ran and what callers were told. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Time.h"

namespace coralhoist::pooled {

/** Number of a write's or transaction's commit; 0 is none. */
using CommitId = std::uint64_t;

/** What a read of a service may miss. */
enum class ReadPromise {
    Current,      /**< Nothing that was acknowledged before it. */
    Bounded,      /**< Commits acknowledged less than the staleness before it. */
    OwnAndBounded /**< As Bounded, but none of its own session's. */
};

/** A read as it ran at a server. */
struct ReadRun {
    std::uint64_t session = 0;
    ReadPromise promise = ReadPromise::Current;
    Duration staleness{0};
    /** First moment of the read or of its transaction. */
    TimePoint since{};
    /** Group on whose log it ran. */
    GroupName group = {};
};

/** Where a commit stands in the logs that have it. */
struct LogPlace {
    OpTime position;
    CommitId commit = 0;

    bool operator==(const LogPlace&) const = default;
};

/** Collects a run and lists what broke a promise. */
class PooledJudge {
public:
    void onAcknowledged(CommitId commit, std::uint64_t session, TimePoint now);
    /** The caller was promised that nothing of the commit is kept. */
    void onPromisedNothing(CommitId commit) { _promisedNothing.insert(commit); }
    void onCommitted(const LogPlace& place, const GroupName& group = {});
    /** @param isVisible whether the log on which the read ran has a commit. */
    void onReadRan(const ReadRun& read, const std::function<bool(const LogPlace&)>& isVisible);
    /** A server becomes the primary of its group with these commits in its log. */
    void onPromoted(const std::set<CommitId>& commits, TimePoint now, const GroupName& group = {});
    /** A token arrived with a call, whether the call changes anything or not. */
    void onFenceSent(const GroupName& group, const std::string& holder, std::uint64_t fence);
    /** A promotion was called. */
    void onPromoteCalled(const GroupName& group, const std::string& holder, std::uint64_t fence,
                         TimePoint now);
    /** A commit of a replaced primary was answered with success. */
    void onAnsweredByReplaced(CommitId commit) { _byReplaced.insert(commit); }
    /** Commits that are in the logs of the primaries at the end. */
    void onEnd(const std::set<CommitId>& commits);
    void fail(const std::string& what) { _violations.push_back(what); }

    const std::vector<std::string>& violations() const { return _violations; }
    std::size_t acknowledged() const { return _acknowledged.size(); }
    std::size_t reads() const { return _reads; }
    /** @return the longest time between two acknowledgements of which the first is not before. */
    Duration longestWriteGap(TimePoint since) const;

private:
    struct Acknowledgement {
        std::uint64_t session = 0;
        TimePoint at{};
    };
    struct Call {
        std::string holder;
        std::uint64_t fence = 0;
        TimePoint at{};
    };

    std::map<CommitId, Acknowledgement> _acknowledged;
    std::set<CommitId> _promisedNothing;
    std::set<CommitId> _byReplaced;
    /** Where a commit took effect. */
    struct Commit {
        LogPlace place;
        GroupName group;
    };

    std::map<CommitId, Commit> _commits;
    /** Acknowledged commits in the order of their acknowledgements. */
    std::vector<CommitId> _order;
    std::map<GroupName, std::vector<Call>> _calls;
    /** The call with the highest token that has arrived. */
    std::map<GroupName, Call> _newestCalls;
    std::vector<std::string> _violations;
    std::size_t _reads = 0;
};

}  // namespace coralhoist::pooled
