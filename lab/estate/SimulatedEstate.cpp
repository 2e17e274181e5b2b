#include "lab/estate/SimulatedEstate.h"

#include <map>
#include <utility>

#include "link/peer/ControlCodec.h"

namespace coralhoist::estate {
namespace {

constexpr std::uint16_t kPeerPort = 7400;
constexpr std::uint64_t kFirstIncarnation = 1'000'000;
/** Differences between the incarnations of two lives of a node: milliseconds between starts. */
constexpr std::uint64_t kIncarnationStep = 1'000;

std::string addressText(std::size_t host) {
    return "10." + std::to_string(host / 65536) + "." + std::to_string(host / 256 % 256) + "." +
           std::to_string(host % 256);
}

}  // namespace

SimulatedEstate::SimulatedEstate(const EstateOptions& options)
    : _options(options),
      _simulation(options.seed, options.delays),
      _platform(_simulation, _pool),
      _environment{*this, _platform, _pool, options.membership, options.distribution} {
    std::vector<std::pair<RegionName, ZoneName>> zones;
    for (std::size_t region = 0; region < options.zonesPerRegion.size(); ++region) {
        const std::string regionText = "region" + std::to_string(region + 1);
        for (std::size_t zone = 0; zone < options.zonesPerRegion[region]; ++zone) {
            zones.emplace_back(RegionName(regionText),
                               ZoneName(regionText + "-" + static_cast<char>('a' + zone)));
        }
    }
    for (std::size_t index = 0; index < options.nodes; ++index) {
        const auto& [region, zone] = zones[index % zones.size()];
        const simulation::HostId host = _simulation.addHost(region, zone);
        _addresses.push_back(addressText(index));
        _hostByAddress.emplace(_addresses.back(), host);
    }
    _nodes.resize(options.nodes);
    _incarnations.resize(options.nodes, kFirstIncarnation);
}

void SimulatedEstate::startAll(Duration within) {
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        const auto delay =
            _simulation.random().below(static_cast<std::uint64_t>(within.count()) + 1);
        _simulation.queue().after(Duration(static_cast<Duration::rep>(delay)),
                                  [this, host] { start(host); });
    }
    _simulation.queue().runFor(within);
}

void SimulatedEstate::start(simulation::HostId host) {
    stop(host);
    _incarnations[host] += kIncarnationStep;
    const std::uint64_t seed = _simulation.random().next();
    _nodes[host] = std::make_unique<SimulatedNode>(host, memberOf(host), seed, _base, _environment);
    std::vector<zone::PeerAddress> seeds;
    for (std::size_t index = 0; index < _options.seeds; ++index) {
        // Spread over the estate, the same ones for each node.
        const std::size_t seedHost = index * _nodes.size() / _options.seeds;
        seeds.push_back(addressOf(static_cast<simulation::HostId>(seedHost)));
    }
    _nodes[host]->join(std::move(seeds), now());
    _simulation.start(host, *_nodes[host]);
}

void SimulatedEstate::create(simulation::HostId host) {
    const std::uint64_t seed = _simulation.random().next();
    _nodes[host] = std::make_unique<SimulatedNode>(host, memberOf(host), seed, _base, _environment);
}

void SimulatedEstate::warmStart() {
    shareBase();
    std::map<RegionName, std::vector<simulation::HostId>> regions;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        create(host);
        _nodes[host]->join({}, now());
        regions[place(host).region].push_back(host);
    }
    std::vector<std::vector<simulation::HostId>> membersOfRegions;
    for (auto& [region, members] : regions) {
        introduce(members);
        membersOfRegions.push_back(std::move(members));
    }
    introduceContacts(membersOfRegions);
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        // An empty list of version 0 deletes nothing and says that nothing is missing.
        _nodes[host]->distributor().onPlatformList({}, 0, now());
        _simulation.start(host, *_nodes[host]);
    }
}

void SimulatedEstate::introduce(const std::vector<simulation::HostId>& members) {
    std::vector<zone::Member> records;
    records.reserve(members.size());
    for (const simulation::HostId member : members) {
        records.push_back(memberOf(member));
    }
    for (const simulation::HostId member : members) {
        const simulation::HostId teller =
            member == members.front() ? members.back() : members.front();
        if (teller != member) {
            tell(member, teller, zone::MembershipKind::Members, records);
        }
    }
}

void SimulatedEstate::introduceContacts(
    const std::vector<std::vector<simulation::HostId>>& regions) {
    constexpr std::size_t kContactsTold = 12;
    for (std::size_t region = 0; region < regions.size(); ++region) {
        for (std::size_t other = 0; other < regions.size(); ++other) {
            const auto& others = regions[other];
            if (other == region || others.empty()) {
                continue;
            }
            for (const simulation::HostId host : regions[region]) {
                std::vector<zone::Member> contacts;
                for (std::size_t count = 0; count < kContactsTold; ++count) {
                    contacts.push_back(memberOf(others[_simulation.random().below(others.size())]));
                }
                tell(host, others.front(), zone::MembershipKind::ContactReply, contacts);
            }
        }
    }
}

void SimulatedEstate::tell(simulation::HostId host, simulation::HostId teller,
                           zone::MembershipKind kind, const std::vector<zone::Member>& members) {
    zone::MembershipMessage message;
    message.kind = kind;
    message.sender = memberOf(teller);
    message.updates = members;
    _nodes[host]->membership().onDatagram(addressOf(teller), message, now());
}

void SimulatedEstate::stop(simulation::HostId host) {
    _simulation.stop(host);
    _platform.forget(host);
}

bool SimulatedEstate::settingsAgree() {
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        if (!isRunning(host)) {
            continue;
        }
        for (const std::string& path : _platform.paths()) {
            const RecordPointer wanted = _platform.objects().find(path);
            const RecordPointer held = _nodes[host]->replica().find(path);
            const bool equal = held != nullptr && held->deleted == wanted->deleted &&
                               held->document == wanted->document &&
                               held->version >= wanted->version;
            const bool bothAbsent = held == nullptr && wanted->deleted;
            if (!equal && !bothAbsent) {
                return false;
            }
        }
    }
    return true;
}

std::size_t SimulatedEstate::countInForce(const zone::ObjectVersion& object) {
    std::size_t count = 0;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        const bool inForce = isRunning(host) &&
                             _nodes[host]->replica().versionInForce(object.path) >= object.version;
        count += inForce ? 1 : 0;
    }
    return count;
}

std::size_t SimulatedEstate::runningCount() const {
    std::size_t count = 0;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        count += isRunning(host) ? 1 : 0;
    }
    return count;
}

NodeName SimulatedEstate::nameOf(simulation::HostId host) const {
    return NodeName("proxy-" + std::to_string(host));
}

std::vector<simulation::HostId> SimulatedEstate::hostsOf(const RegionName& region) const {
    std::vector<simulation::HostId> hosts;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        if (place(host).region == region) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<simulation::HostId> SimulatedEstate::hostsOf(const ZoneName& zone) const {
    std::vector<simulation::HostId> hosts;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        if (place(host).zone == zone) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

bool SimulatedEstate::viewsAgree() const {
    std::unordered_map<std::string, std::size_t> running;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        running[place(host).region.value()] += isRunning(host) ? 1 : 0;
    }
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        if (!isRunning(host)) {
            continue;
        }
        const auto& live = _nodes[host]->membership().members().live();
        if (live.size() != running[place(host).region.value()]) {
            return false;
        }
        for (const zone::Member* member : live) {
            if (!isRunning(_hostByAddress.at(member->address.host))) {
                return false;
            }
        }
    }
    return true;
}

std::uint64_t SimulatedEstate::deathsSeen() const {
    std::uint64_t deaths = 0;
    for (simulation::HostId host = 0; host < _nodes.size(); ++host) {
        if (isRunning(host)) {
            deaths += _nodes[host]->viewChanges().died;
        }
    }
    return deaths;
}

void SimulatedEstate::send(simulation::HostId from, const zone::PeerAddress& to,
                           std::string bytes) {
    const auto host = _hostByAddress.find(to.host);
    if (host == _hostByAddress.end()) {
        return;
    }
    if (bytes.size() <= peer::kControlDatagramBytes) {
        _simulation.sendDatagram(from, host->second, std::move(bytes));
    } else {
        _simulation.sendStream(from, host->second, std::move(bytes));
    }
}

zone::PeerAddress SimulatedEstate::addressOf(simulation::HostId host) const {
    return {_addresses[host], kPeerPort};
}

zone::Member SimulatedEstate::memberOf(simulation::HostId host) const {
    zone::Member member;
    member.name = nameOf(host);
    member.region = place(host).region;
    member.zone = place(host).zone;
    member.address = addressOf(host);
    member.incarnation = _incarnations[host];
    return member;
}

}  // namespace coralhoist::estate
