/**
 * The thread that pools sessions over servers that an adapter speaks to: callers, servers, the
 * cluster's store and failovers share one event loop, because a statement would otherwise pay for
 * two hops between threads on machines with a part of one core.
 */
#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/SystemTime.h"
#include "cluster/ClusterControl.h"
#include "cluster/StoredQuotaShards.h"
#include "duty/event/DutyThread.h"
#include "duty/event/TickScheduler.h"
#include "link/forwarding/UnitLinks.h"
#include "link/forwarding/UnitService.h"
#include "link/session/CallerListener.h"
#include "link/session/SessionCodec.h"
#include "link/session/StreamServerConnector.h"
#include "link/socket/HttpClient.h"
#include "link/socket/HttpResponder.h"
#include "link/socket/SocketPoller.h"
#include "link/store/EraNotingCaller.h"
#include "locality/RegionMap.h"
#include "locality/RegionWatch.h"
#include "placement/HomePolicy.h"
#include "placement/PolicyChain.h"
#include "placement/QuotaRequestUnits.h"
#include "placement/RegionUse.h"
#include "placement/RegionalPrimary.h"
#include "placement/WarmupPolicy.h"
#include "placement/ZoneEvacuation.h"
#include "pooling/PlannedStop.h"
#include "pooling/StatementPooler.h"
#include "tenancy/QuotaExchange.h"
#include "tenancy/TenantGate.h"

namespace coralhoist::duty {

/** What the adapter supplies. All outlive the duty. */
struct PoolingAdapter {
    const session::CallerCodec& callerCodec;
    const session::ServerCodec& serverCodec;
    const store::ObjectProtocol& objectProtocol;
    const cluster::ClusterCodec& clusterCodec;
    failover::ReportParser reportParser;
};

/** An IP number and a port. */
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
};

/** What the duty is started with. */
struct PoolingOptions {
    NodeName name;
    ZoneName zone;
    /** The estate's zones and their regions. */
    locality::RegionMap regions;
    /** Rate of this machine's link in kbit/s times its share of a processor; 0: not told. */
    std::uint32_t capacity = 0;
    Endpoint callers;
    /** Where other nodes forward units of work to; port 0 lets the kernel choose. */
    Endpoint forwarding;
    Endpoint readiness;
    Endpoint store;
    Endpoint promotion;
    Endpoint metrics;
    std::uint32_t maximumConnections = 20000;
    /** How statements are placed; node and zone are those of above. */
    pooling::PoolerKnobs pooler;
    /** Time that a planned stop may take. */
    Duration drainTimeout{0};
    /** After this time a revoked credential of a tenant must not run anything; 0: no bound. */
    Duration revocationBound{0};
    /** A change of the settings is in force on this node after this time. */
    Duration settingsBound = std::chrono::milliseconds(3000);
    /** A server that drains gets nothing more after this time. */
    Duration drainBound = std::chrono::milliseconds(7000);
    /** An evacuated zone gets nothing more after this time; 0: no evacuations are kept. */
    Duration evacuationBound{0};
    tenancy::QuotaTerms quota;
    /** How far the rate of a server that is cold may be exceeded. */
    placement::WarmupBound warmup;
    std::uint64_t seed = 0;
};

/** Builds and joins the parts. */
class PoolingDuty final : public Duty,
                          public pooling::PoolerOutput,
                          public pooling::CallerFrontend {
public:
    /** @param stopped called on this thread when a planned stop is complete. */
    PoolingDuty(PoolingOptions options, PoolingAdapter adapter, std::function<void()> stopped);
    ~PoolingDuty() override;

    Status start() override;

    /**
     * Takes changed options while it runs: the addresses of store and promotion, the time of a
     * planned stop, the bound of connections. Others need a restart and are named in the log.
     */
    void reconfigure(const PoolingOptions& options);

    /** Begins the planned stop: not ready at once, idle sessions are closed, others may end. */
    void beginDrain();

    /** @return an object of the duty's thread, through which other threads queue calls. */
    QObject* context() { return &_drainTimer; }

private:
    void reply(SessionId session, pooling::StatementResult result) override;
    void closeSession(SessionId session) override;
    void wantLeadershipProof(const GroupName& group) override;
    void suspectPrimary(const GroupName& group, const ServerName& server,
                        pooling::SuspicionReason reason) override;
    void primaryChanged(const GroupName& group) override { _control->onPrimaryChanged(group); }
    void stopListening() override { _callers.stopListening(); }
    void passOnWaiting() override { _gate.passOnWaiting(); }
    std::size_t openCount() const override;

    socket::HttpPage answer(const std::string& path) const;
    socket::HttpPage answerMetrics(const std::string& path) const;
    void listenForMetrics();
    bool isReady() const;
    std::optional<TimePoint> readyTick() const;
    void becomeReady();
    void addTickSources();
    void collect();
    bool hasGarbage() const;
    void continueDrain();
    cluster::ClusterDependencies controlDependencies();
    tenancy::QuotaDependencies quotaDependencies();
    std::string life() const;
    cluster::FreshnessBounds freshnessBounds() const;
    void keepEvacuations();
    cluster::EvacuationFollowing evacuationFollowing();
    std::optional<TimePoint> evacuationTick() const;
    void continueEvacuations(TimePoint now);
    TimePoint settingsProvenAt() const;
    void applyNodes(const std::vector<pooling::ProxyNode>& nodes);
    void applyCatalog(const pooling::ServiceCatalog& catalog);
    void applyServers(const GroupName& group, const pooling::ServerDirectory::Servers& servers);
    void applyQuotas();
    void reviewColdServers();
    void onQuotaChange(const TenantName& tenant);
    void watchRegions();
    void logRegionTraffic(TimePoint now);
    void applyTenants(const std::shared_ptr<const tenancy::TenantDirectory>& tenants);

    void applyHomes(const pooling::ServiceCatalog& catalog,
                    const tenancy::TenantDirectory& tenants);

    PoolingOptions _options;
    PoolingAdapter _adapter;
    std::function<void()> _stopped;
    SteadyClock _clock;
    SeededRandom _random;
    TickScheduler _ticks;
    socket::SocketPoller _poller;
    /** Of an estate with several regions only. */
    std::optional<locality::RegionWatch> _regionWatch;
    session::StreamServerConnector _connector;
    placement::PolicyChain _placement;
    placement::HomePolicy _homes;
    /** The policy is asked: from the first settings on that name homes. */
    bool _homesAsked = false;
    /** Of an estate with several regions only. */
    std::optional<placement::RegionUse> _regionUse;
    std::optional<placement::RegionalPrimary> _regionalPrimary;
    TimePoint _nextRegionLog{};
    std::uint64_t _loggedRegionBytes = 0;
    pooling::StatementPooler _pooler;
    /** Where the platform keeps evacuations. */
    std::optional<placement::ZoneEvacuation> _evacuation;
    forwarding::UnitLinks _unitLinks;
    forwarding::UnitService _unitService;
    socket::HttpClient _storeConnections;
    StoreEra _storeEra;
    store::EraNotingCaller _storeClient;
    cluster::StoredQuotaShards _quotaShards;
    tenancy::QuotaExchange _quotas;
    std::shared_ptr<const tenancy::TenantDirectory> _tenants =
        std::make_shared<tenancy::TenantDirectory>();
    warmup::ColdServers _coldServers;
    placement::QuotaRequestUnits _coldUnits;
    placement::WarmupPolicy _warmup;
    /** The policy is in force: some group's servers start cold. */
    bool _warmsUp = false;
    tenancy::TenantGate _gate;
    session::CallerListener _callers;
    socket::HttpResponder _readiness;
    socket::HttpResponder _metrics;
    socket::HttpClient _promotionClient;
    /** Made by start(): it needs to know the port on which units are taken. */
    std::unique_ptr<cluster::ClusterControl> _control;
    pooling::PlannedStop _stop;
    bool _wasReady = false;
    QTimer _drainTimer;
};

}  // namespace coralhoist::duty
