#include "cluster/NodeRegistry.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/Backoff.h"

namespace coralhoist::cluster {
namespace {

using store::StoredObject;

/** A registration is renewed after this time, and counts for the second one without renewal. */
constexpr Duration kRenewEvery = std::chrono::seconds(60);
constexpr Duration kCountsFor = std::chrono::seconds(200);
constexpr Duration kRetryPause = std::chrono::seconds(1);
/** After a return of the store all nodes register again, spread over this time, and are listed
 * within the second one. */
constexpr std::chrono::milliseconds kRegisterAgainWithin{1500};
constexpr Duration kListedAgainWithin = std::chrono::seconds(6);
constexpr Duration kTimeout = std::chrono::milliseconds(800);
/** Pauses before the lists that follow the first: all nodes of a cluster may start together. */
constexpr std::array<Duration, 4> kFirstListPauses{
    std::chrono::milliseconds(700), std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(4000)};
/** A list without this node's registration is relied on when it has been read so often. */
constexpr std::size_t kSettledAfterLists = 3;
/** Time between two lists, and the least time for each node that one shows. */
constexpr Duration kListEvery = std::chrono::seconds(12);
constexpr Duration kListEveryPerNode = std::chrono::milliseconds(50);
constexpr int kSuccess = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

}  // namespace

NodeRegistry::NodeRegistry(socket::HttpCaller& client, const store::ObjectProtocol& protocol,
                           const ClusterCodec& codec, const Clock& clock, RandomSource& random,
                           const StoreEra& era, pooling::ProxyNode self)
    : _client(client),
      _protocol(protocol),
      _codec(codec),
      _clock(clock),
      _random(random),
      _era(era),
      _self(std::move(self)),
      _nextRegistration(clock.now()),
      _nextListing(clock.now()),
      _alive(std::make_shared<bool>(true)) {}

NodeRegistry::~NodeRegistry() = default;

std::vector<pooling::ProxyNode> NodeRegistry::nodes() const {
    const TimePoint now = _clock.now();
    std::vector<pooling::ProxyNode> result{_self};
    for (const auto& [name, registration] : _nodes) {
        if (name != _self.name.value() && now - registration.seenAt < kCountsFor) {
            result.push_back(registration.node);
        }
    }
    return result;
}

TimePoint NodeRegistry::nextTick() const {
    TimePoint next = TimePoint::max();
    if (!_registering) {
        next = std::min(next, _nextRegistration);
    }
    if (!_listing) {
        next = std::min(next, _nextListing);
    }
    return next;
}

/** The registration may be gone with what the store has lost. */
void NodeRegistry::noteReturns(TimePoint now) {
    if (_notedReturns == _era.returns()) {
        return;
    }
    _notedReturns = _era.returns();
    _ownVersion = {};
    const auto spread = static_cast<std::uint64_t>(kRegisterAgainWithin.count());
    _nextRegistration = now + std::chrono::milliseconds(_random.below(spread));
    _nextListing = std::min(_nextListing, now + kRegisterAgainWithin + kRetryPause);
}

void NodeRegistry::onTick(TimePoint now) {
    noteReturns(now);
    if (!_registering && now >= _nextRegistration) {
        startRegistration(now);
    }
    if (!_listing && now >= _nextListing) {
        startListing(now);
    }
}

void NodeRegistry::startRegistration(TimePoint now) {
    const std::string kind = _codec.kinds().nodes;
    StoredObject object = _codec.writeNode(_self, _ownVersion.token());
    object.version = _ownVersion;
    socket::HttpCall call = _ownVersion.exists() ? _protocol.replaceCall(kind, object)
                                                 : _protocol.createCall(kind, object);
    call.timeout = kTimeout;
    _registering = true;
    _nextRegistration = now + kRetryPause;
    _client.call(call,
                 [this, alive = std::weak_ptr<bool>(_alive)](const socket::HttpAnswer& answer) {
                     if (!alive.expired()) {
                         onRegistered(answer);
                     }
                 });
}

void NodeRegistry::onRegistered(const socket::HttpAnswer& answer) {
    _registering = false;
    if (answer.outcome != socket::HttpAnswer::Outcome::Answered) {
        return;
    }
    if (answer.status == kNotFound) {
        _ownVersion = {};
        return;
    }
    const std::optional<StoredObject> object = _protocol.readObject(answer);
    if (!object) {
        return;
    }
    const bool written = answer.status == kSuccess || answer.status == kCreated;
    const bool isOfPresentEra = object->version.era == _era.current();
    if ((!written && answer.status != kConflict) || !isOfPresentEra) {
        return;
    }
    _ownVersion = object->version;
    // A conflict shows the registration of an earlier life, which serves if it says the same.
    const std::optional<pooling::ProxyNode> node = _codec.readNode(*object);
    if (written || (node && *node == _self)) {
        _nextRegistration = _clock.now() + kRenewEvery;
    }
}

void NodeRegistry::startListing(TimePoint now) {
    socket::HttpCall call = _protocol.recentListCall(_codec.kinds().nodes, _after);
    call.timeout = kTimeout;
    _listing = true;
    _nextListing = now + kRetryPause;
    _client.call(call,
                 [this, alive = std::weak_ptr<bool>(_alive)](const socket::HttpAnswer& answer) {
                     if (!alive.expired()) {
                         onListed(answer);
                     }
                 });
}

void NodeRegistry::onListed(const socket::HttpAnswer& answer) {
    _listing = false;
    if (!takePage(answer)) {
        _pages.clear();
        _after.clear();
        return;
    }
    if (!_after.empty()) {
        _nextListing = _clock.now();
        return;
    }
    const bool isLater = _listVersion > std::exchange(_formerListVersion, _listVersion);
    const bool isUnchanged = !replaceNodes();
    _confirmed = _confirmed || (isUnchanged && isLater && _nodes.contains(_self.name.value()));
    _nextListing = _clock.now() + withJitter(pauseAfterList(), _random);
    ++_lists;
    _settled = _settled || _lists >= kSettledAfterLists || _nodes.contains(_self.name.value());
}

/** @return whether the page could be read; `_after` names what the next one begins with, if any. */
bool NodeRegistry::takePage(const socket::HttpAnswer& answer) {
    const bool answered = answer.outcome == socket::HttpAnswer::Outcome::Answered;
    const std::optional<store::ObjectPage> page =
        answered && answer.status == kSuccess ? _protocol.readPage(answer) : std::nullopt;
    if (!page) {
        return false;
    }
    if (_after.empty()) {
        _listVersion = page->version;
    }
    _pages.insert(_pages.end(), page->objects.begin(), page->objects.end());
    _after = page->more && !page->objects.empty() ? page->objects.back().name : std::string();
    return true;
}

/** The first lists follow each other until one confirms another: others may be starting, too. */
Duration NodeRegistry::pauseAfterList() const {
    if (_lists < kFirstListPauses.size() && !_confirmed) {
        return kFirstListPauses[_lists];
    }
    return std::max(kListEvery, kListEveryPerNode * static_cast<Duration::rep>(_nodes.size()));
}

/** @return whether the list shows other nodes than the one before. */
bool NodeRegistry::replaceNodes() {
    const std::map<std::string, Registration> before = std::exchange(_nodes, {});
    for (const StoredObject& object : std::exchange(_pages, {})) {
        const std::optional<pooling::ProxyNode> node = _codec.readNode(object);
        if (!node) {
            continue;
        }
        const auto known = before.find(object.name);
        const bool unchanged = known != before.end() && known->second.version >= object.version;
        _nodes[object.name] =
            unchanged ? known->second : Registration{*node, object.version, _clock.now()};
    }
    if (!_era.isSettled(kListedAgainWithin)) {
        _nodes.insert(before.begin(), before.end());
    }
    return !std::equal(
        _nodes.begin(), _nodes.end(), before.begin(), before.end(),
        [](const auto& one, const auto& other) { return one.second.node == other.second.node; });
}

}  // namespace coralhoist::cluster
