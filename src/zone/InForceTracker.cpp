#include "zone/InForceTracker.h"

#include <algorithm>
#include <utility>

namespace coralhoist::zone {
namespace {

/** Member timeouts waited by who asks members, zones, regions and the estate. */
constexpr int kSliceLevel = 1;
constexpr int kZoneLevel = 2;
constexpr int kRegionLevel = 3;
constexpr int kEstateLevel = 4;

}  // namespace

InForceTracker::InForceTracker(const DistributionOptions& options, const SettingsReplica& replica,
                               const Membership& membership, PeerSelector& peers,
                               RandomSource& random, InForceOutput& output)
    : _options(options),
      _replica(replica),
      _membership(membership),
      _peers(peers),
      _output(output),
      _nextId(random.next() >> 16U) {}

void InForceTracker::ask(const ObjectVersion& object, Callback callback, TimePoint now) {
    Collection collection;
    collection.callback = std::move(callback);
    const std::uint64_t id = beginCollection(std::move(collection), kEstateLevel, now);
    for (const PeerReference& contact : _peers.oneOfEachOtherRegion()) {
        askPart(id, contact, InForceScope::Region, object, {}, 1);
    }
    askRegion(id, object);
    finishIfComplete(id);
}

void InForceTracker::onQuery(const PeerReference& from, const InForceQuery& query, TimePoint now) {
    Collection collection;
    collection.asker = from;
    collection.askerId = query.id;
    switch (query.scope) {
        case InForceScope::Member: {
            InForceReply reply{query.id, {}};
            answerForSelf(reply.summary, query.object);
            _output.sendReply(from, reply);
            return;
        }
        case InForceScope::Slice: {
            const std::uint64_t id = beginCollection(std::move(collection), kSliceLevel, now);
            askMembers(id, query);
            finishIfComplete(id);
            return;
        }
        case InForceScope::Zone: {
            const std::uint64_t id = beginCollection(std::move(collection), kZoneLevel, now);
            askZone(id, query.object);
            finishIfComplete(id);
            return;
        }
        case InForceScope::Region: {
            const std::uint64_t id = beginCollection(std::move(collection), kRegionLevel, now);
            askRegion(id, query.object);
            finishIfComplete(id);
            return;
        }
    }
}

void InForceTracker::onReply(const PeerReference& from, const InForceReply& reply,
                             TimePoint /*now*/) {
    const auto found = _collections.find(reply.id);
    if (found == _collections.end() || found->second.waitingFor.erase(from.name) == 0) {
        return;
    }
    InForceSummary& summary = found->second.summary;
    summary.inForce += reply.summary.inForce;
    summary.lacking += reply.summary.lacking;
    summary.silent += reply.summary.silent;
    for (const NodeName& name : reply.summary.examples) {
        addExample(summary, name);
    }
    finishIfComplete(reply.id);
}

void InForceTracker::onTick(TimePoint now) {
    std::vector<std::uint64_t> overdue;
    for (const auto& [id, collection] : _collections) {
        if (collection.deadline <= now) {
            overdue.push_back(id);
        }
    }
    for (const std::uint64_t id : overdue) {
        Collection& collection = _collections.at(id);
        for (const auto& [name, size] : collection.waitingFor) {
            collection.summary.silent += size;
            addExample(collection.summary, name);
        }
        finish(id);
    }
}

std::optional<TimePoint> InForceTracker::nextDeadline() const {
    std::optional<TimePoint> earliest;
    for (const auto& [id, collection] : _collections) {
        earliest = earliest ? std::min(*earliest, collection.deadline) : collection.deadline;
    }
    return earliest;
}

void InForceTracker::answerForSelf(InForceSummary& summary, const ObjectVersion& object) const {
    if (_replica.versionInForce(object.path) >= object.version) {
        ++summary.inForce;
    } else {
        ++summary.lacking;
        addExample(summary, _membership.self().name);
    }
}

std::uint64_t InForceTracker::beginCollection(Collection collection, int level, TimePoint now) {
    const std::uint64_t id = _nextId++;
    collection.deadline = now + _options.inForceMemberTimeout * level;
    _collections.emplace(id, std::move(collection));
    return id;
}

void InForceTracker::askRegion(std::uint64_t id, const ObjectVersion& object) {
    for (const PeerReference& peer : _peers.oneOfEachOtherZone()) {
        askPart(id, peer, InForceScope::Zone, object, {}, 1);
    }
    askZone(id, object);
}

void InForceTracker::askZone(std::uint64_t id, const ObjectVersion& object) {
    const std::vector<const Member*>& members = _peers.zoneMembers();
    std::vector<NodeName> slice;
    const auto askSlice = [&] {
        if (!slice.empty()) {
            const Member* delegate = _membership.members().find(slice.front());
            const auto size = static_cast<std::uint32_t>(slice.size());
            askPart(id, {delegate->name, delegate->address}, InForceScope::Slice, object,
                    std::move(slice), size);
            slice.clear();
        }
    };
    for (const Member* member : members) {
        if (member->name == _membership.self().name) {
            answerForSelf(_collections.at(id).summary, object);
            continue;
        }
        slice.push_back(member->name);
        if (slice.size() == _options.inForceSlice) {
            askSlice();
        }
    }
    askSlice();
}

void InForceTracker::askMembers(std::uint64_t id, const InForceQuery& query) {
    for (const NodeName& name : query.members) {
        if (name == _membership.self().name) {
            answerForSelf(_collections.at(id).summary, query.object);
            continue;
        }
        const Member* member = _membership.members().find(name);
        if (member != nullptr && isLive(*member)) {
            askPart(id, {member->name, member->address}, InForceScope::Member, query.object, {}, 1);
        }
    }
}

void InForceTracker::askPart(std::uint64_t id, const PeerReference& peer, InForceScope scope,
                             const ObjectVersion& object, std::vector<NodeName> members,
                             std::uint32_t size) {
    _collections.at(id).waitingFor.emplace(peer.name, size);
    _output.sendQuery(peer, InForceQuery{id, scope, object, std::move(members)});
}

void InForceTracker::finishIfComplete(std::uint64_t id) {
    if (_collections.at(id).waitingFor.empty()) {
        finish(id);
    }
}

void InForceTracker::finish(std::uint64_t id) {
    auto node = _collections.extract(id);
    const Collection& collection = node.mapped();
    if (collection.asker) {
        _output.sendReply(*collection.asker, InForceReply{collection.askerId, collection.summary});
    }
    if (collection.callback) {
        collection.callback(collection.summary);
    }
}

void InForceTracker::addExample(InForceSummary& summary, const NodeName& name) const {
    if (summary.examples.size() < _options.inForceExamples) {
        summary.examples.push_back(name);
    }
}

}  // namespace coralhoist::zone
