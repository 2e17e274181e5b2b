#include "zone/PendingFetches.h"

#include <algorithm>

namespace coralhoist::zone {
namespace {

/** Sources remembered for one version. */
constexpr std::size_t kMostSources = 4;

}  // namespace

bool PendingFetches::note(const ObjectVersion& object, const PeerReference& source, TimePoint now) {
    const auto [entry, isNew] = _pending.try_emplace(object.path);
    Pending& pending = entry->second;
    if (isNew || object.version > pending.version) {
        pending = Pending{object.version, {source}, now, 1};
        return true;
    }
    const bool known =
        std::find(pending.sources.begin(), pending.sources.end(), source) != pending.sources.end();
    if (object.version == pending.version && !known && pending.sources.size() < kMostSources) {
        pending.sources.push_back(source);
    }
    return false;
}

void PendingFetches::arrived(const std::string& path, std::uint64_t version) {
    const auto found = _pending.find(path);
    if (found != _pending.end() && found->second.version <= version) {
        _pending.erase(found);
    }
}

std::vector<PendingFetches::Retry> PendingFetches::takeOverdue(TimePoint now) {
    std::vector<Retry> retries;
    for (auto entry = _pending.begin(); entry != _pending.end();) {
        Pending& pending = entry->second;
        if (now - pending.askedAt < _options.fetchTimeout) {
            ++entry;
            continue;
        }
        if (pending.attempts >= _options.fetchAttempts) {
            entry = _pending.erase(entry);
            continue;
        }
        const auto source = static_cast<std::size_t>(pending.attempts) % pending.sources.size();
        retries.push_back({entry->first, pending.sources[source]});
        ++pending.attempts;
        pending.askedAt = now;
        ++entry;
    }
    return retries;
}

std::optional<TimePoint> PendingFetches::nextDeadline() const {
    std::optional<TimePoint> earliest;
    for (const auto& [path, pending] : _pending) {
        const TimePoint deadline = pending.askedAt + _options.fetchTimeout;
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

}  // namespace coralhoist::zone
