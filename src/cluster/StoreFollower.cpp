#include "cluster/StoreFollower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/Log.h"

namespace coralhoist::cluster {
namespace {

using std::chrono::milliseconds;
using store::FeedAnswer;
using store::FeedQuestion;
using store::KindChanges;
using store::ObjectChanges;
using store::ObjectEvent;
using store::StoredObject;

/** A question without news is answered after this time. */
constexpr Duration kHold = milliseconds(300);
/** A node that has not answered by then is passed over: 0.6 s more than it may hold. */
constexpr Duration kPatience = milliseconds(900);
/**
 * Knowledge older than this is not taken. The shortest bound for a configuration is 3 s: a node
 * that reaches the store must not depend for that long on one that no longer does, so 1 s is left
 * for noticing it and for asking the store.
 */
constexpr Duration kOldestAnswer = milliseconds(2000);
/** Longest wait of the watches of a node that others ask: two levels that hold for 0.3 s each and a
 * store that takes 0.3 s for an answer stay below the above. */
constexpr Duration kReaderWait = milliseconds(600);
/** Pause after a node was lost. */
constexpr Duration kLossPause = milliseconds(100);

}  // namespace

/** One kind: the watch of the store and the table that both ways fill. */
class StoreFollower::KindFollower final : public store::WatchSink {
public:
    KindFollower(const FollowedKind& kind, const FollowerDependencies& dependencies, bool& news)
        : _watch(kind.name, dependencies.storeClient, dependencies.protocol, dependencies.clock,
                 dependencies.random, *this, kind.timing),
          _ownWait(kind.timing.wait),
          _sink(kind.sink),
          _news(news) {}

    void onList(const std::vector<StoredObject>& objects, std::uint64_t version) override {
        take(objects, version);
        _listedAt = _watch.confirmedAt();
    }
    void take(const std::vector<StoredObject>& objects, std::uint64_t version) {
        _table.takeList(objects, version);
        _news = true;
        _sink.onList(objects, version);
    }
    void onEvent(const ObjectEvent& event) override {
        _table.takeEvent(event);
        _news = true;
        _sink.onEvent(event);
    }
    void onReachable(bool reachable) override { _sink.onReachable(reachable); }

    void take(const ObjectChanges& changes) {
        _table.takeChanges(changes);
        _news = true;
        if (!changes.complete) {
            std::for_each(changes.events.begin(), changes.events.end(),
                          [this](const ObjectEvent& event) { _sink.onEvent(event); });
            return;
        }
        std::vector<StoredObject> objects;
        for (const ObjectEvent& event : changes.events) {
            objects.push_back(event.object);
        }
        _sink.onList(objects, changes.position);
    }

    /** @param forOthers other nodes depend on how far the watch has confirmed. */
    void followWatch(TimePoint now, bool forOthers) {
        _watch.setWait(forOthers ? std::min(_ownWait, kReaderWait) : _ownWait);
        _watch.onTick(now);
        // Its position moves on without changes, too.
        if (_table.isListed() && _watch.position()) {
            _table.advanceTo(*_watch.position());
        }
    }

    /** The watch goes on from what other nodes have told. */
    void resumeWatch() {
        if (_table.isListed()) {
            _watch.resumeFrom(_table.position());
        }
    }

    /** @return when the store was asked for the last list of all objects. */
    TimePoint listedAt() const { return _listedAt; }

    store::ObjectWatch& watch() { return _watch; }
    const store::ObjectTable& table() const { return _table; }

private:
    store::ObjectTable _table;
    store::ObjectWatch _watch;
    Duration _ownWait;
    TimePoint _listedAt{};
    store::WatchSink& _sink;
    bool& _news;
};

StoreFollower::StoreFollower(FollowerDependencies dependencies,
                             const std::vector<FollowedKind>& kinds)
    : _dependencies(std::move(dependencies)), _choice(_dependencies.random) {
    for (const FollowedKind& kind : kinds) {
        _kinds.push_back(std::make_unique<KindFollower>(kind, _dependencies, _news));
    }
}

StoreFollower::~StoreFollower() = default;

bool StoreFollower::isListed() const {
    return std::all_of(_kinds.begin(), _kinds.end(),
                       [](const auto& kind) { return kind->table().isListed(); });
}

bool StoreFollower::isReachable() const {
    return isFed() || std::all_of(_kinds.begin(), _kinds.end(),
                                  [](const auto& kind) { return kind->watch().isReachable(); });
}

/** @return a time not later than the moment up to which all changes of all kinds are known. */
TimePoint StoreFollower::confirmedAt() const {
    TimePoint oldest = TimePoint::max();
    for (const auto& kind : _kinds) {
        oldest = std::min(oldest, std::max(kind->watch().confirmedAt(), _fedConfirmedAt));
    }
    return oldest;
}

TimePoint StoreFollower::provenAt() const {
    return std::max(_provenAt, _kinds.front()->listedAt());
}

void StoreFollower::takeProven(const std::vector<StoredObject>& objects, std::uint64_t version,
                               TimePoint askedAt) {
    KindFollower& kind = *_kinds.front();
    if (!kind.table().isListed()) {
        return;
    }
    const std::uint64_t known = kind.table().newestVersion();
    const bool isNews = std::any_of(objects.begin(), objects.end(),
                                    [known](const auto& object) { return object.version > known; });
    if (isNews) {
        kind.take(objects, version);
    }
    _provenAt = std::max(_provenAt, askedAt);
}

NodeName StoreFollower::origin() const {
    return _fedBy ? _fedOrigin : _dependencies.self;
}

void StoreFollower::onFeedAsked(std::uint64_t asker, const FeedQuestion& question) {
    if (!isListed() || question.positions.size() != _kinds.size()) {
        _dependencies.answers.answerFeed(asker, std::nullopt);
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    const Asker waiting{asker, question, now};
    if (const std::optional<FeedAnswer> answer = newsFor(waiting, now)) {
        _dependencies.answers.answerFeed(asker, answer);
        return;
    }
    _askers.push_back(waiting);
}

std::optional<FeedAnswer> StoreFollower::newsFor(const Asker& asker, TimePoint now) const {
    FeedAnswer answer;
    answer.origin = origin();
    answer.ageWhenAsked = asker.askedAt - confirmedAt();
    answer.provenAgeWhenAsked = asker.askedAt - provenAt();
    for (std::size_t index = 0; index < _kinds.size(); ++index) {
        const auto changes = _kinds[index]->table().changesAfter(asker.question.positions[index]);
        if (changes) {
            answer.kinds.push_back({index, *changes});
        }
    }
    const bool isNews = !answer.kinds.empty() || answer.origin != asker.question.origin ||
                        now - asker.askedAt >= kHold;
    return isNews ? std::optional<FeedAnswer>(std::move(answer)) : std::nullopt;
}

void StoreFollower::answerAskers(TimePoint now) {
    const bool held = !_askers.empty() && now - _askers.front().askedAt >= kHold;
    if (!_news && !held) {
        return;
    }
    _news = false;
    std::erase_if(_askers, [this, now](const Asker& asker) {
        const std::optional<FeedAnswer> answer = newsFor(asker, now);
        if (answer) {
            _dependencies.answers.answerFeed(asker.id, answer);
        }
        return answer.has_value();
    });
}

void StoreFollower::askSource(TimePoint now) {
    const std::optional<NodeName> source = _choice.choose(
        _dependencies.readers.candidates(),
        [this](const NodeName& node) { return _dependencies.questions.canReach(node); }, now);
    if (!source) {
        if (_fedBy) {
            loseSource(now);
        }
        return;
    }
    FeedQuestion question;
    question.origin = origin();
    for (const auto& kind : _kinds) {
        question.positions.push_back(kind->table().isListed()
                                         ? std::optional<std::uint64_t>(kind->table().position())
                                         : std::nullopt);
    }
    _question = Question{++_lastQuestion, *source, now};
    _dependencies.questions.askForChanges(*source, _question->number, question);
}

bool StoreFollower::isUseful(const FeedAnswer& answer, const Question& question) const {
    const Duration age = _dependencies.clock.now() - (question.askedAt - answer.ageWhenAsked);
    const bool known =
        std::all_of(answer.kinds.begin(), answer.kinds.end(),
                    [this](const KindChanges& changes) { return changes.kind < _kinds.size(); });
    return known && age <= kOldestAnswer && answer.origin != _dependencies.self;
}

void StoreFollower::onFeedAnswer(std::uint64_t question, const std::optional<FeedAnswer>& answer) {
    if (!_question || _question->number != question) {
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    if (!answer || !isUseful(*answer, *_question)) {
        loseSource(now);
        return;
    }
    const Question answered = *std::exchange(_question, std::nullopt);
    if (_fedBy != answered.node || _fedOrigin != answer->origin) {
        LogEvent("cluster", LogLevel::Info, "feed.followed")
            .field("node", answered.node)
            .field("origin", answer->origin)
            .field("age_ms",
                   std::chrono::duration_cast<milliseconds>(answer->ageWhenAsked).count());
        _news = true;
    }
    _choice.noteGood(answered.node);
    _fedBy = answered.node;
    _fedOrigin = answer->origin;
    _fedConfirmedAt = std::max(_fedConfirmedAt, answered.askedAt - answer->ageWhenAsked);
    _nextQuestion = now;
    take(*answer);
    if (answer->provenAgeWhenAsked) {
        _provenAt = std::max(_provenAt, answered.askedAt - *answer->provenAgeWhenAsked);
    }
}

void StoreFollower::take(const FeedAnswer& answer) {
    for (const KindChanges& entry : answer.kinds) {
        _kinds[entry.kind]->take(entry.changes);
    }
}

/** The watches of the store go on where the other node's answers ended. */
void StoreFollower::loseSource(TimePoint now) {
    if (_question) {
        _choice.passOver(_question->node, now);
    }
    _question.reset();
    _nextQuestion = now + kLossPause;
    if (!_fedBy) {
        return;
    }
    LogEvent("cluster", LogLevel::Info, "feed.lost").field("node", *_fedBy);
    _fedBy.reset();
    _news = true;
    for (const auto& kind : _kinds) {
        kind->resumeWatch();
    }
}

/**
 * @return the kinds whose watches call the store now: none while another node tells of changes;
 * one that is tried again while the store does not answer; else all.
 */
std::vector<StoreFollower::KindFollower*> StoreFollower::watchedKinds() const {
    std::vector<KindFollower*> result;
    if (_fedBy) {
        return result;
    }
    for (const auto& kind : _kinds) {
        if (!kind->watch().isReachable()) {
            return {kind.get()};
        }
        result.push_back(kind.get());
    }
    return result;
}

void StoreFollower::onTick(TimePoint now) {
    if (_question && now >= _question->askedAt + kPatience) {
        loseSource(now);
    }
    if (!_question && now >= _nextQuestion && isListed()) {
        _nextQuestion = now + kLossPause;
        askSource(now);
    }
    for (KindFollower* kind : watchedKinds()) {
        kind->followWatch(now, _dependencies.readers.isReader());
    }
    answerAskers(now);
}

std::optional<TimePoint> StoreFollower::nextTick() const {
    TimePoint next = _question ? _question->askedAt + kPatience : TimePoint::max();
    const bool asks = _fedBy || !_dependencies.readers.candidates().empty();
    if (!_question && isListed() && asks) {
        next = std::min(next, _nextQuestion);
    }
    if (!_askers.empty()) {
        next = std::min(next, _news ? TimePoint::min() : _askers.front().askedAt + kHold);
    }
    for (KindFollower* kind : watchedKinds()) {
        next = std::min(next, kind->watch().nextTick().value_or(next));
    }
    return next;
}

}  // namespace coralhoist::cluster
