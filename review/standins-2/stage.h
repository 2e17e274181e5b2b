/**
 * Stand-ins for review cases: the platform's store and its call for promotions, database servers
 * and clients, as the users' pages describe them, in one process. The proxies under test are
 * started as processes of their own. Everything listens on 127.0.0.1 on free ports.
 */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegan = Clock::now();

inline double seconds() {
    return std::chrono::duration<double>(Clock::now() - kBegan).count();
}

inline void sleepFor(double time) {
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

/** The record of what was sent, answered and run. */
class Record {
public:
    void open(const std::string& path) { _file = std::fopen(path.c_str(), "w"); }
    void line(const std::string& text) {
        const std::lock_guard<std::mutex> lock(_mutex);
        if (_file != nullptr) {
            std::fprintf(_file, "%9.3f s  %s\n", seconds(), text.c_str());
            std::fflush(_file);
        }
    }

private:
    std::mutex _mutex;
    std::FILE* _file = nullptr;
};

inline Record record;

inline int listenOn(std::uint16_t& port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 256) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

/** @return a port that was free a moment ago. */
inline std::uint16_t freePort() {
    std::uint16_t port = 0;
    ::close(listenOn(port));
    return port;
}

inline int connectTo(std::uint16_t port, int receiveBuffer = 0) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

inline bool sendAll(int descriptor, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t now =
            ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (now <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(now);
    }
    return true;
}

/** A thread for each connection that is accepted. */
class Listener {
public:
    using Handler = std::function<void(int)>;

    std::uint16_t start(Handler handler) {
        const int descriptor = listenOn(_port);
        std::thread([descriptor, handler] {
            while (true) {
                const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    continue;
                }
                const int on = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([accepted, handler] {
                    handler(accepted);
                    ::close(accepted);
                }).detach();
            }
        }).detach();
        return _port;
    }

private:
    std::uint16_t _port = 0;
};

/** Reads lines that end with CR LF, or HTTP messages. */
class Reader {
public:
    explicit Reader(int descriptor) : _descriptor(descriptor) {}

    /** @return nothing at the end of the connection or when the time is over. */
    std::optional<std::string> line(double timeout = 3600) {
        const double until = seconds() + timeout;
        while (true) {
            const std::size_t end = _buffer.find("\r\n");
            if (end != std::string::npos) {
                std::string result = _buffer.substr(0, end);
                _buffer.erase(0, end + 2);
                return result;
            }
            if (!fill(until)) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> bytes(std::size_t count, double timeout = 3600) {
        const double until = seconds() + timeout;
        while (_buffer.size() < count) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        std::string result = _buffer.substr(0, count);
        _buffer.erase(0, count);
        return result;
    }

    bool isEnded() const { return _ended; }

private:
    bool fill(double until) {
        const double left = until - seconds();
        pollfd waiting{_descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t got = ::recv(_descriptor, bytes, sizeof bytes, 0);
        if (got <= 0) {
            _ended = true;
            return false;
        }
        _buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    int _descriptor;
    std::string _buffer;
    bool _ended = false;
};

/** @return the inode of the socket at the other end of a loopback connection. */
inline std::string peerInode(int descriptor) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
        return {};
    }
    char local[32];
    std::snprintf(local, sizeof local, "0100007F:%04X", ntohs(peer.sin_port));
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        std::istringstream words(line);
        std::string field, address, inode;
        words >> field >> address;
        for (int index = 0; index < 8; ++index) {
            words >> inode;
        }
        if (address == local && inode != "0") {
            return inode;
        }
    }
    return {};
}

/** @return whether the process holds the socket. */
inline bool holdsSocket(pid_t pid, const std::string& inode) {
    const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
    const std::string wanted = "socket:[" + inode + "]";
    for (int descriptor = 0; descriptor < 512; ++descriptor) {
        char target[64];
        const std::string path = folder + "/" + std::to_string(descriptor);
        const ssize_t length = ::readlink(path.c_str(), target, sizeof target);
        if (length > 0 && std::string(target, static_cast<std::size_t>(length)) == wanted) {
            return true;
        }
    }
    return false;
}

/** Passes connections on; while it is cut, nothing passes on any of them. */
class Relay {
public:
    std::uint16_t start(std::uint16_t target) {
        return _listener.start([this, target](int near) {
            while (cut) {
                sleepFor(0.02);
            }
            const int far = connectTo(target);
            if (far < 0) {
                return;
            }
            std::thread back([this, near, far] { pump(far, near); });
            pump(near, far);
            back.join();
            ::close(far);
        });
    }

    std::atomic<bool> cut{false};

private:
    void pump(int from, int to) {
        char bytes[65536];
        while (true) {
            pollfd waiting{from, POLLIN, 0};
            if (cut || ::poll(&waiting, 1, 20) <= 0) {
                sleepFor(cut ? 0.02 : 0);
                continue;
            }
            const ssize_t got = ::recv(from, bytes, sizeof bytes, 0);
            if (got <= 0 || !sendAll(to, std::string(bytes, static_cast<std::size_t>(got)))) {
                ::shutdown(to, SHUT_RDWR);
                ::shutdown(from, SHUT_RDWR);
                return;
            }
        }
    }

    Listener _listener;
};

// ---------------------------------------------------------------- JSON, as far as it is needed

/** @return the text of the value of the first such key at any depth; empty when there is none. */
inline std::string valueOf(const std::string& json, const std::string& key) {
    const std::string quoted = "\"" + key + "\"";
    std::size_t at = json.find(quoted);
    if (at == std::string::npos) {
        return {};
    }
    at = json.find(':', at + quoted.size());
    while (++at < json.size() && json[at] == ' ') {
    }
    const std::size_t start = at;
    int depth = 0;
    bool text = false;
    for (; at < json.size(); ++at) {
        const char sign = json[at];
        if (text) {
            if (sign == '\\') {
                ++at;
            } else if (sign == '"') {
                text = false;
            }
        } else if (sign == '"') {
            text = true;
        } else if (sign == '{' || sign == '[') {
            ++depth;
        } else if (sign == '}' || sign == ']') {
            if (depth == 0) {
                break;
            }
            --depth;
        } else if (sign == ',' && depth == 0) {
            break;
        }
    }
    return json.substr(start, at - start);
}

inline std::string textOf(const std::string& json, const std::string& key) {
    const std::string value = valueOf(json, key);
    return value.size() >= 2 && value.front() == '"' ? value.substr(1, value.size() - 2) : value;
}

// ---------------------------------------------------------------- the platform's store

class Store {
public:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string name;
        std::string spec;
        bool expired = false;
    };

    void start() {
        port = _listener.start([this](int descriptor) { serve(descriptor); });
    }

    /** What the operator and the servers write. */
    void put(const std::string& kind, const std::string& name, const std::string& spec) {
        const std::lock_guard<std::mutex> lock(_mutex);
        write(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(_mutex);
        if (_objects[kind].erase(name) > 0) {
            _events[kind].push_back({++_revision, name, "{}", true});
            _changed.notify_all();
        }
    }

    std::string specOf(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(_mutex);
        return _objects[kind][name].spec;
    }

    std::uint16_t port = 0;
    /** @return whether the caller is cut off: it is told nothing more on this connection. */
    std::function<bool(int descriptor)> isCut;
    /** Changes what a proxy writes, so that others reach it through a relay. */
    std::function<std::string(const std::string& kind, const std::string& spec)> rewrite;

private:
    void write(const std::string& kind, const std::string& name, const std::string& spec) {
        Object& object = _objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return;
        }
        object = {++_revision, spec};
        _events[kind].push_back({object.revision, name, spec, false});
        _changed.notify_all();
    }

    static std::string objectText(const std::string& name, std::uint64_t revision,
                                  const std::string& spec) {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision) +
               ",\"created\":1,\"finalizers\":[],\"terminating\":false},\"spec\":" + spec +
               ",\"status\":{}}";
    }

    static std::string answer(int status, const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) +
               " X\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string parameter(const std::string& query, const std::string& name) {
        const std::size_t at = query.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t start = at + name.size() + 1;
        return query.substr(start, query.find('&', start) - start);
    }

    void serve(int descriptor) {
        Reader reader(descriptor);
        while (const auto first = reader.line()) {
            std::istringstream words(*first);
            std::string method, target;
            words >> method >> target;
            std::size_t length = 0;
            while (const auto header = reader.line()) {
                if (header->empty()) {
                    break;
                }
                if (strncasecmp(header->c_str(), "content-length:", 15) == 0) {
                    length = std::strtoul(header->c_str() + 15, nullptr, 10);
                }
            }
            const auto body = reader.bytes(length);
            if (!body || holdsBack(descriptor)) {
                return;
            }
            const std::string result = handle(method, target, *body);
            if (holdsBack(descriptor) || !sendAll(descriptor, result)) {
                return;
            }
        }
    }

    /** What comes over a cut is lost, and the connection stays as it is until the cut has healed.
     */
    bool holdsBack(int descriptor) const {
        if (!isCut || !isCut(descriptor)) {
            return false;
        }
        while (isCut(descriptor)) {
            sleepFor(0.05);
        }
        return true;
    }

    std::string handle(const std::string& method, const std::string& target,
                       const std::string& body) {
        const std::size_t mark = target.find('?');
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        const std::string path = target.substr(0, mark);
        const std::string rest = path.substr(std::strlen("/objects/"));
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock<std::mutex> lock(_mutex);
        if (method == "GET" && !name.empty()) {
            const auto found = _objects[kind].find(name);
            return found == _objects[kind].end()
                       ? answer(404, "{}")
                       : answer(200, objectText(name, found->second.revision, found->second.spec));
        }
        if (method == "GET" && !parameter(query, "watch").empty()) {
            return watch(kind, query, lock);
        }
        if (method == "GET") {
            std::string items;
            for (const auto& [each, object] : _objects[kind]) {
                items +=
                    (items.empty() ? "" : ",") + objectText(each, object.revision, object.spec);
            }
            return answer(200, "{\"items\":[" + items + "],\"has_more\":false,\"at\":" +
                                   std::to_string(_revision) + "}");
        }
        const std::string meta = valueOf(body, "meta");
        const std::string wanted = name.empty() ? textOf(meta, "name") : name;
        const auto found = _objects[kind].find(wanted);
        if (method == "POST") {
            if (found != _objects[kind].end()) {
                return answer(409, objectText(wanted, found->second.revision, found->second.spec));
            }
        } else if (method == "PUT") {
            if (found == _objects[kind].end()) {
                return answer(404, "{}");
            }
            const std::string revision = valueOf(meta, "revision");
            if (!revision.empty() && std::stoull(revision) != found->second.revision) {
                return answer(409, objectText(wanted, found->second.revision, found->second.spec));
            }
        }
        const std::string spec = valueOf(body, "spec");
        write(kind, wanted, rewrite ? rewrite(kind, spec) : spec);
        const Object& object = _objects[kind][wanted];
        return answer(method == "POST" ? 201 : 200,
                      objectText(wanted, object.revision, object.spec));
    }

    std::string watch(const std::string& kind, const std::string& query,
                      std::unique_lock<std::mutex>& lock) {
        const std::uint64_t since = std::stoull(parameter(query, "watch"));
        const int wait = std::atoi(parameter(query, "wait_ms").c_str());
        const auto isNews = [&] {
            return !_events[kind].empty() && _events[kind].back().revision > since;
        };
        _changed.wait_for(lock, std::chrono::milliseconds(wait), isNews);
        std::string events;
        for (const Event& event : _events[kind]) {
            if (event.revision > since) {
                events += (events.empty() ? "" : ",") +
                          ("{\"object\":" + objectText(event.name, event.revision, event.spec) +
                           ",\"expired\":" + (event.expired ? "true" : "false") + "}");
            }
        }
        return answer(200,
                      "{\"events\":[" + events + "],\"at\":" + std::to_string(_revision) + "}");
    }

    Listener _listener;
    std::mutex _mutex;
    std::condition_variable _changed;
    std::uint64_t _revision = 100;
    std::map<std::string, std::map<std::string, Object>> _objects;
    std::map<std::string, std::vector<Event>> _events;
};

// ---------------------------------------------------------------- database servers

class Group;

struct Entry {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::string id;
    std::string text;
};

struct Server {
    std::string id;
    std::string zone;
    std::uint16_t port = 0;
    bool primary = false;
    std::uint64_t term = 1;
    std::uint64_t heldTerm = 0;
    std::vector<Entry> log;
    int connections = 0;
    bool draining = false;
    std::set<int> open;
    /** Receives nothing, though it answers. */
    bool deaf = false;
    /** Answers nothing and closes nothing, but keeps its log. */
    bool dark = false;
    bool ended = false;
};

/**
 * One service: a primary and its replicas in memory. A replica receives within some milliseconds
 * unless it is deaf, dark or paused; a commit is answered once one replica has received it.
 */
class Group {
public:
    Group(std::string name, Store& store) : _name(std::move(name)), _store(store) {}

    void addServer(const std::string& id, const std::string& zone, bool primary) {
        auto server = std::make_unique<Server>();
        server->id = id;
        server->zone = zone;
        server->primary = primary;
        Server& added = *server;
        _servers[id] = std::move(server);
        _listeners.push_back(std::make_unique<Listener>());
        added.port =
            _listeners.back()->start([this, &added](int descriptor) { serve(added, descriptor); });
        announce(added);
    }

    void beat() {
        std::thread([this] {
            while (true) {
                sleepFor(1.2);
                const std::lock_guard<std::mutex> lock(_mutex);
                for (auto& [id, server] : _servers) {
                    if (!server->dark && !server->ended) {
                        announce(*server);
                    }
                }
            }
        }).detach();
        std::thread([this] {
            while (true) {
                sleepFor(0.003);
                const std::lock_guard<std::mutex> lock(_mutex);
                replicate();
            }
        }).detach();
    }

    /** POST /failover: the named server leads the next term some hundred ms later. */
    void promote(const std::string& id) {
        std::thread([this, id] {
            sleepFor(promotionTime);
            const std::lock_guard<std::mutex> lock(_mutex);
            const auto found = _servers.find(id);
            if (found == _servers.end() || found->second->primary || found->second->dark ||
                found->second->ended) {
                return;
            }
            Server& leader = *found->second;
            leader.term = ++_newestTerm;
            leader.primary = true;
            leader.heldTerm = 0;
            std::set<std::string> held;
            for (const Entry& entry : leader.log) {
                held.insert(entry.id);
            }
            int missing = 0;
            for (const std::string& commit : _acknowledged) {
                missing += held.count(commit) == 0 ? 1 : 0;
            }
            record.line("server " + id + " leads term " + std::to_string(leader.term) + " with " +
                        std::to_string(leader.log.size()) + " commits; of " +
                        std::to_string(_acknowledged.size()) + " acknowledged ones " +
                        std::to_string(missing) + " are missing");
            lost = lost + missing;
            ++promotions;
            for (auto& [name, server] : _servers) {
                if (name != id && !server->dark && !server->primary) {
                    follow(*server, leader);
                }
            }
            announce(leader);
            endFormerLeads(leader);
        }).detach();
    }

    /** A former primary goes on until a second after it can reach the new one. */
    void endFormerLeads(Server& leader) {
        std::thread([this, &leader] {
            sleepFor(1.0);
            const std::lock_guard<std::mutex> lock(_mutex);
            for (auto& [name, server] : _servers) {
                if (server.get() != &leader && server->primary && !server->dark) {
                    follow(*server, leader);
                    record.line("server " + name + " leads no more");
                }
            }
        }).detach();
    }

    /** A client was told that the write is committed. */
    void noteAcknowledged(const std::string& id) {
        const std::lock_guard<std::mutex> lock(_mutex);
        _acknowledged.insert(id);
    }

    void setDeaf(const std::string& id, bool deaf) {
        const std::lock_guard<std::mutex> lock(_mutex);
        _servers[id]->deaf = deaf;
        record.line("server " + id + (deaf ? " receives nothing from now on" : " receives again"));
    }

    /** A dark server says nothing; it comes back with its log. */
    void setDark(const std::string& id, bool dark) {
        const std::lock_guard<std::mutex> lock(_mutex);
        Server& server = *_servers[id];
        server.dark = dark;
        record.line("server " + id + (dark ? " goes dark" : " is back"));
        Server* leader = newestLeader();
        if (!dark && leader != nullptr && leader != &server && leader->term > server.term) {
            follow(server, *leader);
        }
    }

    void setDraining(const std::string& id) {
        const std::lock_guard<std::mutex> lock(_mutex);
        _servers[id]->draining = true;
        announce(*_servers[id]);
        record.line("server " + id + " announces its end");
    }

    /** The planned end of a server: its log departs with it. */
    void end(const std::string& id) {
        const std::lock_guard<std::mutex> lock(_mutex);
        Server& server = *_servers[id];
        server.ended = true;
        for (const int descriptor : server.open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
        _store.remove("servers", id);
        record.line("server " + id + " has ended, its entry is gone");
    }

    /** The server crashes and is back a moment later: it keeps its log and forgets its pause. */
    void restart(const std::string& id, double after, double downFor) {
        std::thread([this, id, after, downFor] {
            sleepFor(after);
            Server& server = *_servers.at(id);
            {
                const std::lock_guard<std::mutex> lock(_mutex);
                server.ended = true;
                for (const int descriptor : server.open) {
                    ::shutdown(descriptor, SHUT_RDWR);
                }
                record.line("server " + id + " crashes");
            }
            sleepFor(downFor);
            const std::lock_guard<std::mutex> lock(_mutex);
            server.ended = false;
            server.heldTerm = 0;
            record.line("server " + id + " is back with its log");
        }).detach();
    }

    /** @return whether the caller at the other end is cut off from the server. */
    std::function<bool(const std::string& server, int descriptor)> isCut;
    /** Called when a promotion is called, with the successor. */
    std::function<void(const std::string& successor)> onPromotion;

    std::size_t commitsAt(const std::string& id) {
        const std::lock_guard<std::mutex> lock(_mutex);
        return _servers[id]->log.size();
    }

    /** @return how many commits that clients were told of the present leader lacks. */
    int lostAtTheEnd() {
        const std::lock_guard<std::mutex> lock(_mutex);
        const Server* leader = newestLeader();
        std::set<std::string> held;
        for (const Entry& entry : leader != nullptr ? leader->log : std::vector<Entry>()) {
            held.insert(entry.id);
        }
        int missing = 0;
        for (const std::string& commit : _acknowledged) {
            missing += held.count(commit) == 0 ? 1 : 0;
        }
        return missing;
    }

    std::atomic<int> lost{0};
    std::atomic<int> promotions{0};

    /** Answer to READ of a thing; by default one short row. */
    std::function<void(int descriptor, const std::string& thing)> rowsOf;
    /** Time that the platform takes for a promotion. */
    double promotionTime = 0.3;
    /** Time that a read or a write takes. */
    double workTime = 0.005;
    std::atomic<int> run{0};

    const std::string& name() const { return _name; }

private:
    Server* newestLeader() {
        Server* leader = nullptr;
        for (auto& [id, server] : _servers) {
            if (server->primary && (leader == nullptr || server->term > leader->term)) {
                leader = server.get();
            }
        }
        return leader;
    }

    /** The server takes the leader's log; what it had beyond is rolled back. */
    void follow(Server& server, const Server& leader) {
        server.primary = false;
        server.term = leader.term;
        server.heldTerm = 0;
        if (!server.ended) {
            announce(server);
        }
    }

    void replicate() {
        const Server* leader = newestLeader();
        if (leader == nullptr || leader->dark) {
            return;
        }
        for (auto& [id, server] : _servers) {
            const bool receives = server.get() != leader && !server->primary && !server->deaf &&
                                  !server->dark && !server->ended && server->heldTerm == 0;
            if (receives &&
                (server->log.size() != leader->log.size() || server->term != leader->term)) {
                server->log = leader->log;
                server->term = leader->term;
            }
        }
    }

    bool isReceived(const Server& leader, std::size_t number) {
        for (auto& [id, server] : _servers) {
            if (server.get() != &leader && server->term == leader.term &&
                server->log.size() >= number) {
                return true;
            }
        }
        return false;
    }

    void announce(const Server& server) {
        _store.put(
            "servers", server.id,
            "{\"service\":\"" + _name + "\",\"addr\":\"127.0.0.1:" + std::to_string(server.port) +
                "\",\"zone\":\"" + server.zone + "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" +
                (server.draining ? "draining" : "ready") + "\",\"cold_left_ms\":0,\"db_role\":\"" +
                (server.primary ? "primary" : "replica") +
                "\",\"seq\":" + std::to_string(++_sequence) + "}");
    }

    static std::string position(const Server& server) {
        return std::to_string(server.log.empty() ? 1 : server.log.back().term) + "." +
               std::to_string(server.log.size());
    }

    struct Session {
        char state = 'I';
        bool readOnly = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
    };

    bool isSilent(const Server& server, int descriptor) {
        if (isCut && isCut(server.id, descriptor)) {
            return true;
        }
        const std::lock_guard<std::mutex> lock(_mutex);
        return server.dark;
    }

    /** A dark server keeps connections as they are; it knows none of them when it is back. */
    bool outlastsDark(const Server& server, int descriptor) {
        if (!isSilent(server, descriptor)) {
            return true;
        }
        while (isSilent(server, descriptor)) {
            sleepFor(0.02);
        }
        return false;
    }

    void serve(Server& server, int descriptor) {
        {
            const std::lock_guard<std::mutex> lock(_mutex);
            if (server.ended) {
                return;
            }
            server.open.insert(descriptor);
        }
        if (outlastsDark(server, descriptor)) {
            serveOpen(server, descriptor);
        }
        const std::lock_guard<std::mutex> lock(_mutex);
        server.open.erase(descriptor);
    }

    void serveOpen(Server& server, int descriptor) {
        Reader reader(descriptor);
        const auto first = reader.line(10);
        if (!first) {
            return;
        }
        std::istringstream words(*first);
        std::string word, service, who, id;
        words >> word >> service >> who >> id;
        if (word != "CONNECT" || service != _name || (!id.empty() && id != server.id)) {
            sendAll(descriptor, "ERROR WRONGNODE " + server.id + "\r\n");
            return;
        }
        sleepFor(0.012);
        Session session;
        {
            const std::lock_guard<std::mutex> lock(_mutex);
            if (++server.connections > 32) {
                --server.connections;
                sendAll(descriptor, "ERROR CONNLIMIT full\r\n");
                return;
            }
            sendAll(descriptor, "READY I " + position(server) + "\r\n");
        }
        while (const auto line = reader.line()) {
            if (!outlastsDark(server, descriptor) || line->rfind("QUERY ", 0) != 0) {
                break;
            }
            const std::size_t blank = line->find(' ', 6);
            const std::string query = line->substr(6, blank - 6);
            if (!answer(server, session, descriptor, query, line->substr(blank + 1))) {
                break;
            }
        }
        const std::lock_guard<std::mutex> lock(_mutex);
        --server.connections;
    }

    bool finish(Server& server, Session& session, int descriptor, const std::string& result) {
        std::string state(1, session.state);
        return sendAll(descriptor, result + "READY " + state + " " + position(server) + "\r\n");
    }

    std::string status(const Server& server) {
        return "ROW " + std::string(server.primary ? "primary" : "replica") + " " +
               std::to_string(server.term) + " " + position(server) + " " +
               std::to_string(server.heldTerm) + " 0 0 " + std::to_string(server.connections) +
               "\r\nCOMPLETE -\r\n";
    }

    bool answer(Server& server, Session& session, int descriptor, const std::string& id,
                std::string text) {
        std::istringstream words(text);
        std::string verb;
        words >> verb;
        if (verb == "AFTER") {
            std::string after;
            words >> after >> verb;
            text = text.substr(text.find(' ', 6) + 1);
        }
        if (verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "EXECUTE") {
            sleepFor(workTime);
        }
        std::unique_lock<std::mutex> lock(_mutex);
        const auto error = [&](const std::string& what) {
            if (session.state == 'T') {
                session.state = 'E';
            }
            return finish(server, session, descriptor, "ERROR " + what + "\r\n");
        };
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
            std::uint64_t term = 0;
            words >> term;
            if (verb == "PAUSE") {
                server.heldTerm = std::max(server.heldTerm, term);
            } else if (verb == "RESUME") {
                server.heldTerm = 0;
            } else if (verb == "STEPDOWN" && term > server.term) {
                server.primary = false;
            }
            return finish(server, session, descriptor, status(server));
        }
        if (verb == "EXECUTE") {
            std::string name;
            words >> name;
            const auto found = session.prepared.find(name);
            if (found == session.prepared.end()) {
                return error("NOSTMT " + name);
            }
            verb = found->second.first;
            text = verb + text.substr(std::strlen("EXECUTE ") + name.size());
        }
        if (verb == "SET" || verb == "CLOSE") {
            return finish(server, session, descriptor, "COMPLETE -\r\n");
        }
        if (verb == "RESET") {
            session.prepared.clear();
            return finish(server, session, descriptor, "COMPLETE -\r\n");
        }
        if (verb == "PREPARE") {
            std::string name, kind, shape;
            words >> name >> kind >> shape;
            session.prepared[name] = {kind, shape};
            return finish(server, session, descriptor, "COMPLETE -\r\n");
        }
        if (verb == "BEGIN") {
            std::string kind;
            words >> kind;
            session.readOnly = kind == "READ";
            if (!session.readOnly && !server.primary) {
                return error("READONLY " + server.id);
            }
            session.state = 'T';
            session.writes.clear();
            return finish(server, session, descriptor, "COMPLETE -\r\n");
        }
        if (verb == "ROLLBACK") {
            session.state = 'I';
            session.writes.clear();
            return finish(server, session, descriptor, "COMPLETE -\r\n");
        }
        const std::string signature = "s." + server.id + "." + id;
        if (verb == "WRITE") {
            if (!server.primary) {
                return error("READONLY " + server.id);
            }
            ++run;
            if (session.state == 'T') {
                session.writes.emplace_back(id, text);
            } else if (!commit(server, descriptor, lock, {{id, text}})) {
                return false;
            }
            return finish(server, session, descriptor, "COMPLETE " + signature + "\r\n");
        }
        if (verb == "COMMIT") {
            if (!session.writes.empty() && !server.primary) {
                return error("READONLY " + server.id);
            }
            if (!session.writes.empty() && !commit(server, descriptor, lock, session.writes)) {
                return false;
            }
            session.writes.clear();
            session.state = 'I';
            return finish(server, session, descriptor, "COMPLETE " + signature + "\r\n");
        }
        if (verb == "READ") {
            ++run;
            const std::string thing = text.substr(std::min(text.size(), std::strlen("READ ")));
            if (rowsOf) {
                lock.unlock();
                rowsOf(descriptor, thing);
                lock.lock();
            } else {
                // Tells what the read saw.
                sendAll(descriptor,
                        "ROW " + server.id + " " + std::to_string(server.log.size()) + "\r\n");
            }
            return finish(server, session, descriptor, "COMPLETE " + signature + "\r\n");
        }
        return error("MALFORMED " + verb);
    }

    /** @return whether a replica received it; false where the connection has to end. */
    bool commit(Server& server, int descriptor, std::unique_lock<std::mutex>& lock,
                const std::vector<std::pair<std::string, std::string>>& writes) {
        for (const auto& [id, text] : writes) {
            server.log.push_back({server.term, server.log.size() + 1, id, text});
        }
        const std::size_t number = server.log.size();
        while (!isReceived(server, number)) {
            lock.unlock();
            sleepFor(0.002);
            const bool kept = outlastsDark(server, descriptor);
            lock.lock();
            if (!kept || !server.primary) {
                return false;
            }
        }
        lock.unlock();
        const bool kept = outlastsDark(server, descriptor);
        lock.lock();
        return kept;
    }

    std::string _name;
    Store& _store;
    std::mutex _mutex;
    std::uint64_t _sequence = 0;
    std::uint64_t _newestTerm = 1;
    std::set<std::string> _acknowledged;
    std::map<std::string, std::unique_ptr<Server>> _servers;
    std::vector<std::unique_ptr<Listener>> _listeners;
};

/** The platform's call for promotions. */
class Cloud {
public:
    void start(Group& group) {
        port = _listener.start([this, &group](int descriptor) {
            Reader reader(descriptor);
            while (const auto first = reader.line()) {
                std::size_t length = 0;
                while (const auto header = reader.line()) {
                    if (header->empty()) {
                        break;
                    }
                    if (strncasecmp(header->c_str(), "content-length:", 15) == 0) {
                        length = std::strtoul(header->c_str() + 15, nullptr, 10);
                    }
                }
                const auto body = reader.bytes(length);
                if (!body) {
                    return;
                }
                record.line("promotion called: " + *body);
                if (group.onPromotion) {
                    group.onPromotion(textOf(*body, "id"));
                }
                group.promote(textOf(*body, "id"));
                sendAll(descriptor, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            }
        });
    }

    std::uint16_t port = 0;

private:
    Listener _listener;
};

// ---------------------------------------------------------------- proxies

struct Bounds {
    int settings = 3000;
    int drain = 7000;
    int grace = 6;
};

class Proxy {
public:
    /** Starts the program with the command of the deploy file and settings as its template has. */
    void start(const std::string& folder, const std::string& name, const std::string& zone,
               std::uint16_t store, std::uint16_t cloud, const Bounds& bounds) {
        const std::string file = folder + "/" + name + ".toml";
        front = freePort();
        ready = freePort();
        const std::uint16_t peer = freePort();
        const std::uint16_t metrics = freePort();
        std::FILE* out = std::fopen(file.c_str(), "w");
        std::fprintf(out,
                     "[node]\nname = \"%s\"\nregion = \"region-a\"\nzone = \"%s\"\n"
                     "zones = [\"%s=region-a\"]\naddress = \"127.0.0.1\"\n"
                     "drain_timeout_ms = %d\nlink_mbps = \"1000.0\"\nprocessor_share = \"0.25\"\n"
                     "[peer]\nport = %d\n[pool]\nlisten = \"127.0.0.1:%d\"\n"
                     "[readiness]\nlisten = \"127.0.0.1:%d\"\n"
                     "[platform]\nurl = \"http://127.0.0.1:%d\"\n"
                     "[promotion]\naddress = \"127.0.0.1:%d\"\n"
                     "[metrics]\nport = %d\n"
                     "[freshness]\nsettings_bound_ms = %d\ndrain_bound_ms = %d\n",
                     name.c_str(), zone.c_str(), zone.c_str(), bounds.grace * 1000, peer, front,
                     ready, store, cloud, metrics, bounds.settings, bounds.drain);
        std::fclose(out);
        const std::string log = folder + "/" + name + ".log";
        pid = ::fork();
        if (pid == 0) {
            const int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(descriptor, 1);
            ::dup2(descriptor, 2);
            ::execl("target/bin/coralhoist-platform", "target/bin/coralhoist-platform",
                    "--settings", file.c_str(), nullptr);
            std::_Exit(127);
        }
    }

    bool hasEnded() {
        if (pid <= 0) {
            return true;
        }
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) == pid) {
            record.line("a proxy ended with wait status " + std::to_string(status));
            pid = 0;
            return true;
        }
        return false;
    }

    void signal(int number) const {
        if (pid > 0) {
            ::kill(pid, number);
        }
    }

    void end() {
        signal(SIGCONT);
        signal(SIGKILL);
        if (pid > 0) {
            ::waitpid(pid, nullptr, 0);
            pid = 0;
        }
    }

    /** @return the status of GET /ready; 0 without an answer in time. */
    int askReady(double timeout = 1.0) const {
        const int descriptor = connectTo(ready);
        if (descriptor < 0) {
            return 0;
        }
        sendAll(descriptor, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        Reader reader(descriptor);
        const auto first = reader.line(timeout);
        ::close(descriptor);
        return first && first->size() > 12 ? std::atoi(first->c_str() + 9) : 0;
    }

    bool awaitReady(double timeout) {
        const double until = seconds() + timeout;
        while (seconds() < until && !hasEnded()) {
            if (askReady() == 200) {
                return true;
            }
            sleepFor(0.1);
        }
        return false;
    }

    pid_t pid = 0;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
};

// ---------------------------------------------------------------- clients

struct Answer {
    bool whole = false;
    std::string end;
    std::vector<std::string> rows;
    std::string ready;
};

class Client {
public:
    explicit Client(std::uint16_t port, int receiveBuffer = 0)
        : descriptor(connectTo(port, receiveBuffer)), reader(descriptor) {}
    ~Client() {
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }

    bool open(const std::string& database, double timeout = 2) {
        if (descriptor < 0 || !sendAll(descriptor, "CONNECT " + database + " client\r\n")) {
            return false;
        }
        const auto line = reader.line(timeout);
        return line && line->rfind("READY", 0) == 0;
    }

    Answer ask(const std::string& id, const std::string& text, double timeout = 3) {
        sendAll(descriptor, "QUERY " + id + " " + text + "\r\n");
        return read(timeout);
    }

    Answer read(double timeout) {
        Answer answer;
        const double until = seconds() + timeout;
        while (const auto line = reader.line(until - seconds())) {
            if (line->rfind("READY", 0) == 0) {
                answer.ready = *line;
                answer.whole = true;
                return answer;
            }
            if (line->rfind("ROW ", 0) == 0) {
                answer.rows.push_back(line->substr(4));
            } else {
                answer.end = *line;
            }
        }
        return answer;
    }

    int descriptor;
    Reader reader;
};

inline std::string temporaryFolder() {
    char name[] = "/tmp/review-case-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
        std::exit(2);
    }
    return name;
}

inline std::string configuration(int version, const std::string& group, int timeout,
                                 const std::string& kind = "bounded_staleness") {
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r-a\",\"host\":\"dbone\",\"path_prefix\":\"/\",\"kind\":\"" +
           kind + "\",\"timeout_ms\":" + std::to_string(timeout) +
           ",\"target_ms\":1500,\"priority\":1,\"service\":\"" + group +
           "\",\"attempts\":2,\"max_staleness_ms\":1500}],\"services\":[{\"name\":\"" + group +
           "\",\"health_path\":\"/health\",\"max_conns\":32,\"protocol\":\"h1\",\"tls\":false,"
           "\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000}}";
}

}  // namespace stage
