/**
 * A server starts again under its id and leaves at once. Proxies that have heard of both must go
 * on.
 */
#include "standins/Standins.h"

using namespace review;

namespace {

constexpr int kRounds = 3;
constexpr milliseconds kRetentionAndRound{19000};

class Case {
public:
    explicit Case(const CaseArguments& arguments)
        : _arguments(arguments), _record(arguments.record), _group("huvo11a", _store, _record) {}

    int run() {
        _store.put("config", "main",
                   configuration(7,
                                 {route("lepu270", "primary", _group.name()),
                                  route("xapu221", "bounded_staleness", _group.name(), 1500)},
                                 {_group.name()}));
        _group.add("i-1", "midrand-a", 1'790'000'000'000);
        _group.add("i-2", "midrand-b", 1'790'000'000'100);
        _group.add("i-3", "centurion", 1'790'000'000'200);
        HttpServer cloud([](const HttpRequest&) { return HttpReply{409, {}}; });
        for (const char* name : {"front-midrand-a-1", "front-midrand-b-1"}) {
            _proxies.push_back(std::make_unique<Proxy>(
                _arguments.program, Proxy::Surroundings{_arguments.folder, name, "midrand-a",
                                                        _store.port(), cloud.port()}));
            _proxies.back()->start();
        }
        for (const auto& proxy : _proxies) {
            if (!proxy->awaitReady(milliseconds(8000))) {
                finish(_record, kCouldNotRun, "a proxy did not become ready");
            }
        }
        for (int round = 0; round < kRounds; ++round) {
            playRound(round);
        }
        const bool everywhere = _ends[0] >= kRounds && _ends[1] >= kRounds;
        finish(_record, everywhere ? kRuleBroken : kRuleHeld,
               "processes that ended by themselves: " + std::to_string(_ends[0]) + " times " +
                   _proxies[0]->name() + ", " + std::to_string(_ends[1]) + " times " +
                   _proxies[1]->name());
    }

private:
    /** Two servers, half a second apart, since proxies forget removed servers once a second. */
    void playRound(int round) {
        const std::int64_t born = 1'790'000'000'300 + round * 100'000;
        const std::vector<std::string> servers{"i-4", "i-5"};
        for (const std::string& id : servers) {
            if (round == 0) {
                _group.add(id, "midrand-a", born);
            } else {
                _group.restartAs(id, born);
            }
            _record.note("server " + id + " runs, born " + std::to_string(born));
        }
        serveFor(milliseconds(2500));
        for (const std::string& id : servers) {
            if (_arguments.trouble) {
                _group.restartAs(id, born + 50);
                _record.note("server " + id + " has started again, born " +
                             std::to_string(born + 50));
                pause(milliseconds(60));
            }
            _group.removeEntry(id);
            _record.note("server " + id + " has left: its entry is gone");
            pause(milliseconds(440));
        }
        serveFor(kRetentionAndRound);
    }

    /** Callers read meanwhile; what has ended is started again as the platform does. */
    void serveFor(milliseconds time) {
        const TimePoint until = SteadyClock::now() + time;
        while (SteadyClock::now() < until) {
            for (std::size_t index = 0; index < _proxies.size(); ++index) {
                if (const auto end = _proxies[index]->takeEnd()) {
                    ++_ends[index];
                    _record.note("process " + _proxies[index]->name() +
                                 " ended by itself: " + *end);
                    _proxies[index]->start();
                }
                ClientSession session(_proxies[index]->callerPort(), "lepu270", _record);
                if (session.isOpen()) {
                    session.ask("q" + std::to_string(++_lastId), "READ 1a4");
                }
            }
            pause(milliseconds(200));
        }
    }

    CaseArguments _arguments;
    Record _record;
    Store _store;
    DatabaseGroup _group;
    std::vector<std::unique_ptr<Proxy>> _proxies;
    int _ends[2] = {0, 0};
    int _lastId = 0;
};

}  // namespace

int main(int count, char** arguments) {
    return Case(readArguments(count, arguments)).run();
}
