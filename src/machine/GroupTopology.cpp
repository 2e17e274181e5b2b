#include "machine/GroupTopology.h"

#include <algorithm>

namespace coralhoist::machine {

const char* describe(FailureSignal signal) {
    switch (signal) {
        case FailureSignal::None:
            return "";
        case FailureSignal::Refused:
            return "refused";
        case FailureSignal::Reset:
            return "reset";
        case FailureSignal::Timeout:
            return "timeout";
    }
    return "";
}

void GroupTopology::setServers(const std::vector<ServerName>& servers,
                               const std::vector<ServerName>& leaving) {
    std::map<ServerName, ServerView> members;
    for (const ServerName& server : servers) {
        ServerView view;
        if (const auto known = _servers.find(server); known != _servers.end()) {
            view = known->second;
        }
        view.leaving = std::ranges::find(leaving, server) != leaving.end();
        members.emplace(server, view);
    }
    _servers = std::move(members);
    if (_confirmed && !_servers.contains(_confirmed->server)) {
        _confirmed.reset();
    }
    confirm();
}

void GroupTopology::onStatus(const ServerName& server, const ServerStatus& status, TimePoint now) {
    const auto found = _servers.find(server);
    if (found == _servers.end()) {
        return;
    }
    ServerView& view = found->second;
    if (view.status && status.term < view.status->term) {
        return;
    }
    view.status = status;
    view.failure = FailureSignal::None;
    onTermSeen(status.term, now);
    confirm();
}

void GroupTopology::onFailure(const ServerName& server, FailureSignal signal) {
    if (const auto found = _servers.find(server); found != _servers.end()) {
        found->second.failure = signal;
    }
}

void GroupTopology::onTermSeen(Term term, TimePoint now) {
    if (term > _newestTerm) {
        _newestTerm = term;
        _newestTermSeenAt = now;
    }
}

void GroupTopology::confirm() {
    for (const auto& [name, view] : _servers) {
        if (!view.status || view.status->inRecovery || view.status->term <= confirmedTerm()) {
            continue;
        }
        const Term term = view.status->term;
        const auto followers = std::ranges::count_if(_servers, [term](const auto& entry) {
            return entry.second.status && entry.second.status->term == term;
        });
        if (static_cast<std::size_t>(followers) >= majority()) {
            _confirmed = ConfirmedPrimary{name, term};
        }
    }
}

std::optional<ConfirmedPrimary> GroupTopology::primary(TimePoint now) const {
    if (!_confirmed || isReplaced(_confirmed->term)) {
        return std::nullopt;
    }
    const bool newerTermPending = _newestTerm > _confirmed->term;
    if (newerTermPending && now < _newestTermSeenAt + _patience) {
        return std::nullopt;
    }
    const ServerView& view = _servers.at(_confirmed->server);
    const bool deposed =
        view.status && (view.status->inRecovery || view.status->term > _confirmed->term);
    return deposed ? std::nullopt : _confirmed;
}

std::optional<ConfirmedPrimary> GroupTopology::usablePrimary(TimePoint now) const {
    const std::optional<ConfirmedPrimary> found = primary(now);
    if (!found) {
        return std::nullopt;
    }
    const ServerView& view = _servers.at(found->server);
    return view.isHealthy() && !view.leaving ? found : std::nullopt;
}

bool GroupTopology::isReplaced(Term term) const {
    const auto newer = std::ranges::count_if(_servers, [term](const auto& entry) {
        return entry.second.status && entry.second.status->term > term;
    });
    return static_cast<std::size_t>(newer) >= majority();
}

const ServerView* GroupTopology::find(const ServerName& server) const {
    const auto found = _servers.find(server);
    return found == _servers.end() ? nullptr : &found->second;
}

}  // namespace coralhoist::machine
