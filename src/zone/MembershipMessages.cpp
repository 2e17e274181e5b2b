/** The half of Membership that handles what peers send. */
#include <algorithm>
#include <bitset>
#include <utility>

#include "zone/Membership.h"

namespace coralhoist::zone {
namespace {

/** Members of the own region and of other regions told in one answer about contacts. */
constexpr std::size_t kContactSample = 5;
/** Peers that know this many percent more members than this node fill its view quickly. */
constexpr std::size_t kFillPercent = 110;

}  // namespace

void Membership::onDatagram(const PeerAddress& from, const MembershipMessage& message,
                            TimePoint now) {
    if (_stopped || message.sender.name == _self.name) {
        return;
    }
    notePause(now);
    const bool trusted = noteSender(message, now);
    answer(from, message, now);
    refuteClaims(from, message, now);
    if (trusted) {
        handleUpdates(message, now);
    }
    if (trusted && message.sender.region == _self.region) {
        compareViews(from, message, now);
    }
    // An answered probe moves the next tick to a later time; keeping the old promise would make
    // that tick look like the end of a pause.
    _promisedTick = std::max(_promisedTick, nextTick());
}

bool Membership::noteSender(const MembershipMessage& message, TimePoint now) {
    const Member& sender = message.sender;
    if (sender.region != _self.region) {
        if (_awaitedContact == sender.name) {
            _awaitedContact.reset();
        }
        _contacts.heard(sender, _random);
        return true;
    }
    const Member* held = _table.find(sender.name);
    if (held == nullptr || held->incarnation < sender.incarnation) {
        handleUpdate(sender, sender.name, Source::Gossip, now);
        held = _table.find(sender.name);
    }
    // What a member says that the others hold dead is not passed on: it may hear nobody, and
    // would declare everybody else dead.
    return held != nullptr && isLive(*held);
}

void Membership::answer(const PeerAddress& from, const MembershipMessage& message, TimePoint now) {
    const Member* contradicted = recordToContradict(message.sender);
    switch (message.kind) {
        case MembershipKind::Ping: {
            MembershipMessage outgoing = this->message(MembershipKind::Ack, message.sequence);
            sendWithUpdates(from, std::move(outgoing), contradicted);
            return;
        }
        case MembershipKind::Ack:
            onAck(message);
            break;
        case MembershipKind::IndirectPing:
            relayProbe(from, message, now);
            break;
        case MembershipKind::Join:
            onJoin(from, message);
            break;
        case MembershipKind::BucketHashes:
            sendMembersOfDifferingBuckets(from, message);
            break;
        case MembershipKind::ContactRequest:
            onContactRequest(from, message);
            break;
        case MembershipKind::Gossip:
        case MembershipKind::Members:
        case MembershipKind::ContactReply:
            break;
    }
    if (contradicted != nullptr) {
        MembershipMessage outgoing = this->message(MembershipKind::Gossip);
        outgoing.updates.push_back(*contradicted);
        _output.send(from, outgoing);
    }
}

void Membership::refuteClaims(const PeerAddress& from, const MembershipMessage& message,
                              TimePoint now) {
    const std::uint64_t incarnation = _self.incarnation;
    for (const Member& update : message.updates) {
        if (update.name == _self.name) {
            refute(update, now);
        }
    }
    if (_self.incarnation != incarnation) {
        // Whoever believes this node dead gets no gossip from it: it is told directly.
        _output.send(from, this->message(MembershipKind::Gossip));
    }
}

const Member* Membership::recordToContradict(const Member& sender) const {
    const Member* held = _table.find(sender.name);
    if (held == nullptr || sender.incarnation > held->incarnation) {
        return nullptr;
    }
    const bool outdated = sender.incarnation < held->incarnation;
    return outdated || held->liveness != Liveness::Alive ? held : nullptr;
}

void Membership::onAck(const MembershipMessage& message) {
    if (_prober.acknowledge(message.sequence)) {
        return;
    }
    if (const auto requester = _relayed.take(message.sequence)) {
        MembershipMessage outgoing = this->message(MembershipKind::Ack, requester->sequence);
        _output.send(requester->address, outgoing);
    }
}

void Membership::relayProbe(const PeerAddress& from, const MembershipMessage& message,
                            TimePoint now) {
    if (!message.target) {
        return;
    }
    const std::uint64_t sequence = _nextSequence++;
    const TimePoint expiry = now + _options.indirectTimeout;
    _relayed.begin(sequence, {from, message.sequence, expiry}, now);
    sendWithUpdates(message.target->address, this->message(MembershipKind::Ping, sequence),
                    nullptr);
}

void Membership::onJoin(const PeerAddress& from, const MembershipMessage& message) {
    MembershipMessage outgoing = this->message(MembershipKind::Members);
    outgoing.updates =
        message.sender.region == _self.region
            ? sampleRegion(_options.updatesPerDatagram)
            : _contacts.sample(message.sender.region, _options.updatesPerDatagram, _random);
    _output.send(from, outgoing);
}

void Membership::onContactRequest(const PeerAddress& from, const MembershipMessage& message) {
    MembershipMessage outgoing = this->message(MembershipKind::ContactReply);
    if (message.sender.region != _self.region) {
        outgoing.updates = sampleRegion(kContactSample);
    }
    const std::vector<Member> contacts = _contacts.sample(std::nullopt, kContactSample, _random);
    outgoing.updates.insert(outgoing.updates.end(), contacts.begin(), contacts.end());
    _output.send(from, outgoing);
}

void Membership::compareViews(const PeerAddress& from, const MembershipMessage& message,
                              TimePoint now) {
    const std::size_t known = _table.live().size();
    const bool behind = std::size_t{message.memberCount} * 100 > known * kFillPercent;
    _viewIsFilled = !behind;
    if (message.viewHash == _table.hash()) {
        _mismatches = 0;
        return;
    }
    ++_mismatches;
    if (now < _nextRepair || (!behind && _mismatches < _options.repairAfterMismatches)) {
        return;
    }
    _mismatches = 0;
    _nextRepair = now + (behind ? _options.fillInterval : _options.repairInterval);
    MembershipMessage outgoing = this->message(MembershipKind::BucketHashes);
    for (const std::uint64_t hash : _table.bucketHashes()) {
        outgoing.bucketHashes.push_back(static_cast<std::uint32_t>(hash));
    }
    _output.send(from, outgoing);
}

std::bitset<kMemberBuckets> Membership::chooseBuckets(
    const std::bitset<kMemberBuckets>& differing) {
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < kMemberBuckets; ++index) {
        if (differing.test(index)) {
            indexes.push_back(index);
        }
    }
    // Whole buckets: the receiver has nothing more to ask about these.
    const std::size_t maximum = _options.repairDatagrams * _options.updatesPerDatagram;
    const std::size_t membersPerBucket = _table.live().size() / kMemberBuckets + 1;
    const std::size_t count =
        std::min(indexes.size(), std::max<std::size_t>(1, maximum / membersPerBucket));
    std::bitset<kMemberBuckets> chosen;
    for (std::size_t position = 0; position < count; ++position) {
        std::swap(indexes[position], indexes[position + _random.below(indexes.size() - position)]);
        chosen.set(indexes[position]);
    }
    return chosen;
}

void Membership::sendMembersOfDifferingBuckets(const PeerAddress& to,
                                               const MembershipMessage& message) {
    if (message.bucketHashes.size() != kMemberBuckets) {
        return;
    }
    std::bitset<kMemberBuckets> differing;
    for (std::size_t index = 0; index < kMemberBuckets; ++index) {
        const auto own = static_cast<std::uint32_t>(_table.bucketHashes()[index]);
        differing.set(index, own != message.bucketHashes[index]);
    }
    const std::vector<Member> members = _table.membersOf(chooseBuckets(differing));
    for (std::size_t begin = 0; begin < members.size(); begin += _options.updatesPerDatagram) {
        const std::size_t end = std::min(members.size(), begin + _options.updatesPerDatagram);
        MembershipMessage outgoing = this->message(MembershipKind::Members);
        outgoing.updates.assign(members.begin() + static_cast<std::ptrdiff_t>(begin),
                                members.begin() + static_cast<std::ptrdiff_t>(end));
        _output.send(to, outgoing);
    }
}

void Membership::handleUpdates(const MembershipMessage& message, TimePoint now) {
    const Source source = message.kind == MembershipKind::Gossip ||
                                  message.kind == MembershipKind::Ping ||
                                  message.kind == MembershipKind::Ack
                              ? Source::Gossip
                              : Source::Repair;
    for (const Member& update : message.updates) {
        handleUpdate(update, message.sender.name, source, now);
    }
}

void Membership::handleUpdate(const Member& update, const NodeName& teller, Source source,
                              TimePoint now) {
    if (update.name == _self.name) {
        return;
    }
    if (isLive(update) && update.region != _self.region) {
        _contacts.learn(update, _random);
        return;
    }
    if (update.liveness == Liveness::Suspect) {
        handleSuspicion(update, now);
        return;
    }
    const Member* held = _table.find(update.name);
    const bool unexpectedDeath = update.liveness == Liveness::Dead && held != nullptr &&
                                 held->liveness == Liveness::Alive && supersedes(update, *held) &&
                                 update.suspectedBy != update.name;
    if (unexpectedDeath) {
        // Nobody may kill a member in the others' eyes without its chance to refute: after a
        // partition, the other side's claims of death are only suspicions here.
        suspectOnHearsay(*held, teller, now);
        return;
    }
    apply(update, source, now);
}

void Membership::handleSuspicion(const Member& update, TimePoint now) {
    const Member* held = _table.find(update.name);
    if (held != nullptr && (!isLive(*held) || held->incarnation > update.incarnation)) {
        return;
    }
    if (held == nullptr || held->incarnation < update.incarnation) {
        Member alive = update;
        alive.liveness = Liveness::Alive;
        apply(alive, Source::Repair, now);
        held = _table.find(update.name);
    }
    if (held != nullptr) {
        suspect(*held, update.suspectedBy, true, now);
    }
}

void Membership::suspectOnHearsay(const Member& member, const NodeName& teller, TimePoint now) {
    if (_suspicions.contains(member.name)) {
        return;
    }
    // Others have waited out a suspicion already, so this one is short; the probe carries the claim
    // to the member, which can refute it at once.
    const NodeName name = member.name;
    suspect(member, teller, true, now, 0);
    if (const Member* suspected = _table.find(name)) {
        startProbe(*suspected, now);
    }
}

void Membership::suspect(const Member& member, const NodeName& accuser, bool passOn, TimePoint now,
                         std::optional<std::size_t> confirmations) {
    const std::size_t others = _table.live().size();
    const std::size_t possible = confirmations.value_or(others > 3 ? others - 3 : 0);
    const bool isFirst = !_suspicions.contains(member.name);
    if (!_suspicions.accuse(member.name, accuser, now, possible)) {
        return;
    }
    Member suspected = member;
    suspected.liveness = Liveness::Suspect;
    suspected.suspectedBy = accuser;
    if (isFirst) {
        const NodeName name = member.name;
        if (_table.apply(suspected, now) != TableChange::None) {
            _output.onMemberChanged(suspected, TableChange::Suspected);
        }
        if (accuser != _self.name && _random.below(others) < _options.expectedConfirmers) {
            startProbe(*_table.find(name), now);
        }
    }
    if (passOn) {
        _gossip.add(suspected);
    }
}

void Membership::refute(const Member& claim, TimePoint now) {
    const bool outdated = claim.incarnation < _self.incarnation;
    const bool agrees = claim.incarnation == _self.incarnation &&
                        claim.liveness == Liveness::Alive && claim.leaving == _self.leaving;
    if (outdated || agrees) {
        return;
    }
    _self.incarnation = claim.incarnation + 1;
    apply(_self, Source::Gossip, now);
}

void Membership::apply(const Member& update, Source source, TimePoint now) {
    const TableChange change = _table.apply(update, now);
    if (change == TableChange::None) {
        return;
    }
    _suspicions.clear(update.name);
    _output.onMemberChanged(*_table.find(update.name), change);
    if (source == Source::Gossip) {
        _gossip.add(*_table.find(update.name));
    }
}

}  // namespace coralhoist::zone
