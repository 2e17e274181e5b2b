/** The review's script cases: cases NAME RECORD. Environment: TROUBLE=0 leaves the disruption out.
 */
#include <fstream>

#include "stage.h"

namespace {

using namespace stage;

bool hasTrouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** One store, one service of three servers and its proxies. */
struct Site {
    Store store;
    Group group{"spieltisch", store};
    Cloud cloud;
    std::vector<std::unique_ptr<Proxy>> proxies;
    std::string folder = temporaryFolder();

    explicit Site(int timeout, const std::string& kind = "bounded_staleness") {
        store.start();
        cloud.start(group);
        group.addServer("i-0000000a", "sued-a", true);
        group.addServer("i-0000000b", "sued-a", false);
        group.addServer("i-0000000c", "sued-a", false);
        group.beat();
        store.put("config", "main", configuration(7, group.name(), timeout, kind));
    }

    /** Ends the proxies; what this process plays ends with it. */
    void finish() {
        for (const auto& proxy : proxies) {
            proxy->end();
        }
        const std::string remove = "rm -rf '" + folder + "'";
        if (std::getenv("KEEP") == nullptr && std::system(remove.c_str()) != 0) {
            std::perror("rm");
        }
    }

    Proxy& addProxy(const Bounds& bounds) {
        proxies.push_back(std::make_unique<Proxy>());
        Proxy& proxy = *proxies.back();
        const std::string name = "front-sued-a-" + std::to_string(proxies.size());
        for (int attempt = 0; attempt < 3; ++attempt) {
            proxy.start(folder, name, "sued-a", store.port, cloud.port, bounds);
            sleepFor(0.3);
            if (!proxy.hasEnded()) {
                break;
            }
            record.line("a port was taken meanwhile; started again with others");
        }
        return proxy;
    }

    /** Copies what the proxies log of the choice of a successor. */
    void recordChoices() const {
        for (std::size_t number = 1; number <= proxies.size(); ++number) {
            std::ifstream log(folder + "/front-sued-a-" + std::to_string(number) + ".log");
            for (std::string line; std::getline(log, line);) {
                if (line.find("failover.successor_chosen") != std::string::npos) {
                    record.line("logged by proxy " + std::to_string(number) + ": " + line);
                }
            }
        }
    }
};

/** Threads of the site use it until this process ends. */
Site* opened = nullptr;

Site& openSite(int timeout, const std::string& kind = "bounded_staleness") {
    opened = new Site(timeout, kind);
    return *opened;
}

/** A client takes a long answer at the rate of its link while the machine is stopped as planned. */
int stopDuringAnswer() {
    constexpr std::size_t kRow = 512 * 1024;
    constexpr int kRows = 44;
    constexpr double kBytesPerSecond = 8e6;
    constexpr double kTimeout = 3.0;
    Site& site = openSite(static_cast<int>(kTimeout * 1000));
    site.group.rowsOf = [](int descriptor, const std::string& thing) {
        const int rows = thing == "long" ? kRows : 1;
        for (int row = 0; row < rows; ++row) {
            sendAll(descriptor,
                    "ROW " + std::string(kRow, static_cast<char>('a' + row % 26)) + "\r\n");
        }
    };
    Proxy& proxy = site.addProxy(Bounds());
    if (!proxy.awaitReady(15)) {
        record.line("the proxy did not become ready");
        return 2;
    }
    sleepFor(5);
    Client client(proxy.front, 256 * 1024);
    if (!client.open("dbone") || !client.ask("w0", "READ short").whole) {
        record.line("no session");
        return 2;
    }
    const double stoppedAt = seconds();
    if (hasTrouble()) {
        record.line("SIGTERM to the proxy; grace_s is 6");
        proxy.signal(SIGTERM);
    }
    sleepFor(0.6);
    const double sentAt = seconds();
    record.line("the client sends QUERY r1 READ long");
    sendAll(client.descriptor, "QUERY r1 READ long\r\n");
    std::size_t received = 0;
    std::string tail;
    std::vector<char> bytes(65536);
    double lastReport = sentAt;
    bool ended = false;
    const auto isWhole = [&tail] {
        return tail.find("\r\nREADY I ") != std::string::npos &&
               tail.compare(tail.size() - 2, 2, "\r\n") == 0;
    };
    while (seconds() < sentAt + 20) {
        const double due = sentAt + static_cast<double>(received) / kBytesPerSecond;
        if (due > seconds()) {
            sleepFor(due - seconds());
        }
        pollfd waiting{client.descriptor, POLLIN, 0};
        if (::poll(&waiting, 1, 5000) <= 0) {
            record.line("nothing came for 5 s");
            break;
        }
        const ssize_t got = ::recv(client.descriptor, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            ended = true;
            record.line(std::string("the connection ends: ") +
                        (got == 0 ? "closed" : std::strerror(errno)));
            break;
        }
        received += static_cast<std::size_t>(got);
        tail.append(bytes.data(), static_cast<std::size_t>(got));
        tail.erase(0, tail.size() > 4096 ? tail.size() - 4096 : 0);
        if (seconds() - lastReport > 0.25) {
            lastReport = seconds();
            record.line("received " + std::to_string(received) + " bytes; the proxy " +
                        (proxy.hasEnded() ? "has ended" : "runs"));
        }
        if (isWhole()) {
            break;
        }
    }
    const double took = seconds() - sentAt;
    record.line("received " + std::to_string(received) + " bytes of " +
                std::to_string(kRows * (kRow + 6)) + " and the end of the answer, " +
                (isWhole() ? "whole" : "cut") + ", " + std::to_string(took) +
                " s after the request, " + std::to_string(seconds() - stoppedAt) +
                " s after the stop");
    if (isWhole()) {
        return 0;
    }
    if (!ended) {
        return 2;
    }
    // Not counted once the route's timeout or the client's deadline, 25 s, was reached.
    return took < kTimeout ? 1 : 2;
}

/** One peer sends broken packets behind a question that is not answered yet. */
int flood() {
    constexpr std::size_t kBytes = 1048576;
    constexpr double kDeadline = 5.0;
    Site& site = openSite(3000);
    site.group.rowsOf = [](int descriptor, const std::string& thing) {
        if (thing == "slow") {
            sleepFor(0.1);
        }
        sendAll(descriptor, "ROW value-of-" + thing + "\r\n");
    };
    Proxy& proxy = site.addProxy(Bounds());
    if (!proxy.awaitReady(15)) {
        record.line("the proxy did not become ready");
        return 2;
    }
    sleepFor(2);
    std::atomic<bool> over{false};
    std::atomic<int> missed{0};
    std::thread probing([&] {
        int inRow = 0;
        while (!over) {
            const int status = proxy.askReady(1.0);
            inRow = status == 200 ? 0 : inRow + 1;
            missed = std::max(missed.load(), inRow);
            if (status != 200) {
                record.line("GET /ready was not answered within 1 s");
            }
            sleepFor(status == 200 ? 1.0 : 0.0);
        }
    });
    std::thread peer([&] {
        sleepFor(1);
        if (!hasTrouble()) {
            return;
        }
        Client rude(proxy.front);
        rude.open("dbone");
        std::string bytes = "QUERY r1 READ slow\r\n";
        while (bytes.size() < kBytes) {
            bytes += "\r\n";
        }
        record.line("a peer sends one question and empty lines behind it, " +
                    std::to_string(bytes.size()) + " bytes in all");
        sendAll(rude.descriptor, bytes);
        char taken[65536];
        while (!over) {
            pollfd waiting{rude.descriptor, POLLIN, 0};
            if (::poll(&waiting, 1, 100) > 0 &&
                ::recv(rude.descriptor, taken, sizeof taken, 0) <= 0) {
                break;
            }
        }
    });
    const double until = seconds() + 25;
    double longest = 0;
    int number = 0;
    while (seconds() < until && !proxy.hasEnded()) {
        const double began = seconds();
        Client client(proxy.front);
        const bool opened = client.open("dbone", 30);
        const bool answered =
            opened && client.ask("c" + std::to_string(++number), "READ x", 30).whole;
        const double took = seconds() - began;
        longest = std::max(longest, took);
        if (took > 0.5) {
            record.line("another client's question took " + std::to_string(took) + " s, " +
                        (answered ? "answered" : "not answered"));
        }
        sleepFor(0.2);
    }
    over = true;
    peer.join();
    probing.join();
    record.line(std::to_string(number) + " questions of other clients; the longest took " +
                std::to_string(longest) + " s, the deadline is 5 s; /ready missed in a row: " +
                std::to_string(missed.load()));
    const bool hung = longest > kDeadline && missed >= 2;
    return hung || proxy.hasEnded() ? 1 : 0;
}

long residentMegabytes(pid_t pid) {
    std::FILE* file = std::fopen(("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
    if (file == nullptr) {
        return 0;
    }
    char line[256];
    long kilobytes = 0;
    while (std::fgets(line, sizeof line, file) != nullptr) {
        if (std::strncmp(line, "VmRSS:", 6) == 0) {
            kilobytes = std::atol(line + 6);
        }
    }
    std::fclose(file);
    return kilobytes / 1024;
}

/** One peer sends a flood of questions and takes no answers. */
int slowReader() {
    constexpr int kQuestions = 900;
    constexpr long kMemoryMb = 512;
    Site& site = openSite(3000);
    site.group.rowsOf = [](int descriptor, const std::string& thing) {
        sendAll(descriptor, "ROW " + std::string(thing == "big" ? 1000000 : 10, 'x') + "\r\n");
    };
    Proxy& proxy = site.addProxy(Bounds());
    if (!proxy.awaitReady(15)) {
        record.line("the proxy did not become ready");
        return 2;
    }
    sleepFor(2);
    Client peer(proxy.front, 65536);
    if (!peer.open("dbone")) {
        return 2;
    }
    std::string questions;
    for (int number = 0; number < kQuestions; ++number) {
        questions += "QUERY q" + std::to_string(number) + " READ big\r\n";
    }
    record.line("a peer sends " + std::to_string(kQuestions) + " questions, " +
                std::to_string(questions.size()) + " bytes, and " +
                (hasTrouble() ? "takes no answer" : "takes each answer"));
    sendAll(peer.descriptor, questions);
    std::atomic<bool> over{false};
    std::thread reading([&] {
        char taken[65536];
        while (!hasTrouble() && !over) {
            pollfd waiting{peer.descriptor, POLLIN, 0};
            if (::poll(&waiting, 1, 100) > 0 &&
                ::recv(peer.descriptor, taken, sizeof taken, 0) <= 0) {
                return;
            }
        }
    });
    long most = 0;
    for (int step = 0; step < 300 && !proxy.hasEnded(); ++step) {
        const long now = residentMegabytes(proxy.pid);
        if (now / 50 > most / 50) {
            record.line("the proxy holds " + std::to_string(now) + " MB");
        }
        most = std::max(most, now);
        if (most > kMemoryMb) {
            break;
        }
        sleepFor(0.1);
    }
    over = true;
    reading.join();
    record.line("most: " + std::to_string(most) + " MB of " + std::to_string(kMemoryMb) +
                " that a process may have before it is killed");
    return most > kMemoryMb || proxy.hasEnded() ? 1 : 0;
}

/**
 * A replica leaves as planned, the other one receives nothing for a while, and the primary goes
 * dark meanwhile.
 */
int leavingReplica() {
    constexpr double kDeaf = 6.0;
    constexpr double kDark = 7.0;
    const std::string primary = "i-0000000a";
    const std::string leaving = "i-0000000b";
    const std::string staying = "i-0000000c";
    Site& site = openSite(800, "primary");
    for (int number = 0; number < 2; ++number) {
        site.addProxy(Bounds());
    }
    for (const auto& proxy : site.proxies) {
        if (!proxy->awaitReady(15)) {
            record.line("a proxy did not become ready");
            return 2;
        }
    }
    std::atomic<bool> over{false};
    std::atomic<bool> writing{true};
    std::atomic<int> acknowledged{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < 6; ++client) {
        clients.emplace_back([&, client] {
            int number = 0;
            while (!over) {
                Client session(site.proxies[client % 2]->front);
                if (!session.open("dbone")) {
                    sleepFor(0.1);
                    continue;
                }
                bool open = true;
                while (open && !over) {
                    const std::string id = std::to_string(client) + "-" + std::to_string(++number);
                    const bool writes = writing && client < 3;
                    const Answer answer = session.ask(id, writes ? "WRITE t1 x" : "READ t1");
                    const bool succeeded = answer.end.rfind("COMPLETE s.", 0) == 0;
                    open = answer.whole;
                    if (succeeded && writes) {
                        site.group.noteAcknowledged(id);
                        ++acknowledged;
                        record.line("client told: " + id + " is committed");
                    }
                    served += succeeded ? 1 : 0;
                    sleepFor(0.05);
                }
            }
        });
    }
    sleepFor(5);
    site.group.setDraining(leaving);
    sleepFor(7.2);
    if (hasTrouble()) {
        site.group.setDeaf(staying, true);
    }
    const double deafSince = seconds();
    sleepFor(0.7);
    writing = false;
    sleepFor(0.3);
    site.group.end(leaving);
    record.line("commits: " + std::to_string(site.group.commitsAt(primary)) + " at the primary, " +
                std::to_string(site.group.commitsAt(staying)) + " at the staying replica, " +
                std::to_string(acknowledged) + " acknowledged; no client writes for a while");
    sleepFor(deafSince + kDeaf - 0.4 - seconds());
    if (hasTrouble()) {
        site.group.setDark(primary, true);
    }
    const double darkSince = seconds();
    sleepFor(0.4);
    if (hasTrouble()) {
        site.group.setDeaf(staying, false);
    }
    sleepFor(darkSince + kDark - seconds());
    if (hasTrouble()) {
        site.group.setDark(primary, false);
    }
    writing = true;
    const int servedBefore = served;
    sleepFor(6);
    over = true;
    for (std::thread& client : clients) {
        client.join();
    }
    site.recordChoices();
    record.line(std::to_string(site.group.promotions) + " promotions, " +
                std::to_string(site.group.lost) + " acknowledged commits missing at the servers " +
                "that were promoted; " + std::to_string(served - servedBefore) +
                " statements served in the last 6 s");
    return site.group.lost > 0 ? 1 : served - servedBefore > 50 ? 0 : 2;
}

/**
 * A replica restarts while a promotion is carried out, and a proxy that hears of nothing still
 * reaches the former primary.
 */
int restartDuringPromotion() {
    const std::string primary = "i-0000000a";
    Site& site = openSite(1000, "primary");
    site.group.promotionTime = 1.0;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Relay>> relays;
    std::map<std::string, std::uint16_t> ports;
    site.store.rewrite = [&](const std::string& kind, const std::string& spec) {
        const std::string address = textOf(spec, "addr");
        if (kind != "proxies" || address.empty()) {
            return spec;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        if (relays.count(address) == 0) {
            relays[address] = std::make_unique<Relay>();
            ports[address] = relays[address]->start(static_cast<std::uint16_t>(
                std::atoi(address.substr(address.find(':') + 1).c_str())));
        }
        std::string changed = spec;
        changed.replace(changed.find(address), address.size(),
                        "127.0.0.1:" + std::to_string(ports[address]));
        return changed;
    };
    for (int number = 0; number < 2; ++number) {
        site.addProxy(Bounds());
    }
    for (const auto& proxy : site.proxies) {
        if (!proxy->awaitReady(15)) {
            record.line("a proxy did not become ready");
            return 2;
        }
    }
    const pid_t cutOff = site.proxies[0]->pid;
    const pid_t promoting = site.proxies[1]->pid;
    std::atomic<bool> isCut{false};
    std::atomic<bool> isOver{false};
    std::map<std::string, bool> known;
    const auto isOf = [&](pid_t pid, int descriptor) {
        const std::string inode = peerInode(descriptor);
        if (inode.empty()) {
            return false;
        }
        const std::string key = std::to_string(pid) + " " + inode;
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = known.find(key);
        return found != known.end() ? found->second : (known[key] = holdsSocket(pid, inode));
    };
    site.store.isCut = [&](int descriptor) { return isCut && isOf(cutOff, descriptor); };
    site.group.isCut = [&](const std::string& server, int descriptor) {
        return isCut && server == primary && isOf(promoting, descriptor);
    };
    site.group.onPromotion = [&](const std::string& successor) {
        if (hasTrouble()) {
            site.group.restart(successor == "i-0000000b" ? "i-0000000c" : "i-0000000b", 0.2, 0.4);
        }
    };
    std::atomic<bool> over{false};
    std::atomic<int> served{0};
    std::atomic<int> stale{0};
    std::atomic<double> firstCommitElsewhere{1e9};
    std::vector<std::thread> clients;
    const auto write = [&](Client& session, const std::string& id, int proxy) {
        const Answer answer = session.ask(id, "WRITE t1 x");
        const bool succeeded = answer.end.rfind("COMPLETE s.", 0) == 0;
        if (succeeded) {
            site.group.noteAcknowledged(id);
            record.line("client of proxy " + std::to_string(proxy) + " told: " + id +
                        " is committed at " + answer.end.substr(11, primary.size()));
            if (answer.end.find(primary) == std::string::npos) {
                firstCommitElsewhere = std::min(firstCommitElsewhere.load(), seconds());
            }
            ++served;
        }
        return answer.whole;
    };
    const auto read = [&](Client& session, const std::string& id) {
        const double sentAt = seconds();
        const double first = firstCommitElsewhere;
        const Answer answer = session.ask(id, "READ t1");
        const bool succeeded = answer.end.rfind("COMPLETE s.", 0) == 0;
        if (succeeded && sentAt > first && !isOver && answer.rows.size() == 1 &&
            answer.rows.front().rfind(primary, 0) == 0) {
            ++stale;
            record.line("client of proxy 1 told: " + id + " read " + answer.rows.front() +
                        " commits, sent " + std::to_string(sentAt - first) +
                        " s after a commit elsewhere was acknowledged");
        }
        served += succeeded ? 1 : 0;
        return answer.whole;
    };
    // Proxy 1 has three clients that read and one that writes, proxy 2 four that write.
    for (int client = 0; client < 8; ++client) {
        clients.emplace_back([&, client] {
            int number = 0;
            while (!over) {
                Client session(site.proxies[client % 2]->front);
                if (!session.open("dbone")) {
                    sleepFor(0.1);
                    continue;
                }
                bool open = true;
                while (open && !over) {
                    const std::string id = std::to_string(client) + "-" + std::to_string(++number);
                    const bool reads = client % 2 == 0 && client < 6;
                    open = reads ? read(session, id) : write(session, id, client % 2 + 1);
                    sleepFor(0.02);
                }
            }
        });
    }
    sleepFor(6);
    if (hasTrouble()) {
        record.line("proxy 1 is cut off from the store and proxy 2, the primary from proxy 2");
        isCut = true;
        const std::lock_guard<std::mutex> lock(mutex);
        for (auto& [address, relay] : relays) {
            relay->cut = true;
        }
    }
    sleepFor(4.5);
    isOver = true;
    isCut = false;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (auto& [address, relay] : relays) {
            relay->cut = false;
        }
    }
    record.line("nothing is cut any more");
    const int servedBefore = served;
    sleepFor(8);
    over = true;
    for (std::thread& client : clients) {
        client.join();
    }
    site.recordChoices();
    const int lost = site.group.lostAtTheEnd();
    record.line(std::to_string(site.group.promotions) + " promotions; " + std::to_string(lost) +
                " acknowledged commits are not in the log of the server that leads (LOST); " +
                std::to_string(stale) + " reads lacked an acknowledged commit (STALE); " +
                std::to_string(served - servedBefore) + " statements served in the last 8 s");
    return lost > 0 || stale > 0 ? 1 : served - servedBefore > 50 ? 0 : 2;
}

}  // namespace

int main(int count, char** arguments) {
    if (count < 3) {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    record.open(arguments[2]);
    const std::string name = arguments[1];
    int result = 2;
    if (name == "stop-during-answer") {
        result = stopDuringAnswer();
    } else if (name == "flood") {
        result = flood();
    } else if (name == "slow-reader") {
        result = slowReader();
    } else if (name == "leaving-replica") {
        result = leavingReplica();
    } else if (name == "restart-during-promotion") {
        result = restartDuringPromotion();
    }
    if (opened != nullptr) {
        opened->finish();
    }
    record.line("exit " + std::to_string(result));
    std::fflush(nullptr);
    std::_Exit(result);
}
