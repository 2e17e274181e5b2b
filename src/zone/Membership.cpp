#include "zone/Membership.h"

#include <algorithm>
#include <utility>

namespace coralhoist::zone {
namespace {

/** Addresses asked at once when joining. */
constexpr std::size_t kJoinFanout = 3;
/** Peers told when this node stops. */
constexpr std::size_t kStopFanout = 6;

template <typename Item>
void chooseRandom(std::vector<Item>& items, std::size_t count, RandomSource& random) {
    count = std::min(count, items.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(items[index], items[index + random.below(items.size() - index)]);
    }
    items.resize(count);
}

}  // namespace

Membership::Membership(Member self, const MembershipOptions& options, RandomSource& random,
                       MembershipOutput& output)
    : _self(std::move(self)),
      _options(options),
      _random(random),
      _output(output),
      _contacts(_self.region, options.contactsPerZone),
      _suspicions(_options),
      _prober(_options),
      _nextSequence(random.next() >> 32U) {}

void Membership::start(std::vector<PeerAddress> seeds, TimePoint now) {
    _seeds = std::move(seeds);
    std::erase(_seeds, _self.address);
    _table.apply(_self, now);
    _gossip.add(_self);
    // Nodes started together must not probe in step.
    _nextProbe = now + Duration(static_cast<Duration::rep>(_random.below(
                           static_cast<std::uint64_t>(_options.probeInterval.count()))));
    _nextContacts = now + Duration(static_cast<Duration::rep>(_random.below(
                              static_cast<std::uint64_t>(_options.contactInterval.count()))));
    _nextGossip = now;
    _nextJoin = now;
    _nextRepair = now;
    _promisedTick = now;
}

void Membership::onTick(TimePoint now) {
    if (_stopped) {
        return;
    }
    notePause(now);
    tryJoin(now);
    judgeProbes(now);
    declareExpired(now);
    probeNext(now);
    exchangeContacts(now);
    gossip(now);
    _promisedTick = nextTick();
}

TimePoint Membership::nextTick() const {
    TimePoint next = std::min(_nextProbe, _nextContacts);
    if (!_gossip.empty()) {
        next = std::min(next, _nextGossip);
    }
    if (_table.live().size() <= 1) {
        next = std::min(next, _nextJoin);
    }
    if (const auto deadline = _prober.nextDeadline()) {
        next = std::min(next, *deadline);
    }
    const auto expiry = _suspicions.nextExpiry();
    if (expiry && !_prober.isolated()) {
        next = std::min(next, *expiry);
    }
    return next;
}

void Membership::notePause(TimePoint now) {
    if (now <= _promisedTick + _options.lateTick) {
        return;
    }
    const Duration pause = now - _promisedTick;
    _prober.abandonAll();
    _prober.resetFailures();
    _suspicions.postpone(pause + _options.probeInterval);
    _nextProbe = now + _options.probeInterval;
    _promisedTick = now;
}

void Membership::tryJoin(TimePoint now) {
    if (_table.live().size() > 1 || now < _nextJoin) {
        return;
    }
    _nextJoin = now + _options.joinInterval;
    std::vector<PeerAddress> addresses = knownAddresses();
    _viewIsFilled = addresses.empty();
    chooseRandom(addresses, kJoinFanout, _random);
    for (const PeerAddress& address : addresses) {
        _output.send(address, message(MembershipKind::Join));
    }
}

void Membership::probeNext(TimePoint now) {
    if (now < _nextProbe) {
        return;
    }
    _nextProbe = std::max(_nextProbe + _options.probeInterval, now + _options.probeInterval / 2);
    const auto target = _probeOrder.next(_table, _self.name, _random);
    if (target) {
        startProbe(*_table.find(*target), now);
    }
}

void Membership::startProbe(const Member& target, TimePoint now) {
    const std::uint64_t sequence = _nextSequence++;
    _prober.begin(sequence, target.name, now);
    const Member* record = target.liveness == Liveness::Suspect ? &target : nullptr;
    sendWithUpdates(target.address, message(MembershipKind::Ping, sequence), record);
}

void Membership::judgeProbes(TimePoint now) {
    for (const Prober::IndirectRequest& request : _prober.takeOverdue(now)) {
        requestIndirectProbes(request);
    }
    for (const NodeName& name : _prober.takeFailed(now)) {
        const Member* member = _table.find(name);
        if (member != nullptr && isLive(*member)) {
            suspect(*member, _self.name, !_prober.isolated(), now);
        }
    }
}

void Membership::requestIndirectProbes(const Prober::IndirectRequest& request) {
    const Member* target = _table.find(request.target);
    if (target == nullptr) {
        return;
    }
    MembershipMessage outgoing = message(MembershipKind::IndirectPing, request.sequence);
    outgoing.target = *target;
    for (const Member& helper : chooseHelpers(request.target)) {
        _output.send(helper.address, outgoing);
    }
}

std::vector<Member> Membership::chooseHelpers(const NodeName& target) {
    std::vector<const Member*> candidates;
    for (const Member* member : _table.live()) {
        if (member->name != _self.name && member->name != target) {
            candidates.push_back(member);
        }
    }
    chooseRandom(candidates, candidates.size(), _random);
    // One from each zone first: a link that is cut one way cuts whole zones.
    std::vector<Member> helpers;
    std::vector<const Member*> others;
    for (const Member* candidate : candidates) {
        const bool zoneTaken = std::any_of(
            helpers.begin(), helpers.end(),
            [candidate](const Member& helper) { return helper.zone == candidate->zone; });
        if (zoneTaken) {
            others.push_back(candidate);
        } else if (helpers.size() < _options.indirectProbes) {
            helpers.push_back(*candidate);
        }
    }
    for (const Member* candidate : others) {
        if (helpers.size() >= _options.indirectProbes) {
            break;
        }
        helpers.push_back(*candidate);
    }
    return helpers;
}

void Membership::declareExpired(TimePoint now) {
    const bool cutOff = _prober.isolated() && _table.live().size() > _options.isolationProbes;
    const int factor = cutOff ? _options.isolationFactor : 1;
    for (const NodeName& name : _suspicions.takeExpired(now, factor)) {
        const Member* member = _table.find(name);
        if (member == nullptr || member->liveness != Liveness::Suspect) {
            continue;
        }
        Member dead = *member;
        dead.liveness = Liveness::Dead;
        dead.suspectedBy = _self.name;
        apply(dead, Source::Gossip, now);
    }
}

void Membership::gossip(TimePoint now) {
    if (_gossip.empty() || now < _nextGossip) {
        return;
    }
    _nextGossip = now + _options.gossipInterval;
    std::vector<const Member*> peers;
    const auto& live = _table.live();
    for (std::size_t attempt = 0; attempt < 2 * _options.gossipFanout; ++attempt) {
        const Member* peer = live[_random.below(live.size())];
        const bool taken = std::find(peers.begin(), peers.end(), peer) != peers.end();
        if (peer->name != _self.name && !taken && peers.size() < _options.gossipFanout) {
            peers.push_back(peer);
        }
    }
    for (const Member* peer : peers) {
        sendWithUpdates(peer->address, message(MembershipKind::Gossip), nullptr);
    }
}

void Membership::exchangeContacts(TimePoint now) {
    if (now < _nextContacts) {
        return;
    }
    _nextContacts = now + _options.contactInterval;
    if (_awaitedContact) {
        _contacts.failed(*_awaitedContact);
        _awaitedContact.reset();
    }
    _table.forgetDeadBefore(now - _options.deadRetention);
    // Members believed dead, seeds and listed machines: the way back after a partition.
    std::vector<PeerAddress> lost = _table.deadAddresses();
    chooseRandom(lost, 1, _random);
    std::vector<PeerAddress> hints = knownAddresses();
    chooseRandom(hints, 1, _random);
    lost.insert(lost.end(), hints.begin(), hints.end());
    for (const PeerAddress& address : lost) {
        _output.send(address, message(MembershipKind::ContactRequest));
    }
    if (const auto contact = _contacts.pickAny(_random)) {
        _awaitedContact = contact->name;
        _output.send(contact->address, message(MembershipKind::ContactRequest));
    }
}

void Membership::leave(TimePoint now) {
    _self.leaving = true;
    ++_self.incarnation;
    apply(_self, Source::Gossip, now);
}

void Membership::announceStop() {
    _stopped = true;
    MembershipMessage outgoing = message(MembershipKind::Gossip);
    Member dead = _self;
    dead.liveness = Liveness::Dead;
    dead.suspectedBy = _self.name;
    outgoing.updates.push_back(dead);
    std::vector<const Member*> peers = _table.live();
    std::erase_if(peers, [this](const Member* peer) { return peer->name == _self.name; });
    chooseRandom(peers, kStopFanout, _random);
    for (const Member* peer : peers) {
        _output.send(peer->address, outgoing);
    }
}

MembershipMessage Membership::message(MembershipKind kind, std::uint64_t sequence) const {
    MembershipMessage outgoing;
    outgoing.kind = kind;
    outgoing.sender = _self;
    outgoing.sequence = sequence;
    outgoing.viewHash = _table.hash();
    outgoing.memberCount = static_cast<std::uint32_t>(_table.live().size());
    return outgoing;
}

void Membership::sendWithUpdates(const PeerAddress& to, MembershipMessage outgoing,
                                 const Member* receiverRecord) {
    const std::size_t limit =
        transmissionLimit(_options.retransmissionFactor, _table.live().size());
    outgoing.updates = _gossip.take(_options.updatesPerDatagram, limit);
    if (receiverRecord != nullptr) {
        outgoing.updates.push_back(*receiverRecord);
    }
    _output.send(to, outgoing);
}

std::vector<Member> Membership::sampleRegion(std::size_t maximum) {
    std::vector<const Member*> chosen = _table.live();
    chooseRandom(chosen, maximum, _random);
    std::vector<Member> members;
    members.reserve(chosen.size());
    for (const Member* member : chosen) {
        members.push_back(*member);
    }
    return members;
}

std::vector<PeerAddress> Membership::knownAddresses() const {
    std::vector<PeerAddress> addresses = _seeds;
    addresses.insert(addresses.end(), _machineHint.begin(), _machineHint.end());
    std::erase(addresses, _self.address);
    return addresses;
}

}  // namespace coralhoist::zone
