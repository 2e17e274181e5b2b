#include "contract/MajoritySampler.h"

namespace coralhoist::contract {

void MajoritySampler::setServers(const std::vector<ServerName>& servers) {
    std::map<ServerName, ServerQueries> members;
    for (const ServerName& server : servers) {
        const auto known = _servers.find(server);
        members.emplace(server, known == _servers.end() ? ServerQueries{} : known->second);
    }
    _servers = std::move(members);
}

SampleTicket MajoritySampler::takeTicket() {
    _demanded = _sequence;
    return _sequence;
}

bool MajoritySampler::wantsQuery(const ServerName& server) const {
    const auto found = _servers.find(server);
    if (found == _servers.end() || !_demanded || found->second.inFlight) {
        return false;
    }
    return found->second.answeredSequence <= *_demanded;
}

void MajoritySampler::onQuerySent(const ServerName& server) {
    if (const auto found = _servers.find(server); found != _servers.end()) {
        found->second.inFlight = ++_sequence;
    }
}

void MajoritySampler::onAnswer(const ServerName& server, const machine::ServerStatus& status) {
    const auto found = _servers.find(server);
    if (found == _servers.end() || !found->second.inFlight) {
        return;
    }
    found->second.answeredSequence = *found->second.inFlight;
    found->second.inFlight.reset();
    found->second.status = status;
}

void MajoritySampler::onQueryFailed(const ServerName& server) {
    if (const auto found = _servers.find(server); found != _servers.end()) {
        found->second.inFlight.reset();
    }
}

std::vector<ServerSample> MajoritySampler::answersSince(SampleTicket ticket) const {
    std::vector<ServerSample> answers;
    for (const auto& [name, queries] : _servers) {
        if (queries.answeredSequence > ticket) {
            answers.push_back({name, queries.status});
        }
    }
    return answers;
}

}  // namespace coralhoist::contract
