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

/** A question without news is answered after this time. */
constexpr Duration kHold = milliseconds(300);
/** A node that has not answered by then is passed over: 0.6 s more than it may hold. */
constexpr Duration kPatience = milliseconds(900);
/** Pause after a node was lost where no other one can be asked. */
constexpr Duration kLossPause = milliseconds(100);
/** Time for another node to answer before this one turns to the store: a hundred times a calm
 * answer. A reader that is late would send all whom it tells to the store at one moment. */
constexpr Duration kSwitchPatience = milliseconds(250);
/** Time in which a node that starts learns of the others. Until then it lists the store, but keeps
 * no watch open: all nodes of an estate that starts would be sent its first settings at one moment.
 */
constexpr Duration kReaderPatience = milliseconds(1500);

}  // namespace

StoreFollower::StoreFollower(FollowerDependencies dependencies,
                             const std::vector<FollowedKind>& kinds)
    : _dependencies(std::move(dependencies)),
      _choice(_dependencies.random),
      _startedAt(_dependencies.clock.now()) {
    const KindDependencies calls{_dependencies.clock, _dependencies.random,
                                 _dependencies.storeClient, _dependencies.protocol,
                                 _dependencies.era};
    for (const FollowedKind& kind : kinds) {
        _kinds.push_back(std::make_unique<KindFollower>(kind, calls, _news));
    }
}

StoreFollower::~StoreFollower() = default;

bool StoreFollower::isListed() const {
    return std::all_of(_kinds.begin(), _kinds.end(),
                       [](const auto& kind) { return kind->isListed(); });
}

bool StoreFollower::isReachable() const {
    return isFed() || std::all_of(_kinds.begin(), _kinds.end(),
                                  [](const auto& kind) { return kind->isReachable(); });
}

/** @return whether all kinds have been listed since the store returned last. */
bool StoreFollower::isOfPresentEra() const {
    return std::all_of(_kinds.begin(), _kinds.end(),
                       [](const auto& kind) { return kind->isOfPresentEra(); });
}

ListRole StoreFollower::role() const {
    if (!isFed() && !isSwitching() && !isSeekingReader()) {
        return ListRole::Source;
    }
    return _dependencies.readers.isAskedByOthers() ? ListRole::Reader : ListRole::Follower;
}

NodeName StoreFollower::origin() const {
    return _fedBy ? _fedOrigin : _dependencies.self;
}

void StoreFollower::onFeedAsked(std::uint64_t asker, const FeedQuestion& question) {
    _dependencies.era.note(question.era, "node");
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
    if (!isOfPresentEra()) {
        return std::nullopt;
    }
    FeedAnswer answer;
    answer.origin = origin();
    answer.era = _dependencies.era.current();
    for (std::size_t index = 0; index < _kinds.size(); ++index) {
        answer.agesWhenAsked.push_back(asker.askedAt - provenAt(index));
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
        // Without an answer by then, this node knows less of the present than its asker may need.
        const bool isOver = answer || now - asker.askedAt >= kHold;
        if (isOver) {
            _dependencies.answers.answerFeed(asker.id, answer);
        }
        return isOver;
    });
}

std::optional<NodeName> StoreFollower::chooseSource(TimePoint now) const {
    return _choice.choose(
        _dependencies.readers.candidates(),
        [this](const NodeName& node) { return _dependencies.questions.canReach(node); }, now);
}

bool StoreFollower::isSeekingReader() const {
    return !_dependencies.readers.knowsNodes() &&
           _dependencies.clock.now() < _startedAt + kReaderPatience;
}

/** When the nodes become known, the readers among them are asked first. */
void StoreFollower::noteNodes(TimePoint now) {
    if (_soughtReader || !_dependencies.readers.knowsNodes() || !isListed()) {
        return;
    }
    _soughtReader = true;
    _switchUntil = chooseSource(now) ? now + kSwitchPatience : now;
}

bool StoreFollower::isSwitching() const {
    return _dependencies.clock.now() < _switchUntil;
}

void StoreFollower::askSource(TimePoint now) {
    const std::optional<NodeName> source = chooseSource(now);
    if (!source) {
        if (_fedBy) {
            loseSource(now);
        }
        return;
    }
    FeedQuestion question;
    question.origin = origin();
    question.era = _dependencies.era.current();
    for (const auto& kind : _kinds) {
        question.positions.push_back(kind->isListed()
                                         ? std::optional<StoreVersion>(kind->table().position())
                                         : std::nullopt);
    }
    _question = Question{++_lastQuestion, *source, now};
    _dependencies.questions.askForChanges(*source, _question->number, question);
}

/** An answer that is late for any kind comes from a node that no longer hears from the store. */
bool StoreFollower::isUseful(const FeedAnswer& answer, const Question& question) const {
    const bool known =
        answer.agesWhenAsked.size() == _kinds.size() &&
        std::all_of(answer.kinds.begin(), answer.kinds.end(),
                    [this](const KindChanges& changes) { return changes.kind < _kinds.size(); });
    const bool isOutdated = answer.era < _dependencies.era.current();
    if (!known || isOutdated || answer.origin == _dependencies.self) {
        return false;
    }
    const TimePoint now = _dependencies.clock.now();
    for (std::size_t index = 0; index < _kinds.size(); ++index) {
        if (_kinds[index]->isLate(question.askedAt - answer.agesWhenAsked[index], now)) {
            return false;
        }
    }
    return true;
}

void StoreFollower::onFeedAnswer(std::uint64_t question, const std::optional<FeedAnswer>& answer) {
    if (!_question || _question->number != question) {
        return;
    }
    const TimePoint now = _dependencies.clock.now();
    if (answer) {
        _dependencies.era.note(answer->era, _question->node.value());
    }
    if (!answer || !isUseful(*answer, *_question)) {
        loseSource(now);
        return;
    }
    const Question answered = *std::exchange(_question, std::nullopt);
    if (_fedBy != answered.node || _fedOrigin != answer->origin) {
        LogEvent("cluster", LogLevel::Info, "feed.followed")
            .field("node", answered.node)
            .field("origin", answer->origin)
            .field("settings_age_ms",
                   std::chrono::duration_cast<milliseconds>(answer->agesWhenAsked.front()).count());
        _news = true;
    }
    _choice.noteSuccess(answered.node);
    _fedBy = answered.node;
    _fedOrigin = answer->origin;
    _nextQuestion = now;
    take(*answer, answered.askedAt);
}

void StoreFollower::take(const FeedAnswer& answer, TimePoint askedAt) {
    for (const KindChanges& entry : answer.kinds) {
        _kinds[entry.kind]->take(entry.changes);
    }
    for (std::size_t index = 0; index < _kinds.size(); ++index) {
        _kinds[index]->noteProven(askedAt - answer.agesWhenAsked[index]);
    }
}

/** The watches of the store go on where the other node's answers ended. */
void StoreFollower::loseSource(TimePoint now) {
    if (_question) {
        _choice.passOver(_question->node, now);
    }
    _question.reset();
    const bool mayAskAnother = chooseSource(now).has_value();
    _nextQuestion = mayAskAnother ? now : now + kLossPause;
    if (!_fedBy) {
        return;
    }
    _switchUntil = mayAskAnother ? now + kSwitchPatience : now;
    LogEvent("cluster", LogLevel::Info, "feed.lost").field("node", *_fedBy);
    _fedBy.reset();
    _news = true;
    for (const auto& kind : _kinds) {
        kind->resumeWatch();
    }
}

void StoreFollower::onTick(TimePoint now) {
    if (_question && now >= _question->askedAt + kPatience) {
        loseSource(now);
    }
    noteNodes(now);
    if (!_question && now >= _nextQuestion && isListed()) {
        _nextQuestion = now + kLossPause;
        askSource(now);
    }
    for (const auto& kind : _kinds) {
        kind->onTick(now, role());
    }
    answerAskers(now);
}

std::optional<TimePoint> StoreFollower::nextTick() const {
    TimePoint next = _question ? _question->askedAt + kPatience : TimePoint::max();
    if (isSwitching()) {
        next = std::min(next, _switchUntil);
    }
    if (isSeekingReader()) {
        next = std::min(next, _startedAt + kReaderPatience);
    }
    const bool asks = _fedBy || !_dependencies.readers.candidates().empty();
    if (!_question && isListed() && asks) {
        next = std::min(next, _nextQuestion);
    }
    if (!_askers.empty()) {
        next = std::min(next, _news ? TimePoint::min() : _askers.front().askedAt + kHold);
    }
    for (const auto& kind : _kinds) {
        next = std::min(next, kind->nextTick(role()));
    }
    return next;
}

}  // namespace coralhoist::cluster
