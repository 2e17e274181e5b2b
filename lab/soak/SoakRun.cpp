#include "lab/soak/SoakRun.h"

#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QTimer>
#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "base/SystemTime.h"
#include "lab/soak/ReservedPort.h"
#include "lab/soak/ServerEntries.h"
#include "lab/soak/SoakEvacuations.h"
#include "lab/soak/SoakFaults.h"
#include "lab/soak/SoakFreezes.h"
#include "lab/soak/SoakPlan.h"
#include "lab/soak/SoakReturns.h"
#include "lab/soak/SoakSettings.h"
#include "lab/soak/SoakStops.h"
#include "lab/soak/SoakTenants.h"
#include "lab/soak/WireCaller.h"
#include "lab/soak/WireServer.h"
#include "platform/WireWords.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPump = milliseconds(1);
constexpr Duration kGroupStep = milliseconds(2);
/** Callers begin this long after the proxies have been started. */
constexpr Duration kStart = seconds(2);
/** After the faults everything is healed; recovery is looked at after this time at the earliest. */
constexpr Duration kShortestRecovery = seconds(6);
/** Recovered is who acknowledges so many commits in the last part of the time. */
constexpr Duration kRecoveryJudged = seconds(2);
constexpr std::size_t kRecoveredCommits = 40;
constexpr Duration kRecoveryStep = milliseconds(250);
constexpr Duration kDrainCallers = seconds(1);
constexpr int kConnectionsPerServer = 30;
constexpr int kStatementTimeoutMs = 800;
constexpr Duration kStaleness = milliseconds(600);
constexpr int kOk = 200;
constexpr int kConflict = 409;

/** Kinds of objects in the store. */
constexpr const char* kServers = "servers";
constexpr const char* kNodes = "proxies";
constexpr const char* kPromotions = "promotions";

/** Builds the parts, lets the faults play, asks the judge. */
class Soak {
public:
    explicit Soak(const SoakOptions& options)
        : _options(options),
          _random(options.seed),
          _group(GroupName("g"), options.group, _queue, _judge),
          _activity(std::make_shared<pooled::NodeActivity>()),
          _connector(_queue, _random, _judge, _book, {{_group.name(), &_group}}, _activity),
          _store(_queue, _random,
                 [this](std::size_t proxy, const std::string& kind, const std::string& name,
                        QJsonObject spec) { return view(proxy, kind, name, std::move(spec)); },
                 {[this](const PromotionCall& call) { onPromotionCalled(call); },
                  [this](const PromotionCall& call) { return promote(call); }}),
          _entries(_queue, _group, _store),
          _callerWorld{_queue, _random, _judge, _book, [this] { return choosePort(); }},
          _faults(_queue,
                  {_group, _entries, _servers, _store.faults(), _proxies, _storeRelays,
                   _serverRelays, _peerRelays, [this] { writeConfiguration(); }, _timeline}) {}

    SoakReport run() {
        _callerWorld.quotas = _options.tenants ? &_quotas : nullptr;
        _callerWorld.allAnswered = _options.stops;
        startServers();
        writeConfiguration();
        _store.setOnChanged([this](const std::string& kind, const QJsonObject& spec) {
            if (kind == kPromotions) {
                _freezes.onRecordWritten(spec["holder"].toString().toStdString(),
                                         spec["phase"] == "promoting");
            }
        });
        startProxies();
        if (_options.settings) {
            _settings = std::make_unique<SoakSettings>(_queue, _options.seed, _store.faults(),
                                                       _proxies, _storeRelays, _peerRelays,
                                                       _timeline, [this] { writeConfiguration(); });
        }
        QTimer pump;
        pump.setTimerType(Qt::PreciseTimer);
        QObject::connect(&pump, &QTimer::timeout, [this] { this->pump(); });
        pump.start(std::chrono::duration_cast<milliseconds>(kPump));
        _queue.after(kStart, [this] { startCallers(); });
        if (_options.faults) {
            const Duration length = seconds(_options.seconds);
            _queue.after(kStart, [this, length] { playFaults(length); });
        }
        _queue.after(kStart + seconds(_options.seconds), [this] {
            healFaults();
            _healedAt = _queue.now();
            watchRecovery();
        });
        _loop.exec();
        return report();
    }

private:
    void pump() {
        _queue.runUntil(_queueStart + (_clock.now() - _start));
        for (const auto& server : _servers) {
            server->step();
        }
    }

    void playFaults(Duration length) {
        if (_options.returns) {
            _returns.play(length);
        }
        if (_settings) {
            _settings->play(length);
        } else if (_options.evacuations) {
            _evacuations.play(_zones, length);
        } else if (_options.stops) {
            _stops.play(length);
        } else if (_options.freezes) {
            _freezes.play(length);
        } else {
            _faults.play(drawPlan(_options.seed, length));
        }
    }

    void healFaults() {
        _returns.healAll();
        _faults.healAll();
        _evacuations.healAll();
        if (_options.stops) {
            _stops.healAll();
        }
        _freezes.healAll();
        if (_settings) {
            _settings->healAll();
        }
    }

    void startServers() {
        for (const auto& server : _group.servers()) {
            _servers.push_back(std::make_unique<WireServer>(_connector, _random, _judge, _book,
                                                            _group, server->name));
            if (_options.tenants) {
                _servers.back()->setQuotaJudge(_quotas);
            }
            _entries.setPort(server->name, _servers.back()->port());
            if (_options.evacuations) {
                startZone(*_servers.back());
            }
        }
        stepGroup();
        _entries.start();
    }

    /** Each server stands in a zone of its own. */
    void startZone(WireServer& server) {
        const ZoneName zone("z" + std::to_string(_zones.size() + 1));
        _zones.push_back(zone);
        _entries.setZone(server.name(), zone);
        server.setOnStatement(
            [this, zone] { _evacuations.judge().onStatement(zone, _queue.now()); });
    }

    void stepGroup() {
        _group.step();
        _connector.step();
        _queue.after(kGroupStep, [this] { stepGroup(); });
    }

    static QJsonObject route(const char* database, const char* kind) {
        return {{"name", database},
                {"host", database},
                {"service", "g"},
                {"kind", kind},
                {"timeout_ms", kStatementTimeoutMs},
                {"target_ms", 200},
                {"priority", std::string(kind) == "primary" ? 1 : 2},
                {"max_staleness_ms",
                 static_cast<int>(std::chrono::duration_cast<milliseconds>(kStaleness).count())}};
    }

    void writeConfiguration() {
        ++_configuration;
        QJsonArray routes{route("current", "primary"), route("bounded", "bounded_staleness"),
                          route("own", "read_your_writes")};
        if (_settings) {
            for (const std::string& database : _settings->databases()) {
                routes.append(route(database.c_str(), "primary"));
            }
        }
        const QJsonArray services{
            QJsonObject{{"name", "g"}, {"max_conns", kConnectionsPerServer}, {"sync_replicas", 1}}};
        // The limit differs in each version, so that each one is a change.
        QJsonObject configuration{{"version", _configuration},
                                  {"routes", routes},
                                  {"services", services},
                                  {"limits", QJsonObject{{"tx_idle_ms", 1000 + _configuration}}}};
        if (_options.tenants) {
            configuration["tenants"] = soakTenants();
        }
        _written = configuration;
        writeAgain();
    }

    /** What operators had written last, which the store may have lost. */
    void writeAgain() {
        _store.put("config", "main", _written);
        _evacuations.writeAgain();
    }

    void onStoreAway(bool away) {
        _evacuations.onStoreAway(away);
        if (_settings) {
            _settings->setStoreTroubled(away);
        }
    }

    void startProxies() {
        for (std::uint32_t index = 0; index < _options.proxies; ++index) {
            const std::uint16_t storePort = _store.addProxy();
            _storeRelays.push_back(std::make_unique<FaultyRelay>(storePort));
            ProxySurroundings surroundings;
            surroundings.name = NodeName("p" + std::to_string(index + 1));
            surroundings.zone = ZoneName("z");
            surroundings.callerPort = reservePort();
            surroundings.readinessPort = reservePort();
            surroundings.storePort = _storeRelays.back()->port();
            if (_options.evacuations) {
                surroundings.evacuationBound =
                    std::chrono::duration_cast<milliseconds>(kSoakEvacuationBound);
            }
            const std::string log = _options.logFolder + "/soak-" + std::to_string(_options.seed) +
                                    "-" + surroundings.name.value() + ".log";
            _proxies.push_back(std::make_unique<ProxyProcess>(
                _options.program, surroundings, log, [this, surroundings](int exitCode) {
                    _judge.fail("EXIT: " + surroundings.name.value() + " ended by itself, code " +
                                std::to_string(exitCode));
                }));
            _proxies.back()->start();
        }
    }

    std::uint16_t reservePort() {
        _ports.push_back(std::make_unique<ReservedPort>());
        return _ports.back()->number();
    }

    void startCallers() {
        const ServicePromise services[] = {{"current", pooled::ReadPromise::Current, Duration(0)},
                                           {"bounded", pooled::ReadPromise::Bounded, kStaleness},
                                           {"own", pooled::ReadPromise::OwnAndBounded, kStaleness}};
        for (std::uint32_t index = 0; index < _options.callers; ++index) {
            _callers.push_back(std::make_unique<WireCaller>(
                _callerWorld, services[index % std::size(services)],
                _options.tenants ? tenantOfCaller(index) : CallerTenant()));
        }
    }

    std::uint16_t choosePort() {
        return _proxies[_random.below(_proxies.size())]->surroundings().callerPort;
    }

    /** Shows servers and other nodes at the addresses of the relays of one proxy. */
    QJsonObject view(std::size_t proxy, const std::string& kind, const std::string& name,
                     QJsonObject spec) {
        const bool self =
            proxy < _proxies.size() && _proxies[proxy]->surroundings().name.value() == name;
        if (self || (kind != kServers && kind != kNodes)) {
            return spec;
        }
        auto& relays = kind == kServers ? _serverRelays : _peerRelays;
        const auto port =
            static_cast<std::uint16_t>(spec["addr"].toString().section(':', 1).toUInt());
        std::unique_ptr<FaultyRelay>& relay = relays[{proxy, name}];
        if (!relay) {
            relay = std::make_unique<FaultyRelay>(port);
        }
        relay->setTarget(port);
        spec["addr"] = loopbackAddress(relay->port());
        return spec;
    }

    /** @return whether the server is the present primary, for which a call changes nothing. */
    bool isLeading(const PromotionCall& call) {
        const pooled::LogServer& target = _group.server(ServerName(call.server));
        return target.running && target.primary && !_group.isReplaced(target);
    }

    void onPromotionCalled(const PromotionCall& call) {
        if (call.group == _group.name().value() && isLeading(call)) {
            _judge.onFenceSent(_group.name(), call.holder, call.fence);
        } else if (call.group == _group.name().value()) {
            _newestFence = std::max(_newestFence, call.fence);
            _timeline.note("promotion of " + call.server + " called by " + call.holder +
                           ", fence " + std::to_string(call.fence));
            _judge.onPromoteCalled(_group.name(), call.holder, call.fence, _queue.now());
        }
    }

    /** A call that is carried out after a newer one has come is refused by its fence. */
    int promote(const PromotionCall& call) {
        if (call.group != _group.name().value()) {
            return kConflict;
        }
        if (isLeading(call)) {
            return kOk;
        }
        const bool outdated = !_options.freezes && call.fence < _newestFence;
        _timeline.note("promotion of " + call.server +
                       (outdated ? " refused as outdated;" : " carried out;") + describeServers());
        return !outdated && _group.promote(ServerName(call.server)) ? kOk : kConflict;
    }

    /** @return role, term, last position and state of each server. */
    std::string describeServers() {
        std::string text;
        for (const auto& server : _group.servers()) {
            text += ' ' + server->name.value() + (server->primary ? " primary" : " replica") +
                    " term " + std::to_string(server->term) + " received " +
                    platform_adapter::writePosition(server->received()) +
                    (server->heldTerm > 0 ? " paused" : "") + (server->deaf ? " deaf" : "") +
                    (server->running ? ";" : " down;");
        }
        return text;
    }

    /** Ends the run once commits flow again, or when the time to recover is over. */
    void watchRecovery() {
        const Duration since = _queue.now() - _healedAt;
        _acknowledgedAt.emplace_back(_queue.now(), _judge.acknowledged());
        while (_queue.now() - _acknowledgedAt.front().first > kRecoveryJudged) {
            _acknowledgedAt.pop_front();
        }
        _acknowledgedAfter = _judge.acknowledged() - _acknowledgedAt.front().second;
        _recovered = since >= kShortestRecovery && _acknowledgedAfter >= kRecoveredCommits;
        const Duration limit =
            std::max(kShortestRecovery, Duration(seconds(_options.recoverySeconds)));
        if (!_recovered && since < limit) {
            _queue.after(kRecoveryStep, [this] { watchRecovery(); });
            return;
        }
        _recovery = since;
        retire();
        _queue.after(kDrainCallers, [this] { _loop.quit(); });
    }

    void retire() {
        if (_settings) {
            _settings->stop();
        }
        for (const auto& caller : _callers) {
            caller->retire();
        }
    }

    /** Judges the tenants' quotas and tells how near to them each came. */
    std::string judgeQuotas() {
        std::string text;
        for (const auto& [tenant, quota] : soakQuotas()) {
            text += ' ' + std::to_string(_quotas.busiestWindow(tenant)) + "/" +
                    std::to_string(soakQuotaTerms().bound(quota));
        }
        for (const std::string& violation : _quotas.violations(soakQuotas())) {
            _judge.fail(violation);
        }
        return text;
    }

    std::size_t begunFaults() const {
        if (_options.stops) {
            return _stops.begun();
        }
        if (_options.freezes) {
            return _freezes.begun();
        }
        if (_options.evacuations) {
            return _returns.begun() + _evacuations.begun();
        }
        return _returns.begun() + (_settings ? _settings->begun() : _faults.begun());
    }

    SoakReport report() {
        _judge.onEnd(_group.finalCommits());
        const std::string quotas = _options.tenants ? judgeQuotas() : std::string();
        SoakReport report;
        if (_settings) {
            for (const std::string& violation : _settings->judge().violations()) {
                _judge.fail(violation);
            }
            report.settingsJudged = _settings->judge().judged();
        }
        for (const std::string& violation : _evacuations.judge().violations()) {
            _judge.fail(violation);
        }
        report.evacuationsJudged = _evacuations.judge().judged();
        report.violations = _judge.violations();
        report.timeline = _timeline.notes();
        report.faults = begunFaults();
        report.answered = _callerWorld.answered;
        report.failed = _callerWorld.failed;
        report.acknowledged = _judge.acknowledged();
        report.acknowledgedAfterFaults = _acknowledgedAfter;
        report.recovered = _recovered;
        report.recovery = _recovery;
        report.promotions = _group.promotions();
        report.quotas = quotas;
        return report;
    }

    SoakOptions _options;
    SteadyClock _clock;
    TimePoint _start = _clock.now();
    simulation::EventQueue _queue;
    TimePoint _queueStart = _queue.now();
    SeededRandom _random;
    pooled::PooledJudge _judge;
    pooled::RequestBook _book;
    pooled::LogGroup _group;
    std::shared_ptr<pooled::NodeActivity> _activity;
    pooled::LogConnector _connector;
    std::vector<std::unique_ptr<WireServer>> _servers;
    SoakTimeline _timeline{_queue};
    StandInStore _store;
    ServerEntries _entries;
    std::vector<std::unique_ptr<FaultyRelay>> _storeRelays;
    RelaysByName _serverRelays;
    RelaysByName _peerRelays;
    std::vector<std::unique_ptr<ReservedPort>> _ports;
    std::vector<std::unique_ptr<ProxyProcess>> _proxies;
    QuotaJudge _quotas{soakQuotaTerms(), _clock};
    CallerWorld _callerWorld;
    std::vector<std::unique_ptr<WireCaller>> _callers;
    SoakFaults _faults;
    std::unique_ptr<SoakSettings> _settings;
    std::vector<ZoneName> _zones;
    SoakEvacuations _evacuations{_queue, _options.seed, _store, _timeline};
    SoakStops _stops{_queue, _options.seed, _proxies, _servers, _timeline};
    SoakFreezes _freezes{
        _queue, _options.seed, {_group, _entries, _servers, _proxies, _storeRelays, _timeline}};
    SoakReturns _returns{
        _queue,
        _options.seed,
        {_store, [this] { writeAgain(); }, [this](bool away) { onStoreAway(away); }, _timeline}};
    int _configuration = 0;
    QJsonObject _written;
    std::uint64_t _newestFence = 0;
    TimePoint _healedAt{};
    /** Commits acknowledged by then, over the last part of the time. */
    std::deque<std::pair<TimePoint, std::size_t>> _acknowledgedAt;
    std::size_t _acknowledgedAfter = 0;
    bool _recovered = false;
    Duration _recovery{0};
    QEventLoop _loop;
};

}  // namespace

SoakReport runSoak(const SoakOptions& options) {
    if (!QFile::exists(QString::fromStdString(options.program))) {
        SoakReport report;
        report.problem = "no program " + options.program;
        return report;
    }
    Soak soak(options);
    return soak.run();
}

}  // namespace coralhoist::soak
