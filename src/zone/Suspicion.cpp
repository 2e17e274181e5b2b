#include "zone/Suspicion.h"

#include <algorithm>
#include <cmath>

namespace coralhoist::zone {

bool SuspicionTimers::accuse(const NodeName& target, const NodeName& accuser, TimePoint now,
                             std::size_t possibleConfirmations) {
    auto [entry, isNew] = _suspicions.try_emplace(target);
    Suspicion& suspicion = entry->second;
    if (isNew) {
        suspicion.since = now;
        suspicion.neededConfirmations =
            std::min(_options.suspicionConfirmations, possibleConfirmations);
    }
    const bool known = std::find(suspicion.accusers.begin(), suspicion.accusers.end(), accuser) !=
                       suspicion.accusers.end();
    if (known || suspicion.accusers.size() > suspicion.neededConfirmations) {
        return false;
    }
    suspicion.accusers.push_back(accuser);
    return true;
}

void SuspicionTimers::postpone(Duration delay) {
    for (auto& [name, suspicion] : _suspicions) {
        suspicion.since += delay;
    }
}

std::vector<NodeName> SuspicionTimers::takeExpired(TimePoint now, int factor) {
    std::vector<NodeName> expired;
    for (const auto& [name, suspicion] : _suspicions) {
        if (suspicion.since + timeout(suspicion) * factor <= now) {
            expired.push_back(name);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const NodeName& name : expired) {
        _suspicions.erase(name);
    }
    return expired;
}

std::optional<TimePoint> SuspicionTimers::nextExpiry() const {
    std::optional<TimePoint> earliest;
    for (const auto& [name, suspicion] : _suspicions) {
        const TimePoint expiry = suspicion.since + timeout(suspicion);
        if (!earliest || expiry < *earliest) {
            earliest = expiry;
        }
    }
    return earliest;
}

Duration SuspicionTimers::timeout(const Suspicion& suspicion) const {
    if (suspicion.neededConfirmations == 0) {
        return _options.suspicionMinimum;
    }
    const double confirmations = static_cast<double>(suspicion.accusers.size()) - 1.0;
    const double needed = static_cast<double>(suspicion.neededConfirmations);
    const double share = std::log(confirmations + 1.0) / std::log(needed + 1.0);
    const Duration span = _options.suspicionMaximum - _options.suspicionMinimum;
    const auto saved = static_cast<Duration::rep>(static_cast<double>(span.count()) * share);
    return std::max(_options.suspicionMinimum, _options.suspicionMaximum - Duration(saved));
}

}  // namespace coralhoist::zone
