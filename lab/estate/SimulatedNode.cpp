#include "lab/estate/SimulatedNode.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "link/peer/ControlCodec.h"

namespace coralhoist::estate {
namespace {

/** Time to learn of the zone's other members before a node may think itself a reader. */
constexpr Duration kFirstPlatformCheck = std::chrono::milliseconds(1500);
constexpr Duration kPlatformCheckInterval = std::chrono::seconds(1);

}  // namespace

SimulatedNode::SimulatedNode(simulation::HostId host, const zone::Member& self, std::uint64_t seed,
                             std::shared_ptr<const RecordIndex> base,
                             SimulatedEnvironment& environment)
    : _host(host),
      _environment(environment),
      _random(seed),
      _replica(std::move(base), environment.pool),
      _membership(self, environment.membership, _random, *this),
      _placement(_membership, _random),
      _distributor(environment.distribution, _membership, _replica, _random, *this) {}

void SimulatedNode::join(std::vector<zone::PeerAddress> seeds, TimePoint now) {
    _membership.start(std::move(seeds), now);
    _distributor.start(now);
    _nextPlatformCheck = now + kFirstPlatformCheck;
}

void SimulatedNode::onTick(TimePoint now) {
    if (_membership.nextTick() <= now) {
        _membership.onTick(now);
    }
    if (_distributor.nextTick() <= now) {
        _distributor.onTick(now);
    }
    if (_nextPlatformCheck <= now) {
        _nextPlatformCheck = now + kPlatformCheckInterval;
        _environment.platform.serve(_host, _distributor);
    }
}

TimePoint SimulatedNode::nextTick() const {
    return std::min({_membership.nextTick(), _distributor.nextTick(), _nextPlatformCheck});
}

void SimulatedNode::onBytes(simulation::HostId from, const std::string& bytes, TimePoint now) {
    const auto message = peer::decodeControl(bytes);
    if (!message.isOk()) {
        return;
    }
    if (const auto* membership = std::get_if<zone::MembershipMessage>(&message.value())) {
        _membership.onDatagram(_environment.network.addressOf(from), *membership, now);
    } else {
        _distributor.onMessage(std::get<zone::DistributionMessage>(message.value()), bytes.size(),
                               now);
    }
}

bool SimulatedNode::seesLive(const NodeName& name) const {
    const zone::Member* member = _membership.members().find(name);
    return member != nullptr && zone::isLive(*member);
}

void SimulatedNode::send(const zone::PeerAddress& to, const zone::MembershipMessage& message) {
    _environment.network.send(_host, to, peer::encodeControl(message));
}

void SimulatedNode::send(const zone::PeerReference& to, const zone::DistributionMessage& message) {
    _environment.network.send(_host, to.address, peer::encodeControl(message));
}

void SimulatedNode::onMemberChanged(const zone::Member& /*member*/, zone::TableChange change) {
    _viewChanges.joined += change == zone::TableChange::Joined ? 1 : 0;
    _viewChanges.died += change == zone::TableChange::Died ? 1 : 0;
}

}  // namespace coralhoist::estate
