#include "zone/MemberTable.h"

#include <xxhash.h>

namespace coralhoist::zone {
namespace {

std::uint64_t nameHash(const NodeName& name) {
    return XXH3_64bits(name.value().data(), name.value().size());
}

std::uint64_t memberHash(const Member& member) {
    const std::uint64_t seed = member.incarnation * 2 + (member.leaving ? 1 : 0);
    return XXH3_64bits_withSeed(member.name.value().data(), member.name.value().size(), seed);
}

TableChange changeOf(const Member& before, const Member& after) {
    if (!isLive(after)) {
        return isLive(before) ? TableChange::Died : TableChange::None;
    }
    if (!isLive(before)) {
        return TableChange::Joined;
    }
    return after.liveness == Liveness::Suspect ? TableChange::Suspected : TableChange::Updated;
}

bool placementDiffers(const Member& before, const Member& after) {
    return isLive(before) != isLive(after) || before.leaving != after.leaving ||
           before.address != after.address || before.zone != after.zone;
}

}  // namespace

std::size_t MemberTable::bucketOf(const NodeName& name) {
    return nameHash(name) % kMemberBuckets;
}

TableChange MemberTable::apply(const Member& update, TimePoint now) {
    if (isLive(update) && update.address.host.empty()) {
        return TableChange::None;
    }
    auto [found, isNew] = _entries.try_emplace(update.name);
    Entry& entry = found->second;
    if (isNew) {
        entry = Entry{update, now, 0};
        if (!isLive(update)) {
            return TableChange::None;
        }
        include(entry);
        ++_version;
        return TableChange::Joined;
    }
    if (!supersedes(update, entry.member)) {
        return TableChange::None;
    }
    Member after = update;
    if (after.address.host.empty()) {
        after.region = entry.member.region;
        after.zone = entry.member.zone;
        after.address = entry.member.address;
    }
    const TableChange change = changeOf(entry.member, after);
    if (placementDiffers(entry.member, after)) {
        ++_version;
    }
    if (isLive(entry.member)) {
        exclude(entry);
    }
    entry.member = std::move(after);
    entry.since = now;
    if (isLive(entry.member)) {
        include(entry);
    }
    return change;
}

const Member* MemberTable::find(const NodeName& name) const {
    const auto found = _entries.find(name);
    return found == _entries.end() ? nullptr : &found->second.member;
}

void MemberTable::forgetDeadBefore(TimePoint time) {
    std::erase_if(_entries, [time](const auto& item) {
        return !isLive(item.second.member) && item.second.since <= time;
    });
}

std::vector<Member> MemberTable::membersOf(const std::bitset<kMemberBuckets>& buckets) const {
    std::vector<Member> members;
    for (const auto& [name, entry] : _entries) {
        if (buckets.test(bucketOf(name))) {
            members.push_back(entry.member);
        }
    }
    return members;
}

std::vector<PeerAddress> MemberTable::deadAddresses() const {
    std::vector<PeerAddress> addresses;
    for (const auto& [name, entry] : _entries) {
        if (!isLive(entry.member) && !entry.member.address.host.empty()) {
            addresses.push_back(entry.member.address);
        }
    }
    return addresses;
}

void MemberTable::include(Entry& entry) {
    entry.liveIndex = _live.size();
    _live.push_back(&entry.member);
    toggleHash(entry.member);
}

void MemberTable::exclude(Entry& entry) {
    toggleHash(entry.member);
    const Member* last = _live.back();
    _live[entry.liveIndex] = last;
    _entries.find(last->name)->second.liveIndex = entry.liveIndex;
    _live.pop_back();
}

void MemberTable::toggleHash(const Member& member) {
    const std::uint64_t hash = memberHash(member);
    _bucketHashes[bucketOf(member.name)] ^= hash;
    _hash ^= hash;
}

}  // namespace coralhoist::zone
