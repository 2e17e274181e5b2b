#include "link/peer/PeerService.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/Error.h"
#include "link/peer/MessageConversion.h"

namespace coralhoist::peer {
namespace {

/** Settings frames that wait for one link. */
constexpr std::size_t kWaitingFramesLimit = 64;

gen::PeerMessage settingsMessage(std::string payload) {
    gen::SettingsFrame frame;
    frame.payload = std::move(payload);
    return toMessage(std::move(frame));
}

}  // namespace

PeerService::PeerService(const Clock& clock, ForwardingKnobs knobs)
    : _clock(clock), _knobs(knobs) {}

void PeerService::start(PeerChannels& channels, const GroupOwnership& ownership,
                        contract::StatementExecutor& local, std::uint64_t firstLocalNumber,
                        SettingsChannelEvents& settingsEvents) {
    _channels = &channels;
    _settingsEvents = &settingsEvents;
    _forwarding = std::make_unique<ForwardingService>(channels, ownership, local, _clock,
                                                      firstLocalNumber, _knobs);
}

RemoteExecutor& PeerService::remoteExecutor(const NodeName& owner) {
    assert(_channels != nullptr);
    std::unique_ptr<RemoteExecutor>& remote = _remotes[owner];
    if (!remote) {
        remote = std::make_unique<RemoteExecutor>(owner, *_channels, _clock, _knobs);
    }
    return *remote;
}

Status PeerService::sendSettingsFrame(const NodeName& peer, std::string payload) {
    switch (_channels->requestLink(peer)) {
        case LinkState::Up:
            return _channels->send(peer, settingsMessage(std::move(payload)));
        case LinkState::Unreachable:
            return {ErrorCode::Unavailable, "proxy " + peer.value() + " can't be reached"};
        case LinkState::Connecting:
            break;
    }
    std::deque<std::string>& waiting = _waitingFrames[peer];
    if (waiting.size() >= kWaitingFramesLimit) {
        return {ErrorCode::Overloaded, "too many settings messages wait for " + peer.value()};
    }
    waiting.push_back(std::move(payload));
    return Status::ok();
}

void PeerService::onLinkUp(const NodeName& peer) {
    const auto waiting = _waitingFrames.extract(peer);
    if (!waiting.empty()) {
        for (std::string& payload : waiting.mapped()) {
            // A frame lost with the link is repaired by the distribution's digests.
            [[maybe_unused]] const Status sent =
                _channels->send(peer, settingsMessage(std::move(payload)));
        }
    }
    _settingsEvents->onSettingsLinkUp(peer);
    onWritable(peer);
}

void PeerService::onLinkDown(const NodeName& peer, const std::string& reason) {
    _waitingFrames.erase(peer);
    _forwarding->onLinkDown(peer);
    const auto remote = _remotes.find(peer);
    if (remote != _remotes.end()) {
        remote->second->onLinkDown(reason);
    }
    _settingsEvents->onSettingsLinkDown(peer);
}

void PeerService::onWritable(const NodeName& peer) {
    const auto remote = _remotes.find(peer);
    if (remote != _remotes.end()) {
        remote->second->onLinkReady();
    }
    _forwarding->onLinkReady(peer);
}

Status PeerService::onMessage(const NodeName& peer, gen::PeerMessage message) {
    const auto& isSet = message.__isset;
    if (isSet.execute) {
        return _forwarding->onExecute(peer, std::move(message.execute));
    }
    if (isSet.credit) {
        return _forwarding->onCredit(peer, message.credit);
    }
    if (isSet.cancel) {
        _forwarding->onCancel(peer, message.cancel);
        return Status::ok();
    }
    if (isSet.endSession) {
        _forwarding->onEndSession(peer, message.endSession);
        return Status::ok();
    }
    if (isSet.settingsFrame) {
        _settingsEvents->onSettingsFrame(peer, std::move(message.settingsFrame.payload));
        return Status::ok();
    }
    const auto remote = _remotes.find(peer);
    if (remote == _remotes.end()) {
        return {ErrorCode::ProtocolViolation, "an answer without a request"};
    }
    if (isSet.responseChunk) {
        return remote->second->onResponseChunk(std::move(message.responseChunk));
    }
    if (isSet.executionEnd) {
        return remote->second->onExecutionEnd(std::move(message.executionEnd));
    }
    return {ErrorCode::ProtocolViolation, "unexpected message"};
}

bool PeerService::usesLink(const NodeName& peer) const {
    const auto remote = _remotes.find(peer);
    return (remote != _remotes.end() && remote->second->usesLink()) || _forwarding->usesLink(peer);
}

void PeerService::onTick(TimePoint now) {
    for (const auto& [owner, remote] : _remotes) {
        remote->onTick(now);
    }
}

std::optional<TimePoint> PeerService::nextTick() const {
    std::optional<TimePoint> earliest;
    for (const auto& [owner, remote] : _remotes) {
        const std::optional<TimePoint> next = remote->nextTick();
        if (next && (!earliest || *next < *earliest)) {
            earliest = next;
        }
    }
    return earliest;
}

}  // namespace coralhoist::peer
