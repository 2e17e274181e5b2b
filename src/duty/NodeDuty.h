/** The thread that runs a proxy's node: execution, peers, membership, settings and operators. */
#pragma once

#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "contract/GroupRouter.h"
#include "duty/CallerChannel.h"
#include "duty/ExecutorChannel.h"
#include "duty/GroupDirectory.h"
#include "duty/GroupRuntimes.h"
#include "duty/MetricsBoard.h"
#include "duty/OperatorGateway.h"
#include "duty/RingExecutorServer.h"
#include "duty/SettingsControl.h"
#include "duty/SettingsStore.h"
#include "duty/event/DutyThread.h"
#include "duty/event/TickScheduler.h"
#include "link/operator/OperatorServer.h"
#include "link/peer/DatagramLink.h"
#include "link/peer/PeerService.h"
#include "link/peer/PeerTransport.h"
#include "link/platform/HttpPlatformClient.h"
#include "zone/Membership.h"

namespace coralhoist::duty {

/** What the node duty is started with. */
struct NodeDutyOptions {
    zone::Member self;
    std::string address;
    std::uint16_t peerPort = 0;
    std::uint16_t operatorPort = 0;
    std::string platformUrl;
    std::vector<zone::PeerAddress> seeds;
    Duration drainTimeout{0};
    std::string version;
    std::uint64_t seed = 0;
};

/** Ports that the node duty has bound. */
struct NodePorts {
    std::atomic<std::uint16_t> peer{0};
    std::atomic<std::uint16_t> operators{0};
};

/** Rings and other things shared with the rest of the process; all outlive the duty. */
struct NodeDutyLinks {
    ExecutorChannel& executorChannel;
    CallerChannel& callerChannel;
    MetricsBoard& metrics;
    NodePorts& ports;
    /** Asks the main thread for a planned stop; may be called from any thread. */
    std::function<void()> requestStop;
    /** Tells the main thread that the planned stop is complete; may be called from any thread. */
    std::function<void()> stopped;
};

/** Builds and joins the parts of a node. */
class NodeDuty final : public Duty,
                       public zone::MembershipOutput,
                       public zone::DistributionOutput,
                       public peer::SettingsChannelEvents,
                       public NodeControl {
public:
    NodeDuty(NodeDutyOptions options, NodeDutyLinks links);

    Status start() override;

    /** Begins the planned stop. Called on the duty's thread. */
    void beginDrain();

    /** @return an object of the duty's thread, through which other threads queue calls. */
    QObject* context() { return &_secondTimer; }

private:
    // zone::MembershipOutput
    void send(const zone::PeerAddress& to, const zone::MembershipMessage& message) override;
    void onMemberChanged(const zone::Member& member, zone::TableChange change) override;

    // zone::DistributionOutput
    void send(const zone::PeerReference& to, const zone::DistributionMessage& message) override;

    // peer::SettingsChannelEvents
    void onSettingsFrame(const NodeName& peer, std::string payload) override;
    void onSettingsLinkUp(const NodeName& peer) override;
    void onSettingsLinkDown(const NodeName& peer) override;

    // NodeControl
    std::string readinessReason() const override;
    bool isDraining() const override { return _drainDeadline.has_value(); }
    bool isPlatformReachable() const override { return _settings->isPlatformReachable(); }
    gen::SessionSummary sessions() const override;
    void requestDrain() override { _links.requestStop(); }
    void onEditAccepted(const settings::SettingsObjectRecord& record) override {
        _settings->onLocalRecord(record);
    }
    void collectInForce(const gen::SettingsInForceRequest& request,
                        operators::Completion<gen::SettingsInForceResponse> completion) override;

    Status bindPeerPorts();
    void buildNode();
    void addTickSources();
    void publishSettings(const std::shared_ptr<const settings::SettingsSnapshot>& snapshot);
    void publishToCallers();
    void onControlBytes(const std::string& from, const std::string& bytes);
    void onCallerReport(const CallerReport& report);
    void everySecond();
    void checkDrained();

    NodeDutyOptions _options;
    NodeDutyLinks _links;
    SteadyClock _clock;
    SeededRandom _random;
    TickScheduler _ticks;

    peer::PeerService _peers;
    peer::PeerTransport _transport;
    peer::DatagramLink _datagrams;
    GroupRuntimes _runtimes;

    // Built by start, once the peer port is known.
    std::optional<zone::Membership> _membership;
    std::optional<GroupDirectory> _directory;
    std::optional<contract::GroupRouter> _router;
    std::optional<RingExecutorServer> _executorServer;

    platform::HttpPlatformClient _platform;
    SettingsStore _store;
    std::optional<SettingsControl> _settings;
    std::shared_ptr<const settings::SettingsSnapshot> _snapshot;
    std::shared_ptr<const settings::SettingsSnapshot> _publishedToCallers;

    std::optional<OperatorGateway> _gateway;
    std::optional<operators::OperatorServer> _operatorServer;

    RingSender<CallerUpdate> _callerUpdates;
    RingReceiver<CallerReport> _callerReports;
    CallerReport _lastCallerReport;

    QTimer _secondTimer;
    QTimer _drainTimer;
    std::optional<TimePoint> _drainDeadline;
};

}  // namespace coralhoist::duty
