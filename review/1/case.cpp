/**
 * A machine freezes while its connection for a promotion call is being opened. When it wakes,
 * another machine holds the duty and has promoted: the call of before must not be sent any more.
 */
#include "standins/Standins.h"

using namespace review;

namespace {

constexpr std::size_t kProxies = 3;
/** The call's connection is being opened by then, and its time limit (0.9 s) has not passed. */
constexpr milliseconds kFreezeAfter{80};
/** Twice the site's dose of 4 s at the most. */
constexpr milliseconds kFrozenFor{7500};
/** "Some hundred ms after that call, the named server leads". */
constexpr milliseconds kPromotionTakes{300};

class Case {
public:
    explicit Case(const CaseArguments& arguments)
        : _arguments(arguments),
          _record(arguments.record),
          _group("huvo11a", _store, _record),
          _cloud([this](const HttpRequest& request) { return onCall(request); }, 1) {
        _store.onWritten = [this](const std::string& kind, const std::string& name,
                                  const QJsonObject& spec, std::uint64_t revision) {
            onWritten(kind, name, spec, revision);
        };
    }

    int run() {
        _store.put("config", "main",
                   configuration(7, {route("lepu270", "primary", _group.name())}, {_group.name()}));
        _group.add("i-1", "midrand-a");
        _group.add("i-2", "midrand-b");
        _group.add("i-3", "centurion");
        for (std::size_t index = 0; index < kProxies; ++index) {
            _proxies.push_back(std::make_unique<Proxy>(
                _arguments.program,
                Proxy::Surroundings{_arguments.folder, "front-midrand-" + std::to_string(index + 1),
                                    "midrand-" + std::string(1, static_cast<char>('a' + index)),
                                    _store.port(), _cloud.port()}));
            _proxies.back()->start();
        }
        for (const auto& proxy : _proxies) {
            if (!proxy->awaitReady(milliseconds(8000))) {
                finish(_record, kCouldNotRun, "a proxy did not become ready");
            }
        }
        for (const auto& proxy : _proxies) {
            std::thread([this, &proxy] { writeThrough(*proxy); }).detach();
        }
        pause(milliseconds(6000));
        if (_arguments.trouble) {
            fillQueue();
        }
        _group.crash("i-1");
        std::thread([this] { playServers(); }).detach();
        if (_arguments.trouble) {
            freezeCaller();
        }
        pause(milliseconds(6000));
        judge();
    }

private:
    struct Call {
        std::string holder;
        std::uint64_t fence = 0;
        std::string id;
    };

    /** Fills the queue of new connections of the platform, which has stopped taking them. */
    void fillQueue() {
        _cloud.listener().setAccepting(false);
        pause(milliseconds(50));
        for (int index = 0; index < 6; ++index) {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopback(_cloud.port());
            ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            _fillers.push_back(descriptor);
        }
        _record.note("the platform's queue of new connections is full");
    }

    void emptyQueue() {
        for (const int descriptor : _fillers) {
            ::close(descriptor);
        }
        _fillers.clear();
        _cloud.listener().setAccepting(true);
        _record.note("the platform takes new connections");
    }

    /**
     * The first primary returns as a replica; its successor crashes, and is back as a replica that
     * receives nothing for a while.
     */
    void playServers() {
        pause(milliseconds(3600));
        _group.removeEntry("i-1");
        pause(milliseconds(500));
        _group.restart("i-1");
        pause(milliseconds(500));
        const std::string successor = _group.leader();
        _group.crash(successor);
        pause(milliseconds(1900));
        _group.setDeaf(successor, true);
        _group.restart(successor);
        pause(milliseconds(3000));
        _group.setDeaf(successor, false);
    }

    void freezeCaller() {
        std::string holder;
        {
            std::unique_lock lock(_mutex);
            if (!_announced.wait_for(lock, std::chrono::seconds(10),
                                     [this] { return !_announcer.empty(); })) {
                finish(_record, kCouldNotRun, "no proxy announced a successor");
            }
            holder = _announcer;
        }
        pause(kFreezeAfter);
        Proxy* frozen = nullptr;
        for (const auto& proxy : _proxies) {
            frozen = holder.starts_with(proxy->name() + "/") ? proxy.get() : frozen;
        }
        if (frozen == nullptr) {
            finish(_record, kCouldNotRun, "the holder " + holder + " is unknown");
        }
        frozen->signal(SIGSTOP);
        _record.note("machine " + frozen->name() + " freezes");
        pause(milliseconds(100));
        emptyQueue();
        pause(kFrozenFor - milliseconds(100));
        frozen->signal(SIGCONT);
        _record.note("machine " + frozen->name() + " wakes");
    }

    void onWritten(const std::string& kind, const std::string& name, const QJsonObject& spec,
                   std::uint64_t revision) {
        if (kind != "promotions") {
            return;
        }
        const std::lock_guard lock(_mutex);
        const std::string holder = spec["holder"].toString().toStdString();
        _record.note("store: record " + name + " revision " + std::to_string(revision) + " phase " +
                     spec["phase"].toString().toStdString() + " holder " + holder + " successor " +
                     spec["successor"].toString().toStdString());
        if (spec["phase"] == "promoting" && _announcer.empty()) {
            _announcer = holder;
            _announced.notify_all();
        }
    }

    /** The platform does not look at the fence: `require_fence` is false. */
    HttpReply onCall(const HttpRequest& request) {
        const Call call{request.headers.at("x-lease-holder"),
                        std::stoull(request.headers.at("x-fencing-token")),
                        request.body["id"].toString().toStdString()};
        _record.note("platform: POST /failover service " +
                     request.body["service"].toString().toStdString() + " id " + call.id +
                     " holder " + call.holder + " fencing token " + std::to_string(call.fence));
        {
            const std::lock_guard lock(_mutex);
            _calls.push_back(call);
        }
        if (!_group.isRunning(call.id)) {
            return {409, {}};
        }
        std::thread([this, call] {
            pause(kPromotionTakes);
            _group.promote(call.id);
        }).detach();
        return {200, {}};
    }

    void writeThrough(const Proxy& proxy) {
        int number = 0;
        while (true) {
            ClientSession session(proxy.callerPort(), "lepu270", _record);
            while (session.isOpen()) {
                const std::string id = proxy.name() + "-" + std::to_string(++number);
                const Told told = session.ask(id, "WRITE 1a4 d" + std::to_string(number));
                if (told.succeeded()) {
                    const std::lock_guard lock(_mutex);
                    _acknowledged.push_back(id);
                }
                pause(milliseconds(40));
            }
            pause(milliseconds(100));
        }
    }

    /** ONE: a fencing token lower than the platform has already seen, or one of two holders. */
    [[noreturn]] void judge() {
        std::vector<Call> calls;
        std::vector<std::string> acknowledged;
        {
            const std::lock_guard lock(_mutex);
            calls = _calls;
            acknowledged = _acknowledged;
        }
        if (calls.empty()) {
            finish(_record, kCouldNotRun, "nothing was promoted");
        }
        std::size_t lost = 0;
        for (const std::string& id : acknowledged) {
            if (!_group.hasCommit(id)) {
                ++lost;
                _record.note("lost: acknowledged " + id);
            }
        }
        std::uint64_t newest = 0;
        std::string newestHolder;
        for (const Call& call : calls) {
            if (call.fence < newest || (call.fence == newest && call.holder != newestHolder)) {
                finish(_record, kRuleBroken,
                       call.holder + " sent fencing token " + std::to_string(call.fence) + " for " +
                           call.id + " after " + newestHolder + " had sent " +
                           std::to_string(newest) + "; acknowledged commits lost: " +
                           std::to_string(lost) + " of " + std::to_string(acknowledged.size()));
            }
            newest = call.fence;
            newestHolder = call.holder;
        }
        finish(_record, lost > 0 ? kRuleBroken : kRuleHeld,
               std::to_string(calls.size()) + " calls with rising tokens; acknowledged commits " +
                   "lost: " + std::to_string(lost) + " of " + std::to_string(acknowledged.size()));
    }

    CaseArguments _arguments;
    Record _record;
    Store _store;
    DatabaseGroup _group;
    HttpServer _cloud;
    std::vector<std::unique_ptr<Proxy>> _proxies;
    std::vector<int> _fillers;
    std::mutex _mutex;
    std::condition_variable _announced;
    std::string _announcer;
    std::vector<Call> _calls;
    std::vector<std::string> _acknowledged;
};

}  // namespace

int main(int count, char** arguments) {
    return Case(readArguments(count, arguments)).run();
}
