#include "lab/soak/SoakRun.h"

#include <QEventLoop>
#include <QFile>
#include <QJsonArray>
#include <QTimer>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "base/SystemTime.h"
#include "lab/soak/FaultyRelay.h"
#include "lab/soak/ProxyProcess.h"
#include "lab/soak/StandInStore.h"
#include "lab/soak/WireCaller.h"
#include "lab/soak/WireServer.h"

namespace coralhoist::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPump = milliseconds(1);
constexpr Duration kGroupStep = milliseconds(2);
constexpr Duration kAnnounceEvery = milliseconds(50);
/** Callers begin this long after the proxies have been started. */
constexpr Duration kStart = seconds(2);
/** After the faults everything is healed; the last part of this time is judged. */
constexpr Duration kRecovery = seconds(6);
constexpr Duration kRecoveryJudged = seconds(2);
constexpr Duration kDrainCallers = seconds(1);
constexpr std::uint64_t kShortestGapMs = 200;
constexpr std::uint64_t kGapSpreadMs = 900;
constexpr std::uint64_t kShortestFaultMs = 200;
constexpr std::uint64_t kFaultSpreadMs = 3500;
constexpr milliseconds kStopGrace{6000};
constexpr int kConnectionsPerServer = 30;
constexpr int kStatementTimeoutMs = 800;
constexpr Duration kStaleness = milliseconds(600);
constexpr int kOk = 200;
constexpr int kConflict = 409;

/** Kinds of objects in the store. */
constexpr const char* kServers = "servers";
constexpr const char* kNodes = "proxies";

/** Kinds of faults; one is drawn at a time and healed later. */
enum class SoakFault {
    ProxyKilled,
    ProxyPaused,
    ProxyStopped,
    ServerLinkDelayed,
    ServerLinkReset,
    ServerLinkSilent,
    ServerLinkOneWay,
    StoreLinkSilent,
    StoreLinkReset,
    PeerLinkSilent,
    PeerLinkReset,
    PeerLinkDelayed,
    StoreRefuses,
    StoreAnswersLost,
    StoreForgets,
    PrimaryCrashes,
    PrimaryIsolated,
    ReplicaDeaf,
    ReplicaLags,
    ConfigurationChanges,
    Count
};

const char* describe(SoakFault fault) {
    constexpr const char* kNames[] = {
        "proxy killed",      "proxy paused",       "proxy stopped",       "server link delayed",
        "server link reset", "server link silent", "server link one way", "store link silent",
        "store link reset",  "peer link silent",   "peer link reset",     "peer link delayed",
        "store refuses",     "store answers lost", "store forgets",       "primary crashes",
        "primary isolated",  "replica deaf",       "replica lags",        "configuration changes"};
    return kNames[static_cast<std::size_t>(fault)];
}

/** Builds the parts, plays the faults, asks the judge. */
class Soak {
public:
    explicit Soak(const SoakOptions& options)
        : _options(options),
          _random(options.seed),
          _group(GroupName("g"), options.group, _queue, _judge),
          _activity(std::make_shared<pooled::NodeActivity>()),
          _connector(_queue, _random, _judge, _book, {{_group.name(), &_group}}, _activity),
          _store(
              _queue, _random,
              [this](std::size_t proxy, const std::string& kind, const std::string& name,
                     QJsonObject spec) { return view(proxy, kind, name, std::move(spec)); },
              [this](const std::string& group, const std::string& server, const std::string& holder,
                     std::uint64_t fence) { return promote(group, server, holder, fence); }),
          _callerWorld{_queue, _random, _judge, _book, [this] { return choosePort(); }} {}

    SoakReport run() {
        startServers();
        writeConfiguration();
        startProxies();
        QTimer pump;
        pump.setTimerType(Qt::PreciseTimer);
        QObject::connect(&pump, &QTimer::timeout, [this] { this->pump(); });
        pump.start(std::chrono::duration_cast<milliseconds>(kPump));
        _queue.after(kStart, [this] { startCallers(); });
        if (_options.faults) {
            _queue.after(kStart, [this] { playFaults(); });
        }
        const Duration faultsEnd = kStart + seconds(_options.seconds);
        _queue.after(faultsEnd, [this] { healAll(); });
        _queue.after(faultsEnd + kRecovery - kRecoveryJudged,
                     [this] { _acknowledgedBefore = _judge.acknowledged(); });
        _queue.after(faultsEnd + kRecovery, [this] { retire(); });
        _queue.after(faultsEnd + kRecovery + kDrainCallers, [this] { _loop.quit(); });
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

    void startServers() {
        for (const auto& server : _group.servers()) {
            _servers.push_back(
                std::make_unique<WireServer>(_connector, _judge, _book, _group, server->name));
            _serverPorts[server->name.value()] = _servers.back()->port();
        }
        stepGroup();
        announce();
    }

    void stepGroup() {
        _group.step();
        _connector.step();
        _queue.after(kGroupStep, [this] { stepGroup(); });
    }

    void announce() {
        for (const pooling::ServerAnnouncement& announcement : _group.announcements()) {
            const std::string name = announcement.address.server.value();
            const bool primary = announcement.role == pooling::ServerRole::Primary;
            _store.put(kServers, name,
                       {{"service", QString::fromStdString(_group.name().value())},
                        {"addr", address(_serverPorts[name])},
                        {"zone", "z"},
                        {"version", "v1"},
                        {"slots", 3},
                        {"state", announcement.draining ? "draining" : "ready"},
                        {"db_role", primary ? "primary" : "replica"}});
        }
        _queue.after(kAnnounceEvery, [this] { announce(); });
    }

    static QString address(std::uint16_t port) { return "127.0.0.1:" + QString::number(port); }

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
        const QJsonArray routes{route("current", "primary"), route("bounded", "bounded_staleness"),
                                route("own", "read_your_writes")};
        const QJsonArray services{
            QJsonObject{{"name", "g"}, {"max_conns", kConnectionsPerServer}, {"sync_replicas", 1}}};
        // The limit differs in each version, so that each one is a change.
        _store.put("config", "main",
                   {{"version", _configuration},
                    {"routes", routes},
                    {"services", services},
                    {"limits", QJsonObject{{"tx_idle_ms", 1000 + _configuration}}}});
    }

    void startProxies() {
        for (std::uint32_t index = 0; index < _options.proxies; ++index) {
            const std::uint16_t storePort = _store.addProxy();
            _storeRelays.push_back(std::make_unique<FaultyRelay>(storePort));
            ProxySurroundings surroundings;
            surroundings.name = NodeName("p" + std::to_string(index + 1));
            surroundings.zone = ZoneName("z");
            surroundings.callerPort = freePort();
            surroundings.readinessPort = freePort();
            surroundings.storePort = _storeRelays.back()->port();
            const std::string log =
                _options.logFolder + "/soak-" + surroundings.name.value() + ".log";
            _proxies.push_back(std::make_unique<ProxyProcess>(
                _options.program, surroundings, log, [this, surroundings](int exitCode) {
                    _judge.fail("EXIT: " + surroundings.name.value() + " ended by itself, code " +
                                std::to_string(exitCode));
                }));
            _proxies.back()->start();
        }
    }

    void startCallers() {
        const ServicePromise services[] = {{"current", pooled::ReadPromise::Current, Duration(0)},
                                           {"bounded", pooled::ReadPromise::Bounded, kStaleness},
                                           {"own", pooled::ReadPromise::OwnAndBounded, kStaleness}};
        for (std::uint32_t index = 0; index < _options.callers; ++index) {
            _callers.push_back(
                std::make_unique<WireCaller>(_callerWorld, services[index % std::size(services)]));
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
        spec["addr"] = address(relay->port());
        return spec;
    }

    int promote(const std::string& group, const std::string& server, const std::string& holder,
                std::uint64_t fence) {
        if (group != _group.name().value()) {
            return kConflict;
        }
        const pooled::LogServer& target = _group.server(ServerName(server));
        if (target.running && target.primary) {
            return kOk;
        }
        _judge.onPromoteCalled(_group.name(), holder, fence, _queue.now());
        return _group.promote(ServerName(server)) ? kOk : kConflict;
    }

    /** Draws one fault after another; several may stand at a time. */
    void playFaults() {
        if (_healed) {
            return;
        }
        const auto fault =
            static_cast<SoakFault>(_random.below(static_cast<std::uint64_t>(SoakFault::Count)));
        const auto at = std::chrono::duration_cast<milliseconds>(_queue.now() - _queueStart);
        _played.push_back(std::to_string(at.count()) + " " + describe(fault));
        begin(fault);
        _queue.after(milliseconds(kShortestGapMs + _random.below(kGapSpreadMs)),
                     [this] { playFaults(); });
    }

    void heal(std::function<void()> action) {
        const std::uint64_t number = ++_lastHealing;
        _healings[number] = std::move(action);
        _queue.after(milliseconds(kShortestFaultMs + _random.below(kFaultSpreadMs)),
                     [this, number] { runHealing(number); });
    }

    void runHealing(std::uint64_t number) {
        const auto found = _healings.find(number);
        if (found != _healings.end()) {
            const std::function<void()> action = std::move(found->second);
            _healings.erase(found);
            action();
        }
    }

    void healAll() {
        _healed = true;
        while (!_healings.empty()) {
            runHealing(_healings.begin()->first);
        }
    }

    ProxyProcess& randomProxy() { return *_proxies[_random.below(_proxies.size())]; }

    template <typename Relays>
    FaultyRelay* randomRelay(Relays& relays) {
        if (relays.empty()) {
            return nullptr;
        }
        auto chosen = relays.begin();
        std::advance(chosen, static_cast<long>(_random.below(relays.size())));
        if constexpr (requires { chosen->second; }) {
            return chosen->second.get();
        } else {
            return chosen->get();
        }
    }

    void disturb(FaultyRelay* relay, const RelayFaults& faults) {
        if (relay != nullptr) {
            relay->setFaults(faults);
            heal([relay] { relay->setFaults({}); });
        }
    }

    static void reset(FaultyRelay* relay) {
        if (relay != nullptr) {
            relay->resetAll();
        }
    }

    pooled::LogServer& primary() {
        pooled::LogServer* best = _group.servers().front().get();
        for (const auto& server : _group.servers()) {
            if (server->primary && server->term >= best->term) {
                best = server.get();
            }
        }
        return *best;
    }

    pooled::LogServer& replica() {
        std::vector<pooled::LogServer*> replicas;
        for (const auto& server : _group.servers()) {
            if (!server->primary) {
                replicas.push_back(server.get());
            }
        }
        return replicas.empty() ? primary() : *replicas[_random.below(replicas.size())];
    }

    void killProxy() {
        ProxyProcess& proxy = randomProxy();
        if (!proxy.isRunning()) {
            return;
        }
        proxy.kill();
        heal([&proxy] { proxy.start(); });
    }

    void pauseProxy() {
        ProxyProcess& proxy = randomProxy();
        proxy.pause();
        heal([&proxy] { proxy.resume(); });
    }

    void stopProxy() {
        ProxyProcess& proxy = randomProxy();
        if (!proxy.isRunning()) {
            return;
        }
        proxy.stop(kStopGrace);
        heal([&proxy] {
            if (proxy.isRunning()) {
                proxy.kill();
            }
            proxy.start();
        });
    }

    void crashPrimary() {
        pooled::LogServer& server = primary();
        if (server.running) {
            _group.crash(server);
            heal([this, &server] { _group.restart(server); });
        }
    }

    void isolatePrimary() {
        const ServerName name = primary().name;
        _group.setIsolated(name, true);
        heal([this, name] { _group.setIsolated(name, false); });
    }

    void begin(SoakFault fault) {
        StoreFaults& store = _store.faults();
        const RelayFaults delayed{milliseconds(20 + _random.below(200)), false, false};
        const RelayFaults silent{milliseconds(0), true, true};
        const bool forward = _random.below(2) == 0;
        const RelayFaults oneWay{milliseconds(0), forward, !forward};
        switch (fault) {
            case SoakFault::ProxyKilled:
                return killProxy();
            case SoakFault::ProxyPaused:
                return pauseProxy();
            case SoakFault::ProxyStopped:
                return stopProxy();
            case SoakFault::ServerLinkDelayed:
                return disturb(randomRelay(_serverRelays), delayed);
            case SoakFault::ServerLinkReset:
                return reset(randomRelay(_serverRelays));
            case SoakFault::ServerLinkSilent:
                return disturb(randomRelay(_serverRelays), silent);
            case SoakFault::ServerLinkOneWay:
                return disturb(randomRelay(_serverRelays), oneWay);
            case SoakFault::StoreLinkSilent:
                return disturb(randomRelay(_storeRelays), silent);
            case SoakFault::StoreLinkReset:
                return reset(randomRelay(_storeRelays));
            case SoakFault::PeerLinkSilent:
                return disturb(randomRelay(_peerRelays), silent);
            case SoakFault::PeerLinkReset:
                return reset(randomRelay(_peerRelays));
            case SoakFault::PeerLinkDelayed:
                return disturb(randomRelay(_peerRelays), delayed);
            case SoakFault::StoreRefuses:
                store.refuses = true;
                return heal([&store] { store.refuses = false; });
            case SoakFault::StoreAnswersLost:
                store.answersLost = 0.4;
                return heal([&store] { store.answersLost = 0; });
            case SoakFault::StoreForgets:
                store.forgotten = true;
                return;
            case SoakFault::PrimaryCrashes:
                return crashPrimary();
            case SoakFault::PrimaryIsolated:
                return isolatePrimary();
            case SoakFault::ReplicaDeaf: {
                pooled::LogServer& server = replica();
                server.deaf = true;
                return heal([&server] { server.deaf = false; });
            }
            case SoakFault::ReplicaLags: {
                pooled::LogServer& server = replica();
                server.applyLag = milliseconds(300 + _random.below(900));
                return heal([&server] { server.applyLag = Duration(0); });
            }
            case SoakFault::ConfigurationChanges:
                return writeConfiguration();
            case SoakFault::Count:
                return;
        }
    }

    void retire() {
        _acknowledgedAfter = _judge.acknowledged() - _acknowledgedBefore;
        for (const auto& caller : _callers) {
            caller->retire();
        }
    }

    SoakReport report() {
        _judge.onEnd(_group.finalCommits());
        SoakReport report;
        report.violations = _judge.violations();
        report.faults = _played;
        report.answered = _callerWorld.answered;
        report.failed = _callerWorld.failed;
        report.acknowledged = _judge.acknowledged();
        report.acknowledgedAfterFaults = _acknowledgedAfter;
        report.promotions = _group.promotions();
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
    std::map<std::string, std::uint16_t> _serverPorts;
    StandInStore _store;
    std::vector<std::unique_ptr<FaultyRelay>> _storeRelays;
    /** Relays by the number of the proxy that uses them and the name of what they lead to. */
    std::map<std::pair<std::size_t, std::string>, std::unique_ptr<FaultyRelay>> _serverRelays;
    std::map<std::pair<std::size_t, std::string>, std::unique_ptr<FaultyRelay>> _peerRelays;
    std::vector<std::unique_ptr<ProxyProcess>> _proxies;
    CallerWorld _callerWorld;
    std::vector<std::unique_ptr<WireCaller>> _callers;
    std::map<std::uint64_t, std::function<void()>> _healings;
    std::uint64_t _lastHealing = 0;
    bool _healed = false;
    std::vector<std::string> _played;
    int _configuration = 0;
    std::size_t _acknowledgedBefore = 0;
    std::size_t _acknowledgedAfter = 0;
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
