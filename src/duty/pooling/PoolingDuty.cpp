#include "duty/pooling/PoolingDuty.h"

#include <algorithm>
#include <utility>

#include "base/Log.h"
#include "duty/pooling/PoolingMetrics.h"

namespace coralhoist::duty {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr const char* kReadyPath = "/ready";
constexpr const char* kMetricsPath = "/metrics";
constexpr std::chrono::milliseconds kDrainStep{50};

pooling::PoolerKnobs makeKnobs(const PoolingOptions& options) {
    pooling::PoolerKnobs knobs = options.pooler;
    knobs.node = options.name;
    knobs.zone = options.zone;
    return knobs;
}

}  // namespace

PoolingDuty::PoolingDuty(PoolingOptions options, PoolingAdapter adapter,
                         std::function<void()> stopped)
    : _options(std::move(options)),
      _adapter(std::move(adapter)),
      _stopped(std::move(stopped)),
      _random(_options.seed),
      _ticks(_clock),
      _connector(_poller, _adapter.serverCodec),
      _homes(_clock, _options.regions,
             [this](const GroupName& group) -> const pooling::ServerDirectory::Servers& {
                 return _control->serversOf(group);
             }),
      _pooler(_clock, _connector, *this, makeKnobs(_options)),
      _unitLinks(_poller, _clock, _pooler),
      _unitService(_poller, _pooler),
      _storeConnections(_poller, _clock, _options.store.host, _options.store.port),
      _storeEra(_clock),
      _storeClient(_storeConnections, _adapter.objectProtocol, _storeEra),
      _quotaShards(_storeClient, _adapter.objectProtocol, _adapter.clusterCodec),
      _quotas(quotaDependencies(), _options.quota),
      _coldUnits(_quotas),
      _warmup(_clock, _coldServers, _coldUnits),
      _gate(_clock, _pooler, _quotas, [this] { return settingsProvenAt(); },
            {_options.settingsBound, _options.revocationBound}),
      _callers(_poller, _adapter.callerCodec, _pooler, _gate, _clock, _options.maximumConnections),
      _readiness(_poller, [this](const std::string& path) { return answer(path); }),
      _metrics(_poller, [this](const std::string& path) { return answerMetrics(path); }),
      _promotionClient(_poller, _clock, _options.promotion.host, _options.promotion.port),
      _stop(_clock, _pooler, *this) {
    _pooler.setForwarder(_unitLinks);
    _pooler.setLoadReporter(_unitLinks);
    _pooler.setPlacementPolicy(_placement);
    keepEvacuations();
    if (_options.regions.hasSeveralRegions()) {
        watchRegions();
    }
}

tenancy::QuotaDependencies PoolingDuty::quotaDependencies() {
    return {_clock,        _unitLinks,
            _unitService,  _quotaShards,
            _storeEra,     {_options.name, life()},
            _options.zone, [this](const TenantName& tenant) { onQuotaChange(tenant); }};
}

/** @return a name of this life of the node. */
std::string PoolingDuty::life() const {
    return _options.name.value() + "/" + std::to_string(_options.seed);
}

TimePoint PoolingDuty::settingsProvenAt() const {
    return _control ? _control->settingsProvenAt() : TimePoint{};
}

void PoolingDuty::applyNodes(const std::vector<pooling::ProxyNode>& nodes) {
    _unitLinks.applyNodes(nodes);
    _quotas.applyNodes(nodes);
}

void PoolingDuty::applyTenants(const std::shared_ptr<const tenancy::TenantDirectory>& tenants) {
    _pooler.setCallersHaveTenants(tenants->definesTenants());
    _tenants = tenants;
    applyQuotas();
    _gate.applyTenants(tenants);
}

cluster::ClusterDependencies PoolingDuty::controlDependencies() {
    const pooling::ProxyNode self{_options.name, _options.zone, _options.forwarding.host,
                                  _unitService.port(), _options.capacity};
    return {
        _clock,
        _random,
        _storeClient,
        _storeEra,
        _promotionClient,
        _adapter.objectProtocol,
        _adapter.clusterCodec,
        _connector,
        _adapter.reportParser,
        _unitLinks,
        _unitService,
        _unitLinks,
        _unitService,
        self,
        [this](const std::vector<pooling::ProxyNode>& nodes) { applyNodes(nodes); },
        [this](const std::shared_ptr<const tenancy::TenantDirectory>& tenants) {
            applyTenants(tenants);
        },
        life(),
        freshnessBounds(),
        &_placement,
        [this](const GroupName& group, const pooling::ServerDirectory::Servers& servers) {
            applyServers(group, servers);
        },
        [this](const pooling::ServiceCatalog& catalog, const tenancy::TenantDirectory& tenants) {
            applyCatalog(catalog);
            applyHomes(catalog, tenants);
        },
        _options.regions,
        evacuationFollowing()};
}

/** Settings that are too old to judge a credential by would refuse statements: they are renewed
 * before. */
cluster::FreshnessBounds PoolingDuty::freshnessBounds() const {
    const Duration trusted = _gate.oldestSettings();
    return {
        trusted == Duration(0) ? _options.settingsBound : std::min(_options.settingsBound, trusted),
        _options.drainBound, _options.evacuationBound};
}

PoolingDuty::~PoolingDuty() = default;

Status PoolingDuty::start() {
    Status status = _readiness.listen(_options.readiness.host, _options.readiness.port);
    if (status.isOk()) {
        status = _unitService.listen(_options.forwarding.host, _options.forwarding.port);
    }
    if (status.isOk()) {
        status = _callers.listen(_options.callers.host, _options.callers.port);
    }
    if (!status.isOk()) {
        return status;
    }
    _control = std::make_unique<cluster::ClusterControl>(controlDependencies(), _pooler);
    const forwarding::QuestionEvents events{&_control->proofEvents(), &_control->feedEvents(),
                                            &_quotas, &_pooler};
    _unitLinks.setQuestionEvents(events);
    _unitService.setQuestionEvents(events);
    listenForMetrics();
    addTickSources();
    QObject::connect(&_drainTimer, &QTimer::timeout, [this] { continueDrain(); });
    LogEvent("daemon", LogLevel::Info, "daemon.started")
        .field("node", _options.name)
        .field("zone", _options.zone)
        .field("port", _callers.port());
    return Status::ok();
}

void PoolingDuty::addTickSources() {
    _ticks.add([this] { return _pooler.nextTick(); },
               [this](TimePoint /*now*/) { _pooler.onTick(); });
    _ticks.add([this] { return _control->nextTick(); },
               [this](TimePoint now) { _control->onTick(now); });
    _ticks.add([this] { return evacuationTick(); },
               [this](TimePoint now) { continueEvacuations(now); });
    _ticks.add([this] { return readyTick(); }, [this](TimePoint /*now*/) { becomeReady(); });
    _ticks.add([this] { return _unitLinks.nextTick(); },
               [this](TimePoint now) { _unitLinks.onTick(now); });
    _ticks.add([this] { return std::optional<TimePoint>(_quotas.nextTick()); },
               [this](TimePoint now) { _quotas.onTick(now); });
    _ticks.add(
        [this] { return _warmsUp ? std::optional<TimePoint>(_warmup.nextReview()) : std::nullopt; },
        [this](TimePoint /*now*/) { reviewColdServers(); });
    _ticks.add([this] { return _gate.nextTick(); }, [this](TimePoint now) { _gate.onTick(now); });
    _ticks.add([this] { return _callers.nextTick(); },
               [this](TimePoint now) { _callers.onTick(now); });
    _ticks.add([this] { return _storeConnections.nextTick(); },
               [this](TimePoint now) { _storeConnections.onTick(now); });
    _ticks.add([this] { return _promotionClient.nextTick(); },
               [this](TimePoint now) { _promotionClient.onTick(now); });
    _ticks.add(
        [this] { return hasGarbage() ? std::optional<TimePoint>(TimePoint::min()) : std::nullopt; },
        [this](TimePoint /*now*/) { collect(); });
}

bool PoolingDuty::hasGarbage() const {
    return _connector.hasClosed() || _callers.hasClosed() || _unitLinks.hasClosed() ||
           _unitService.hasClosed();
}

/** Frees closed connections outside their own events. */
void PoolingDuty::collect() {
    _connector.collect();
    _unitLinks.collect();
    _unitService.collect();
    _callers.collect();
    _readiness.collect();
    _metrics.collect();
}

/** @return at once when the control has just become ready. */
std::optional<TimePoint> PoolingDuty::readyTick() const {
    return !_wasReady && _control->isReady() ? std::optional<TimePoint>(TimePoint::min())
                                             : std::nullopt;
}

void PoolingDuty::becomeReady() {
    _wasReady = true;
    LogEvent("daemon", LogLevel::Info, "daemon.ready")
        .field("settings_version", _control->settingsVersion());
    _callers.startServing();
    if (!_stop.hasBegun()) {
        _unitService.startServing();
    }
}

bool PoolingDuty::isReady() const {
    return !_stop.hasBegun() && _control->isReady();
}

socket::HttpPage PoolingDuty::answer(const std::string& path) const {
    if (path == kReadyPath) {
        return isReady() ? socket::HttpPage{kOk, "ready\n"}
                         : socket::HttpPage{kUnavailable, "not ready\n"};
    }
    return {kNotFound, "unknown path\n"};
}

void PoolingDuty::reconfigure(const PoolingOptions& options) {
    const bool needsRestart = !(options.callers == _options.callers) ||
                              !(options.readiness == _options.readiness) ||
                              options.name != _options.name || options.zone != _options.zone;
    _options.store = options.store;
    _options.promotion = options.promotion;
    _options.drainTimeout = options.drainTimeout;
    _options.pooler = options.pooler;
    _storeConnections.redirect(options.store.host, options.store.port);
    _promotionClient.redirect(options.promotion.host, options.promotion.port);
    _pooler.setConnectionBound(options.pooler.connectionsPerServer);
    LogEvent("daemon", LogLevel::Info, "daemon.reloaded")
        .field("store", options.store.host + ":" + std::to_string(options.store.port))
        .field("needs_restart", needsRestart);
}

/** Without metrics the proxy serves all the same. */
void PoolingDuty::listenForMetrics() {
    const Status status = _metrics.listen(_options.metrics.host, _options.metrics.port);
    if (!status.isOk()) {
        LogEvent("daemon", LogLevel::Warning, "metrics.unavailable")
            .field("reason", status.message());
    }
}

socket::HttpPage PoolingDuty::answerMetrics(const std::string& path) const {
    if (path != kMetricsPath) {
        return {kNotFound, "unknown path\n"};
    }
    PoolingFigures figures;
    figures.pooler = _pooler.statistics();
    figures.sessions = _pooler.sessionCount();
    figures.waitingByRank = _pooler.waitingByRank();
    figures.nodes = _control->nodeCount();
    figures.settingsVersion = _control->settingsVersion();
    figures.settingsAge = _clock.now() - _control->settingsProvenAt();
    if (_evacuation) {
        figures.evacuations = EvacuationFigures{_clock.now() - _control->evacuationsProvenAt(),
                                                _evacuation->policy.sentElsewhere(),
                                                _evacuation->progress.gauges(_clock.now())};
    }
    figures.groupWork = {_pooler.activeGroups(), _control->activeFailovers(),
                         _control->failoversVisited()};
    figures.promotions = _control->promotions();
    figures.plannedMoves = _control->plannedMoves();
    figures.unreadableEntries = _control->unreadableEntries();
    figures.ready = isReady();
    figures.storeReachable = _control->isStoreReachable();
    figures.storeEra = _storeEra.current();
    figures.storeReturns = _storeEra.returns();
    if (_homesAsked) {
        figures.homes = _homes.statistics();
    }
    if (_regionWatch) {
        figures.regions =
            RegionFigures{_regionWatch->traffic, *_regionUse, _regionWatch->background.keptBack()};
    }
    figures.gate = _gate.statistics();
    figures.quotas = _quotas.statistics();
    if (_warmsUp) {
        figures.warmup = _warmup.statistics();
        figures.coldServers = _coldServers.coldCount(_clock.now());
    }
    figures.quotaShardsLed = _quotas.shardsLed();
    figures.quotaShardsAsDeputy = _quotas.shardsAsDeputy();
    return {kOk, renderMetrics(figures)};
}

void PoolingDuty::beginDrain() {
    if (_stop.hasBegun()) {
        return;
    }
    _stop.begin(_options.drainTimeout);
    _quotas.beginLeaving();
    _unitService.beginLeaving();
    _drainTimer.start(kDrainStep);
}

std::size_t PoolingDuty::openCount() const {
    return _callers.connectionCount() + _unitService.unitCount();
}

void PoolingDuty::continueDrain() {
    if (_stop.advance()) {
        _drainTimer.stop();
        _stopped();
    }
}

void PoolingDuty::reply(SessionId session, pooling::StatementResult result) {
    if (!_unitService.reply(session, result)) {
        _callers.reply(session, result);
    }
}

void PoolingDuty::closeSession(SessionId session) {
    _callers.closeSession(session);
}

void PoolingDuty::wantLeadershipProof(const GroupName& group) {
    _control->wantLeadershipProof(group);
}

void PoolingDuty::suspectPrimary(const GroupName& group, const ServerName& server,
                                 pooling::SuspicionReason reason) {
    _control->suspectPrimary(group, server, reason);
}

}  // namespace coralhoist::duty
