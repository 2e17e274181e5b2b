/** Joins the links to other proxies with what uses them. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/Identifier.h"
#include "base/Time.h"
#include "contract/Execution.h"
#include "link/peer/ForwardingService.h"
#include "link/peer/LinkKnobs.h"
#include "link/peer/PeerChannels.h"
#include "link/peer/RemoteExecutor.h"

namespace coralhoist::peer {

/** Receives what the settings distribution needs of the links. */
class SettingsChannelEvents {
public:
    virtual ~SettingsChannelEvents() = default;

    /** Frames may be lost with a link; those sent earlier on a lost link did perhaps not arrive. */
    virtual void onSettingsFrame(const NodeName& peer, std::string payload) = 0;
    virtual void onSettingsLinkUp(const NodeName& peer) = 0;
    virtual void onSettingsLinkDown(const NodeName& peer) = 0;
};

/**
 * Hands each message of a link to its user: the executors of remote owners, the forwarding service
 * and the settings distribution. Single-threaded.
 */
class PeerService final : public PeerEvents {
public:
    explicit PeerService(const Clock& clock, ForwardingKnobs knobs = {});

    /**
     * Completes the construction, as the transport needs the service's events first.
     * @param channels, ownership, local, settingsEvents outlive the service.
     * @param firstLocalNumber see ForwardingService.
     */
    void start(PeerChannels& channels, const GroupOwnership& ownership,
               contract::StatementExecutor& local, std::uint64_t firstLocalNumber,
               SettingsChannelEvents& settingsEvents);

    /** Sets who hands on the work that this node relays; it outlives the service. */
    void setRelay(contract::StatementExecutor& relay) { _forwarding->setRelay(relay); }

    /** @return the executor that forwards to a peer; lives as long as the service. */
    RemoteExecutor& remoteExecutor(const NodeName& owner);

    /**
     * Sends a message of the settings distribution, after opening the link when needed.
     * @return Unavailable when the peer can't be reached, Overloaded when too many wait.
     */
    Status sendSettingsFrame(const NodeName& peer, std::string payload);

    void onLinkUp(const NodeName& peer) override;
    void onLinkDown(const NodeName& peer, const std::string& reason) override;
    void onWritable(const NodeName& peer) override;
    Status onMessage(const NodeName& peer, gen::PeerMessage message) override;
    bool usesLink(const NodeName& peer) const override;

    /** Ends forwarded requests whose deadline has passed. */
    void onTick(TimePoint now);

    /** @return when onTick must be called next; nothing when no timer runs. */
    std::optional<TimePoint> nextTick() const;

private:
    const Clock& _clock;
    ForwardingKnobs _knobs;
    PeerChannels* _channels = nullptr;
    SettingsChannelEvents* _settingsEvents = nullptr;
    std::unique_ptr<ForwardingService> _forwarding;
    std::map<NodeName, std::unique_ptr<RemoteExecutor>> _remotes;
    /** Settings frames that wait for a link that is being opened. */
    std::map<NodeName, std::deque<std::string>> _waitingFrames;
};

}  // namespace coralhoist::peer
