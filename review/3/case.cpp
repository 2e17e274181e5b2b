/**
 * A route moves to another service and back while a session stays open. The session must still read
 * what it has committed at the first service.
 */
#include "standins/Standins.h"

using namespace review;

namespace {

constexpr int kRounds = 12;
/** Replicas are 8 to 60 ms behind; a disruption multiplies that. */
constexpr milliseconds kUsualLag{30};
constexpr milliseconds kTroubledLag{1500};
constexpr int kStalenessMs = 2500;

class Case {
public:
    explicit Case(const CaseArguments& arguments)
        : _arguments(arguments),
          _record(arguments.record),
          _first("huvo11a", _store, _record),
          _second("kafi81c", _store, _record),
          _cloud([](const HttpRequest&) {
              return HttpReply{409, {}};
          }) {}

    int run() {
        configure(_first.name());
        for (const char* number : {"1", "2", "3"}) {
            _first.add(std::string("i-") + number, "midrand-a");
            _second.add(std::string("k-") + number, "midrand-a");
        }
        _proxy = std::make_unique<Proxy>(
            _arguments.program, Proxy::Surroundings{_arguments.folder, "front-midrand-a-1",
                                                    "midrand-a", _store.port(), _cloud.port()});
        _proxy->start();
        if (!_proxy->awaitReady(milliseconds(8000))) {
            finish(_record, kCouldNotRun, "the proxy did not become ready");
        }
        pause(milliseconds(2000));
        std::thread([this] { readBounded(); }).detach();
        _first.setLag(_arguments.trouble ? kTroubledLag : kUsualLag);
        int stale = 0;
        int read = 0;
        for (int round = 0; round < kRounds; ++round) {
            playRound(round, stale, read);
        }
        finish(_record, read == 0 ? kCouldNotRun : (stale > 0 ? kRuleBroken : kRuleHeld),
               std::to_string(stale) + " of " + std::to_string(read) +
                   " reads lacked a commit that their own session was told of");
    }

private:
    /** Writes a version with the route to the service, or without the route. */
    void configure(const std::string& service) {
        ++_version;
        QJsonArray routes{route("lepu270", "primary", _first.name()),
                          route("xapu221", "bounded_staleness", _first.name(), kStalenessMs)};
        if (!service.empty()) {
            routes.append(route("fiti832", "read_your_writes", service, kStalenessMs));
        }
        _store.put("config", "main",
                   configuration(_version, routes, {_first.name(), _second.name()}));
        _record.note("configuration " + std::to_string(_version) + " acknowledged: fiti832 " +
                     (service.empty() ? "removed" : "at " + service));
    }

    /** Removes the route and adds it at the other service, while the session asks nothing. */
    void moveTo(const std::string& service) {
        configure("");
        pause(milliseconds(60));
        configure(service);
        pause(milliseconds(150));
    }

    std::string nextId() { return "q" + std::to_string(++_lastId); }

    /** Other callers, whose reads may be older. */
    void readBounded() {
        while (true) {
            ClientSession session(_proxy->callerPort(), "xapu221", _record);
            while (session.isOpen()) {
                session.ask(nextId(), "READ other");
                pause(milliseconds(30));
            }
        }
    }

    /** Another caller's commit, one of the session, and the session's reads of its own. */
    void playRound(int round, int& stale, int& read) {
        const std::string data = "round" + std::to_string(round);
        ClientSession other(_proxy->callerPort(), "lepu270", _record);
        ClientSession session(_proxy->callerPort(), "fiti832", _record);
        if (!other.isOpen() || !session.isOpen()) {
            return;
        }
        other.ask(nextId(), "WRITE other " + data);
        pause(milliseconds(600));
        const Told written = session.ask(nextId(), "WRITE thing " + data);
        if (!written.succeeded()) {
            return;
        }
        if (_arguments.trouble) {
            moveTo(_second.name());
            session.ask(nextId(), "READ elsewhere");
            moveTo(_first.name());
        }
        for (int attempt = 0; attempt < 20; ++attempt) {
            const Told told = session.ask(nextId(), "READ thing");
            if (told.succeeded() && told.signature != "-" && !told.rows.empty()) {
                ++read;
                if (told.rows.front() != data) {
                    ++stale;
                    _record.note("stale: read " + told.rows.front() + " after COMPLETE for " +
                                 data);
                }
            }
            pause(milliseconds(50));
        }
        pause(milliseconds(2000));
    }

    CaseArguments _arguments;
    Record _record;
    Store _store;
    DatabaseGroup _first;
    DatabaseGroup _second;
    HttpServer _cloud;
    std::unique_ptr<Proxy> _proxy;
    int _version = 6;
    std::atomic<int> _lastId{0};
};

}  // namespace

int main(int count, char** arguments) {
    return Case(readArguments(count, arguments)).run();
}
