/**
 * Small stand-ins of the platform for the review's scripts: a metadata store, servers of a
 * replicated database group, clients, and proxies as processes of their own. One thread for each
 * connection, blocking sockets on loopback, real time.
 */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

inline void pause(milliseconds time) {
    std::this_thread::sleep_for(time);
}

/** What was sent, answered and run, with the time since the start. */
class Record {
public:
    explicit Record(const std::string& path) : _file(std::fopen(path.c_str(), "w")) {}

    void note(const std::string& text) {
        const std::lock_guard lock(_mutex);
        const double time = std::chrono::duration<double>(SteadyClock::now() - _start).count();
        std::fprintf(_file, "%8.3f %s\n", time, text.c_str());
        std::fflush(_file);
    }

private:
    std::FILE* _file;
    std::mutex _mutex;
    TimePoint _start = SteadyClock::now();
};

// --- Sockets -----------------------------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** @return a listening socket on a free port. */
inline int listenOnLoopback(int backlog) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, backlog) != 0) {
        std::perror("listen");
        std::_Exit(kCouldNotRun);
    }
    return descriptor;
}

inline std::uint16_t portOf(int descriptor) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/** @return a port that is free now. */
inline std::uint16_t freePort() {
    const int descriptor = listenOnLoopback(1);
    const std::uint16_t port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

inline bool sendAll(int descriptor, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads lines that end with CR LF, and counted bytes. */
class LineReader {
public:
    explicit LineReader(int descriptor) : _descriptor(descriptor) {}

    /** @return nothing when the connection has ended, or at the deadline. */
    std::optional<std::string> line(std::optional<TimePoint> deadline = std::nullopt) {
        while (true) {
            const std::size_t end = _buffer.find("\r\n");
            if (end != std::string::npos) {
                std::string text = _buffer.substr(0, end);
                _buffer.erase(0, end + 2);
                return text;
            }
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> bytes(std::size_t count) {
        while (_buffer.size() < count) {
            if (!fill(std::nullopt)) {
                return std::nullopt;
            }
        }
        std::string text = _buffer.substr(0, count);
        _buffer.erase(0, count);
        return text;
    }

private:
    bool fill(std::optional<TimePoint> deadline) {
        if (deadline) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(*deadline - SteadyClock::now()).count();
            pollfd entry{_descriptor, POLLIN, 0};
            if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char bytes[65536];
        const ssize_t count = ::recv(_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        _buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int _descriptor;
    std::string _buffer;
};

/** Accepts connections and serves each in a thread of its own. */
class Listener {
public:
    using Handler = std::function<void(int descriptor)>;

    explicit Listener(Handler handler, int backlog = 256)
        : _handler(std::move(handler)), _descriptor(listenOnLoopback(backlog)) {
        std::thread([this] { run(); }).detach();
    }

    std::uint16_t port() const { return portOf(_descriptor); }

    /** While it does not accept, new connections wait in the queue of the kernel. */
    void setAccepting(bool accepting) { _accepting = accepting; }

private:
    void run() {
        while (true) {
            if (!_accepting) {
                pause(milliseconds(2));
                continue;
            }
            pollfd entry{_descriptor, POLLIN, 0};
            if (::poll(&entry, 1, 5) <= 0 || !_accepting) {
                continue;
            }
            const int accepted = ::accept4(_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, accepted] {
                _handler(accepted);
                ::close(accepted);
            }).detach();
        }
    }

    Handler _handler;
    int _descriptor;
    std::atomic<bool> _accepting{true};
};

// --- HTTP --------------------------------------------------------------------------------------

struct HttpRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    QJsonObject body;
};

struct HttpReply {
    int status = 200;
    QJsonObject body;
};

/** Serves HTTP/1.1 with JSON bodies; connections stay open. */
class HttpServer {
public:
    using Handler = std::function<HttpReply(const HttpRequest&)>;

    explicit HttpServer(Handler handler, int backlog = 256)
        : _handler(std::move(handler)),
          _listener([this](int descriptor) { serve(descriptor); }, backlog) {}

    std::uint16_t port() const { return _listener.port(); }
    Listener& listener() { return _listener; }

private:
    void serve(int descriptor) {
        LineReader reader(descriptor);
        while (true) {
            HttpRequest request;
            const auto first = reader.line();
            if (!first) {
                return;
            }
            const std::size_t space = first->find(' ');
            request.method = first->substr(0, space);
            std::string target = first->substr(space + 1);
            target = target.substr(0, target.find(' '));
            readTarget(target, request);
            for (auto line = reader.line(); !line || !line->empty(); line = reader.line()) {
                if (!line) {
                    return;
                }
                const std::size_t colon = line->find(": ");
                std::string name = line->substr(0, colon);
                for (char& letter : name) {
                    letter = static_cast<char>(std::tolower(letter));
                }
                request.headers[name] = line->substr(colon + 2);
            }
            if (request.headers.contains("content-length")) {
                const auto body = reader.bytes(std::stoul(request.headers["content-length"]));
                if (!body) {
                    return;
                }
                request.body = QJsonDocument::fromJson(QByteArray::fromStdString(*body)).object();
            }
            const HttpReply reply = _handler(request);
            const std::string body =
                QJsonDocument(reply.body).toJson(QJsonDocument::Compact).toStdString();
            if (!sendAll(descriptor,
                         "HTTP/1.1 " + std::to_string(reply.status) +
                             " .\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    static void readTarget(const std::string& target, HttpRequest& request) {
        const std::size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::size_t start = mark;
        while (start != std::string::npos) {
            const std::size_t end = target.find('&', start + 1);
            const std::string pair = target.substr(start + 1, end - start - 1);
            const std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] =
                equals == std::string::npos ? "" : pair.substr(equals + 1);
            start = end;
        }
    }

    Handler _handler;
    Listener _listener;
};

// --- The platform's store ----------------------------------------------------------------------

/** Objects with one counter of revisions, lists, watches and conditional writes. */
class Store {
public:
    Store() : _server([this](const HttpRequest& request) { return handle(request); }) {}

    std::uint16_t port() const { return _server.port(); }

    /** Writes the object's spec for the operator or a server. @return the acknowledged revision. */
    std::uint64_t put(const std::string& kind, const std::string& name, const QJsonObject& spec) {
        const std::lock_guard lock(_mutex);
        return write(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock(_mutex);
        erase(kind, name);
    }

    QJsonObject specOf(const std::string& kind, const std::string& name) {
        const std::lock_guard lock(_mutex);
        const auto found = _objects[kind].find(name);
        return found == _objects[kind].end() ? QJsonObject() : found->second.spec;
    }

    /** Called with each write of the system's own kinds, under the store's lock. */
    std::function<void(const std::string& kind, const std::string& name, const QJsonObject& spec,
                       std::uint64_t revision)>
        onWritten;

private:
    struct Object {
        QJsonObject spec;
        QJsonValue status;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::string kind;
        std::string name;
        Object object;
        bool expired = false;
    };

    std::uint64_t write(const std::string& kind, const std::string& name, const QJsonObject& spec) {
        Object& object = _objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return object.revision;
        }
        object.spec = spec;
        object.revision = ++_revision;
        object.created = object.created == 0 ? _revision : object.created;
        _events.push_back({kind, name, object, false});
        _changed.notify_all();
        return object.revision;
    }

    void erase(const std::string& kind, const std::string& name) {
        const auto found = _objects[kind].find(name);
        if (found == _objects[kind].end()) {
            return;
        }
        Event event{kind, name, found->second, true};
        event.object.revision = ++_revision;
        _objects[kind].erase(found);
        _events.push_back(event);
        _changed.notify_all();
    }

    static QJsonObject jsonOf(const std::string& name, const Object& object) {
        const QJsonObject meta{{"name", QString::fromStdString(name)},
                               {"revision", static_cast<qint64>(object.revision)},
                               {"created", static_cast<qint64>(object.created)},
                               {"finalizers", QJsonArray()},
                               {"terminating", false}};
        return {{"meta", meta}, {"spec", object.spec}, {"status", object.status}};
    }

    HttpReply handle(const HttpRequest& request) {
        const std::string prefix = "/objects/";
        if (!request.path.starts_with(prefix)) {
            return {404, {}};
        }
        const std::string rest = request.path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(_mutex);
        if (request.method == "GET" && request.query.contains("watch")) {
            return watch(lock, kind, request);
        }
        auto& objects = _objects[kind];
        if (request.method == "GET" && name.empty()) {
            QJsonArray items;
            for (const auto& [each, object] : objects) {
                items.append(jsonOf(each, object));
            }
            return {
                200,
                {{"items", items}, {"has_more", false}, {"at", static_cast<qint64>(_revision)}}};
        }
        const QJsonObject meta = request.body["meta"].toObject();
        const std::string target = name.empty() ? meta["name"].toString().toStdString() : name;
        const auto found = objects.find(target);
        if (request.method == "POST") {
            if (found != objects.end()) {
                return {409, jsonOf(target, found->second)};
            }
            return written(kind, target, request.body["spec"].toObject());
        }
        if (found == objects.end()) {
            return {404, {}};
        }
        if (request.method == "GET") {
            return {200, jsonOf(target, found->second)};
        }
        const QJsonValue expected =
            meta.contains("revision")
                ? meta["revision"]
                : (request.query.contains("revision")
                       ? QJsonValue(static_cast<qint64>(std::stoll(request.query.at("revision"))))
                       : QJsonValue(QJsonValue::Undefined));
        if (!expected.isUndefined() &&
            static_cast<std::uint64_t>(expected.toInteger()) != found->second.revision) {
            return {409, jsonOf(target, found->second)};
        }
        if (request.method == "DELETE") {
            erase(kind, target);
            return {200, {}};
        }
        return written(kind, target, request.body["spec"].toObject());
    }

    HttpReply written(const std::string& kind, const std::string& name, const QJsonObject& spec) {
        const std::uint64_t revision = write(kind, name, spec);
        if (onWritten) {
            onWritten(kind, name, spec, revision);
        }
        return {200, jsonOf(name, _objects[kind][name])};
    }

    HttpReply watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
                    const HttpRequest& request) {
        const std::uint64_t from = std::stoull(request.query.at("watch"));
        const TimePoint until =
            SteadyClock::now() + milliseconds(std::stoll(request.query.at("wait_ms")));
        QJsonArray events;
        while (true) {
            for (const Event& event : _events) {
                if (event.kind == kind && event.object.revision > from) {
                    events.append(QJsonObject{{"object", jsonOf(event.name, event.object)},
                                              {"expired", event.expired}});
                }
            }
            if (!events.isEmpty() || _changed.wait_until(lock, until) == std::cv_status::timeout) {
                return {200, {{"events", events}, {"at", static_cast<qint64>(_revision)}}};
            }
        }
    }

    std::mutex _mutex;
    std::condition_variable _changed;
    std::map<std::string, std::map<std::string, Object>> _objects;
    std::vector<Event> _events;
    std::uint64_t _revision = 100;
    HttpServer _server;
};

// --- Servers -----------------------------------------------------------------------------------

struct LogEntry {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::string thing;
    std::string data;
    std::string request;
};

/** One service: a primary and its replicas, `sync_replicas` 1. */
class DatabaseGroup {
public:
    DatabaseGroup(std::string name, Store& store, Record& record)
        : _name(std::move(name)), _store(store), _record(record) {}

    /** Called with the id of each server that is promoted, under the group's lock. */
    std::function<void(const std::string& id, const std::set<std::string>& requests)> onPromoted;

    /** Adds a server and writes its entry; the first one leads. */
    void add(const std::string& id, const std::string& zone,
             std::optional<std::int64_t> born = std::nullopt) {
        auto server = std::make_unique<Server>();
        Server& added = *server;
        added.id = id;
        added.zone = zone;
        added.born = born;
        {
            const std::lock_guard lock(_mutex);
            added.primary = _servers.empty();
            _servers.push_back(std::move(server));
        }
        added.listener = std::make_unique<Listener>(
            [this, &added](int descriptor) { serve(added, descriptor); });
        announce(id);
    }

    /** Writes the server's entry, as after each change of it. */
    void announce(const std::string& id, const std::string& state = "ready") {
        const std::lock_guard lock(_mutex);
        announceLocked(find(id), state);
    }

    /** Starts the replica again under its id: a new start time, nothing of before. */
    void restartAs(const std::string& id, std::int64_t born) {
        {
            const std::lock_guard lock(_mutex);
            Server& server = find(id);
            server.born = born;
            server.held = 0;
            server.term = 0;
            server.log.clear();
            server.receivedAt.clear();
            closeConnections(server);
        }
        announce(id);
    }

    void removeEntry(const std::string& id) { _store.remove("servers", id); }

    /** The server ends and says nothing. */
    void crash(const std::string& id) {
        const std::lock_guard lock(_mutex);
        Server& server = find(id);
        server.running = false;
        closeConnections(server);
        _changed.notify_all();
        _record.note("server " + id + " crashes");
    }

    /** A crashed server returns with its log: as a replica if another one has been promoted. */
    void restart(const std::string& id) {
        const std::lock_guard lock(_mutex);
        Server& server = find(id);
        server.running = true;
        server.held = 0;
        server.primary = server.primary && leading() == &server;
        announceLocked(server, "ready");
        _changed.notify_all();
        _record.note("server " + id + " is back");
    }

    /** A dark server keeps what it has and says nothing to anybody. */
    void setDark(const std::string& id, bool dark) {
        const std::lock_guard lock(_mutex);
        find(id).dark = dark;
        _changed.notify_all();
        _record.note("server " + id + (dark ? " goes dark" : " is heard again"));
    }

    /** While it is deaf, a replica receives nothing. */
    void setDeaf(const std::string& id, bool deaf) {
        const std::lock_guard lock(_mutex);
        find(id).deaf = deaf;
        _record.note("server " + id + (deaf ? " receives nothing" : " receives again"));
    }

    /** A replica applies what it has received this much later. */
    void setLag(milliseconds lag) { _lag = lag; }

    /** How the operator's call promotes: the server leads the next term with what it received. */
    bool promote(const std::string& id) {
        const std::lock_guard lock(_mutex);
        Server* target = nullptr;
        for (const auto& server : _servers) {
            target = server->id == id && server->running ? server.get() : target;
        }
        if (target == nullptr) {
            return false;
        }
        if (target->primary && target->term == newestTerm()) {
            return true;
        }
        const std::uint64_t term = newestTerm() + 1;
        for (const auto& server : _servers) {
            if (server.get() != target && server->running) {
                server->primary = false;
            }
        }
        if (onPromoted) {
            std::set<std::string> requests;
            for (const LogEntry& entry : target->log) {
                requests.insert(entry.request);
            }
            onPromoted(id, requests);
        }
        target->primary = true;
        target->term = term;
        target->held = 0;
        for (const auto& server : _servers) {
            if (server.get() == target || !server->running) {
                continue;
            }
            server->held = 0;
        }
        replicate();
        for (const auto& server : _servers) {
            if (server->running) {
                announceLocked(*server, "ready");
            }
        }
        _record.note("server " + id + " leads term " + std::to_string(term));
        _changed.notify_all();
        return true;
    }

    bool isRunning(const std::string& id) {
        const std::lock_guard lock(_mutex);
        return find(id).running;
    }

    /** @return the id of the server that leads the newest term. */
    std::string leader() {
        const std::lock_guard lock(_mutex);
        const Server* leader = leading();
        return leader == nullptr ? "" : leader->id;
    }

    /** @return whether the newest leader's log has the write. */
    bool hasCommit(const std::string& request) {
        const std::lock_guard lock(_mutex);
        const Server* leader = leading();
        if (leader == nullptr) {
            return false;
        }
        for (const LogEntry& entry : leader->log) {
            if (entry.request == request) {
                return true;
            }
        }
        return false;
    }

    const std::string& name() const { return _name; }

private:
    struct Server {
        std::string id;
        std::string zone;
        std::optional<std::int64_t> born;
        bool running = true;
        bool primary = false;
        bool deaf = false;
        bool dark = false;
        std::uint64_t term = 1;
        /** Term of the order to stop receiving; 0 without one. */
        std::uint64_t held = 0;
        std::vector<LogEntry> log;
        std::vector<TimePoint> receivedAt;
        std::set<int> connections;
        std::unique_ptr<Listener> listener;
    };
    struct Session {
        bool open = false;
        bool inTransaction = false;
        bool failed = false;
        bool readOnly = false;
        std::vector<LogEntry> writes;
        /** Shape by name, with "w " or "r " in front. */
        std::map<std::string, std::string> prepared;
        std::map<std::string, std::string> values;
    };
    struct Answer {
        std::vector<std::string> rows;
        std::string signature = "-";
        std::string error;
    };

    Server& find(const std::string& id) {
        for (const auto& server : _servers) {
            if (server->id == id) {
                return *server;
            }
        }
        std::abort();
    }

    std::uint64_t newestTerm() const {
        std::uint64_t term = 0;
        for (const auto& server : _servers) {
            term = std::max(term, server->term);
        }
        return term;
    }

    Server* leading() {
        Server* leader = nullptr;
        for (const auto& server : _servers) {
            if (server->primary && (leader == nullptr || server->term > leader->term)) {
                leader = server.get();
            }
        }
        return leader;
    }

    void announceLocked(Server& server, const std::string& state) {
        QJsonObject spec{{"service", QString::fromStdString(_name)},
                         {"addr", "127.0.0.1:" + QString::number(server.listener->port())},
                         {"zone", QString::fromStdString(server.zone)},
                         {"version", "v1"},
                         {"slots", 2},
                         {"state", QString::fromStdString(state)},
                         {"cold_left_ms", 0},
                         {"db_role", server.primary ? "primary" : "replica"},
                         {"seq", static_cast<qint64>(++_sequence)}};
        if (server.born) {
            spec["born"] = static_cast<qint64>(*server.born);
        }
        _store.put("servers", server.id, spec);
    }

    static void closeConnections(Server& server) {
        for (const int descriptor : server.connections) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }

    /** Replicas that receive take the leader's log; what they have beyond it is rolled back. */
    void replicate() {
        const Server* leader = leading();
        if (leader == nullptr || !leader->running || leader->dark) {
            return;
        }
        for (const auto& server : _servers) {
            if (server.get() == leader || !server->running || server->primary || server->deaf ||
                server->dark || server->held > leader->term) {
                continue;
            }
            std::size_t common = 0;
            while (common < server->log.size() && common < leader->log.size() &&
                   server->log[common].request == leader->log[common].request) {
                ++common;
            }
            server->log.resize(common);
            server->receivedAt.resize(common);
            while (server->log.size() < leader->log.size()) {
                server->log.push_back(leader->log[server->log.size()]);
                server->receivedAt.push_back(SteadyClock::now());
            }
            server->term = leader->term;
        }
    }

    std::size_t appliedOf(const Server& server) const {
        if (server.primary) {
            return server.log.size();
        }
        std::size_t applied = 0;
        while (applied < server.log.size() &&
               server.receivedAt[applied] + _lag.load() <= SteadyClock::now()) {
            ++applied;
        }
        return applied;
    }

    static std::string positionOf(const Server& server, std::size_t count) {
        const std::uint64_t term = count == 0 ? server.term : server.log[count - 1].term;
        if (term == 0) {
            return "-";
        }
        return std::to_string(term) + "." + std::to_string(count);
    }

    bool lacks(const Server& server, const std::string& position) const {
        const std::size_t point = position.find('.');
        const std::uint64_t term = std::stoull(position.substr(0, point));
        const std::uint64_t number = std::stoull(position.substr(point + 1));
        const std::size_t applied = appliedOf(server);
        const std::uint64_t ownTerm = applied == 0 ? server.term : server.log[applied - 1].term;
        return std::pair(ownTerm, static_cast<std::uint64_t>(applied)) < std::pair(term, number);
    }

    void serve(Server& server, int descriptor) {
        {
            const std::lock_guard lock(_mutex);
            if (!server.running) {
                return;
            }
            server.connections.insert(descriptor);
        }
        LineReader reader(descriptor);
        Session session;
        while (const auto line = reader.line()) {
            if (!onLine(server, descriptor, session, *line)) {
                break;
            }
        }
        const std::lock_guard lock(_mutex);
        server.connections.erase(descriptor);
    }

    static std::string takeWord(std::string& text) {
        const std::size_t blank = text.find(' ');
        std::string word = text.substr(0, blank);
        text = blank == std::string::npos ? "" : text.substr(blank + 1);
        return word;
    }

    bool onLine(Server& server, int descriptor, Session& session, std::string line) {
        const std::string word = takeWord(line);
        if (word == "CONNECT") {
            const std::string service = takeWord(line);
            takeWord(line);
            const bool wrong = service != _name || (!line.empty() && line != server.id);
            if (wrong) {
                sendAll(descriptor, "ERROR WRONGNODE " + server.id + "\r\n");
                return false;
            }
            session.open = true;
            std::unique_lock lock(_mutex);
            awaitLight(lock, server);
            return sendAll(descriptor, "READY I " + positionOf(server, appliedOf(server)) + "\r\n");
        }
        if (word != "QUERY" || !session.open) {
            return false;
        }
        const std::string id = takeWord(line);
        if (id != "-") {
            pause(milliseconds(2));
        }
        std::unique_lock lock(_mutex);
        awaitLight(lock, server);
        const Answer answer = run(lock, server, session, id, line);
        awaitLight(lock, server);
        if (!server.running) {
            return false;
        }
        if (id != "-") {
            _record.note("run at " + server.id + " id " + id + " " + line +
                         (answer.error.empty() ? "" : " -> " + answer.error));
        }
        std::string out;
        for (const std::string& row : answer.rows) {
            out += "ROW " + row + "\r\n";
        }
        out += answer.error.empty() ? "COMPLETE " + answer.signature + "\r\n"
                                    : "ERROR " + answer.error + "\r\n";
        const char state = session.failed ? 'E' : (session.inTransaction ? 'T' : 'I');
        out += std::string("READY ") + state + " " + positionOf(server, appliedOf(server)) + "\r\n";
        lock.unlock();
        return sendAll(descriptor, out);
    }

    /** What reaches a dark server waits. */
    void awaitLight(std::unique_lock<std::mutex>& lock, const Server& server) {
        _changed.wait(lock, [&server] { return !server.dark || !server.running; });
    }

    Answer refuse(Session& session, const std::string& error) {
        session.failed = session.inTransaction;
        return {{}, "-", error};
    }

    Answer run(std::unique_lock<std::mutex>& lock, Server& server, Session& session,
               const std::string& id, std::string text) {
        std::string rest = text;
        std::string verb = takeWord(rest);
        if (verb == "AFTER") {
            const std::string position = takeWord(rest);
            if (lacks(server, position)) {
                return {{}, "-", "LAGGING " + server.id};
            }
            verb = takeWord(rest);
        }
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
            return order(server, verb, rest);
        }
        if (verb == "RESET") {
            session.prepared.clear();
            session.values.clear();
            return {};
        }
        if (verb == "ROLLBACK") {
            session.inTransaction = session.failed = false;
            session.writes.clear();
            return {};
        }
        if (session.failed) {
            return {{}, "-", "MALFORMED the transaction has failed"};
        }
        if (verb == "SET") {
            const std::string name = takeWord(rest);
            session.values[name] = rest;
            return {};
        }
        if (verb == "PREPARE") {
            const std::string name = takeWord(rest);
            const std::string kind = takeWord(rest);
            session.prepared[name] = (kind == "WRITE" ? "w " : "r ") + rest;
            return {};
        }
        if (verb == "CLOSE") {
            session.prepared.erase(rest);
            return {};
        }
        bool writes = verb == "WRITE";
        if (verb == "EXECUTE") {
            const std::string name = takeWord(rest);
            if (!session.prepared.contains(name)) {
                return refuse(session, "NOSTMT " + name);
            }
            writes = session.prepared[name].starts_with("w ");
        }
        if (verb == "BEGIN") {
            session.readOnly = rest == "READ";
            if (!session.readOnly && !server.primary) {
                return {{}, "-", "READONLY " + server.id};
            }
            session.inTransaction = true;
            return {};
        }
        if (verb == "COMMIT") {
            session.inTransaction = false;
            const std::vector<LogEntry> writesOfIt = std::exchange(session.writes, {});
            if (writesOfIt.empty()) {
                return {{}, "sig-" + id, ""};
            }
            return commit(lock, server, id, writesOfIt);
        }
        if (writes) {
            if (!server.primary || session.readOnly) {
                return refuse(session, "READONLY " + server.id);
            }
            LogEntry entry;
            entry.thing = takeWord(rest);
            entry.data = rest;
            entry.request = id;
            if (session.inTransaction) {
                session.writes.push_back(entry);
                return {{}, "sig-" + id, ""};
            }
            return commit(lock, server, id, {entry});
        }
        return {{dataOf(server, takeWord(rest))}, "sig-" + id, ""};
    }

    std::string dataOf(const Server& server, const std::string& thing) const {
        for (std::size_t index = appliedOf(server); index > 0; --index) {
            if (server.log[index - 1].thing == thing) {
                return server.log[index - 1].data;
            }
        }
        return "none";
    }

    /** Answers once a replica has received it. */
    Answer commit(std::unique_lock<std::mutex>& lock, Server& server, const std::string& id,
                  const std::vector<LogEntry>& writes) {
        if (!server.primary) {
            return {{}, "-", "READONLY " + server.id};
        }
        for (LogEntry entry : writes) {
            entry.term = server.term;
            entry.number = server.log.size() + 1;
            server.log.push_back(entry);
            server.receivedAt.push_back(SteadyClock::now());
        }
        const std::size_t position = server.log.size();
        const TimePoint until = SteadyClock::now() + std::chrono::seconds(8);
        while (server.running && server.primary) {
            awaitLight(lock, server);
            replicate();
            for (const auto& other : _servers) {
                if (other.get() != &server && other->running && !other->primary && !other->deaf &&
                    other->log.size() >= position &&
                    other->log[position - 1].request == server.log[position - 1].request) {
                    return {{}, "sig-" + id, ""};
                }
            }
            if (SteadyClock::now() >= until) {
                break;
            }
            _changed.wait_for(lock, milliseconds(5));
        }
        return {{}, "-", "FAILED the commit was not replicated"};
    }

    Answer order(Server& server, const std::string& verb, const std::string& rest) {
        const std::uint64_t term = rest.empty() ? 0 : std::stoull(rest);
        if (verb == "PAUSE" && !server.primary && term > newestTerm()) {
            server.held = term;
        } else if (verb == "RESUME") {
            server.held = 0;
            replicate();
        } else if (verb == "STEPDOWN" && server.primary && server.term < term) {
            server.primary = false;
            announceLocked(server, "ready");
        }
        _record.note("order at " + server.id + " " + verb + " " + rest);
        const Answer answer{
            {(server.primary ? "primary " : "replica ") + std::to_string(server.term) + " " +
             positionOf(server, server.log.size()) + " " + std::to_string(server.held) + " 0 0 " +
             std::to_string(server.connections.size())},
            "-",
            ""};
        return answer;
    }

    std::string _name;
    Store& _store;
    Record& _record;
    std::mutex _mutex;
    std::condition_variable _changed;
    std::vector<std::unique_ptr<Server>> _servers;
    std::atomic<milliseconds> _lag{milliseconds(8)};
    std::uint64_t _sequence = 0;
};

// --- Clients -----------------------------------------------------------------------------------

/** What a client was told of one statement. */
struct Told {
    std::vector<std::string> rows;
    std::string signature;
    /** Empty after a success; "no answer" when the connection ended or the client gave up. */
    std::string error;
    char state = '?';

    bool succeeded() const { return error.empty(); }
};

/** One session over TCP. */
class ClientSession {
public:
    ClientSession(std::uint16_t port, const std::string& database, Record& record)
        : _record(record), _descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const sockaddr_in address = loopback(port);
        if (::connect(_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
            0) {
            return;
        }
        _reader = std::make_unique<LineReader>(_descriptor);
        sendAll(_descriptor, "CONNECT " + database + " u1\r\n");
        const auto line = _reader->line(SteadyClock::now() + milliseconds(2000));
        _open = line && line->starts_with("READY");
    }

    ClientSession(const ClientSession&) = delete;
    ClientSession& operator=(const ClientSession&) = delete;
    ~ClientSession() { ::close(_descriptor); }

    bool isOpen() const { return _open; }
    int descriptor() const { return _descriptor; }

    Told ask(const std::string& id, const std::string& text,
             milliseconds patience = milliseconds(1200)) {
        Told told;
        if (!_open || !sendAll(_descriptor, "QUERY " + id + " " + text + "\r\n")) {
            _open = false;
            told.error = "no answer";
            return told;
        }
        const TimePoint deadline = SteadyClock::now() + patience;
        while (const auto line = _reader->line(deadline)) {
            if (line->starts_with("ROW ")) {
                told.rows.push_back(line->substr(4));
            } else if (line->starts_with("COMPLETE ")) {
                told.signature = line->substr(9);
            } else if (line->starts_with("ERROR ")) {
                told.error = line->substr(6);
            } else if (line->starts_with("READY ")) {
                told.state = line->at(6);
                note(id, text, told);
                return told;
            }
        }
        _open = false;
        told.error = "no answer";
        note(id, text, told);
        return told;
    }

private:
    void note(const std::string& id, const std::string& text, const Told& told) {
        _record.note("client id " + id + " " + text + " -> " +
                     (told.succeeded() ? "COMPLETE " + told.signature : told.error) +
                     (told.rows.empty() ? "" : " ROW " + told.rows.front()));
    }

    Record& _record;
    int _descriptor;
    std::unique_ptr<LineReader> _reader;
    bool _open = false;
};

// --- Proxies -----------------------------------------------------------------------------------

/** A proxy of the deploy file as a process, with the settings of a small deployment. */
class Proxy {
public:
    struct Surroundings {
        std::string folder;
        std::string name;
        std::string zone;
        std::uint16_t storePort = 0;
        std::uint16_t cloudPort = 0;
    };

    Proxy(std::string program, Surroundings surroundings)
        : _program(std::move(program)),
          _surroundings(std::move(surroundings)),
          _callerPort(freePort()),
          _readyPort(freePort()),
          _peerPort(freePort()) {
        writeSettings();
    }

    ~Proxy() { kill(); }

    void start() {
        const std::string settings = _surroundings.folder + "/" + _surroundings.name + ".toml";
        const std::string log = _surroundings.folder + "/" + _surroundings.name + ".log";
        _process = ::fork();
        if (_process == 0) {
            // Proxies end with the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl(_program.c_str(), _program.c_str(), "--settings", settings.c_str(), nullptr);
            std::_Exit(kCouldNotRun);
        }
    }

    void signal(int number) const {
        if (_process > 0) {
            ::kill(_process, number);
        }
    }

    /** @return how the process ended by itself, once. */
    std::optional<std::string> takeEnd() {
        int status = 0;
        if (_process <= 0 || ::waitpid(_process, &status, WNOHANG) != _process) {
            return std::nullopt;
        }
        _process = 0;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit code " + std::to_string(WEXITSTATUS(status));
    }

    void kill() {
        if (_process > 0) {
            ::kill(_process, SIGCONT);
            ::kill(_process, SIGKILL);
            ::waitpid(_process, nullptr, 0);
            _process = 0;
        }
    }

    /** Asks as the platform does. */
    bool isReady() const {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(_readyPort);
        bool ready = false;
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
            0) {
            sendAll(descriptor, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
            const auto line = LineReader(descriptor).line(SteadyClock::now() + milliseconds(500));
            ready = line && line->find(" 200 ") != std::string::npos;
        }
        ::close(descriptor);
        return ready;
    }

    bool awaitReady(milliseconds patience) const {
        const TimePoint until = SteadyClock::now() + patience;
        while (SteadyClock::now() < until) {
            if (isReady()) {
                return true;
            }
            pause(milliseconds(50));
        }
        return false;
    }

    std::uint16_t callerPort() const { return _callerPort; }
    const std::string& name() const { return _surroundings.name; }

private:
    /** As the platform fills platform/settings.toml for a machine of a small site. */
    void writeSettings() const {
        std::ofstream file(_surroundings.folder + "/" + _surroundings.name + ".toml");
        const auto address = [](std::uint16_t port) {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        file << "[node]\nname = \"" << _surroundings.name << "\"\nregion = \"gauteng\"\nzone = \""
             << _surroundings.zone
             << "\"\nzones = [\"midrand-a=gauteng\",\"midrand-b=gauteng\",\"centurion=gauteng\","
                "\"sandton=gauteng\"]\naddress = \"127.0.0.1\"\ndrain_timeout_ms = 6000\n"
                "link_mbps = \"1000.0\"\nprocessor_share = \"0.25\"\n"
             << "[peer]\nport = " << _peerPort << "\n[metrics]\nport = 0\n"
             << "[pool]\nlisten = " << address(_callerPort)
             << "[readiness]\nlisten = " << address(_readyPort)
             << "[platform]\nurl = \"http://127.0.0.1:" << _surroundings.storePort
             << "\"\n[promotion]\naddress = " << address(_surroundings.cloudPort)
             << "[freshness]\nsettings_bound_ms = 3000\ndrain_bound_ms = 7000\n";
    }

    std::string _program;
    Surroundings _surroundings;
    std::uint16_t _callerPort;
    std::uint16_t _readyPort;
    std::uint16_t _peerPort;
    pid_t _process = 0;
};

// --- Configuration -----------------------------------------------------------------------------

inline QJsonObject route(const std::string& database, const std::string& kind,
                         const std::string& service, std::optional<int> staleness = std::nullopt) {
    QJsonObject route{{"name", QString::fromStdString("r-" + database)},
                      {"host", QString::fromStdString(database)},
                      {"path_prefix", "/"},
                      {"kind", QString::fromStdString(kind)},
                      {"timeout_ms", 800},
                      {"target_ms", 200},
                      {"priority", 2},
                      {"service", QString::fromStdString(service)},
                      {"attempts", 2}};
    if (staleness) {
        route["max_staleness_ms"] = *staleness;
    }
    return route;
}

inline QJsonObject configuration(int version, const QJsonArray& routes,
                                 const std::vector<std::string>& services) {
    QJsonArray list;
    for (const std::string& service : services) {
        list.append(QJsonObject{{"name", QString::fromStdString(service)},
                                {"health_path", "/health"},
                                {"max_conns", 32},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"sync_replicas", 1}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", list},
            {"limits", QJsonObject{{"max_header_bytes", 16384},
                                   {"max_body_bytes", 262144},
                                   {"header_timeout_ms", 3000},
                                   {"idle_timeout_ms", 15000},
                                   {"tx_idle_ms", 3000}}}};
}

/** Arguments of a case: the proxy's program, a temporary folder, the path of the record. */
struct CaseArguments {
    std::string program;
    std::string folder;
    std::string record;
    bool trouble = true;
};

inline CaseArguments readArguments(int count, char** arguments) {
    if (count != 4) {
        std::fprintf(stderr, "usage: %s PROXY FOLDER RECORD\n", arguments[0]);
        std::_Exit(kCouldNotRun);
    }
    const char* trouble = std::getenv("TROUBLE");
    return {arguments[1], arguments[2], arguments[3],
            trouble == nullptr || std::string(trouble) != "0"};
}

/** Ends the case without waiting for the threads of the stand-ins. */
[[noreturn]] inline void finish(Record& record, int exitCode, const std::string& verdict) {
    record.note("verdict: " + verdict);
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    std::_Exit(exitCode);
}

}  // namespace review
