#include "lab/soak/StandInStore.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <QPointer>
#include <QStringList>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <utility>

namespace coralhoist::soak {
namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kLatency{2};
/** The store never returns from a copy that is older. */
constexpr Duration kOldestCopy = std::chrono::seconds(10);
constexpr const char* kObjectsPrefix = "/objects/";
constexpr const char* kPromotionPath = "/failover";

std::uint64_t numberOf(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

StandInStore::StandInStore(simulation::EventQueue& queue, RandomSource& random, View view,
                           PromotionHandlers promotions)
    : _queue(queue), _random(random), _view(std::move(view)), _promotions(std::move(promotions)) {}

StandInStore::~StandInStore() {
    for (const auto& [socket, buffer] : _buffers) {
        socket->disconnect(this);
    }
}

std::uint16_t StandInStore::addProxy() {
    const std::size_t proxy = _servers.size();
    _servers.push_back(std::make_unique<QTcpServer>());
    connect(_servers.back().get(), &QTcpServer::newConnection, this,
            [this, proxy] { accept(proxy); });
    _servers.back()->listen(QHostAddress::LocalHost, 0);
    return _servers.back()->serverPort();
}

void StandInStore::accept(std::size_t proxy) {
    while (QTcpSocket* socket = _servers[proxy]->nextPendingConnection()) {
        _buffers[socket];
        connect(socket, &QTcpSocket::readyRead, this,
                [this, proxy, socket] { read(proxy, socket); });
        connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            std::erase_if(_watches,
                          [socket](const Watch& watch) { return watch.socket == socket; });
            _buffers.erase(socket);
            _mute.erase(socket);
            socket->deleteLater();
        });
    }
}

void StandInStore::read(std::size_t proxy, QTcpSocket* socket) {
    QByteArray& buffer = _buffers[socket];
    buffer += socket->readAll();
    const qsizetype headEnd = buffer.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return;
    }
    const QStringList lines = QString::fromUtf8(buffer.left(headEnd)).split("\r\n");
    Request request;
    for (const QString& line : lines.mid(1)) {
        request.headers[line.section(':', 0, 0).trimmed().toLower().toStdString()] =
            line.section(':', 1).trimmed().toStdString();
    }
    const auto length = static_cast<qsizetype>(numberOf(request.headers["content-length"]));
    const qsizetype whole = headEnd + 4 + length;
    if (buffer.size() < whole) {
        return;
    }
    request.body = QJsonDocument::fromJson(buffer.mid(headEnd + 4, length)).object();
    buffer.remove(0, whole);
    const QStringList words = lines.first().split(' ');
    request.method = words.value(0).toStdString();
    const QUrl url(words.value(1));
    request.path = url.path().toStdString();
    for (const auto& [key, value] : QUrlQuery(url).queryItems()) {
        request.query[key.toStdString()] = value.toStdString();
    }
    receive(proxy, socket, request);
}

void StandInStore::receive(std::size_t proxy, QTcpSocket* socket, const Request& request) {
    if (_faults.silent || _faults.away) {
        _mute.insert(socket);
    }
    if (_mute.contains(socket)) {
        return;
    }
    const bool writes = request.method != "GET" && request.path != kPromotionPath;
    if (writes && !_faults.refuses && _random.fraction() < _faults.writesLate) {
        handleLate(proxy, socket, request);
        return;
    }
    QTimer::singleShot(kLatency, this, [this, proxy, socket, request] {
        if (_buffers.contains(socket)) {
            handle(proxy, socket, request);
        } else if (request.path == kPromotionPath && !_faults.refuses) {
            // A call that has arrived is carried out, also when its connection was reset since.
            handlePromotion(nullptr, request);
        }
    });
}

/** The write is carried out although its connection may have been closed. */
void StandInStore::handleLate(std::size_t proxy, QTcpSocket* socket, const Request& request) {
    _mute.insert(socket);
    const auto longest = static_cast<std::uint64_t>(_faults.longestWriteDelay.count());
    QTimer::singleShot(std::chrono::milliseconds(1 + _random.below(longest)), this,
                       [this, proxy, request] { handleObjects(proxy, nullptr, request); });
}

void StandInStore::handle(std::size_t proxy, QTcpSocket* socket, const Request& request) {
    if (_faults.refuses) {
        answer(socket, kUnavailable, {});
    } else if (request.path == kPromotionPath) {
        handlePromotion(socket, request);
    } else {
        handleObjects(proxy, socket, request);
    }
}

void StandInStore::handlePromotion(QTcpSocket* socket, const Request& request) {
    const auto header = [&request](const char* name) {
        const auto found = request.headers.find(name);
        return found == request.headers.end() ? std::string() : found->second;
    };
    const PromotionCall call{request.body["service"].toString().toStdString(),
                             request.body["id"].toString().toStdString(), header("x-lease-holder"),
                             numberOf(header("x-fencing-token"))};
    _promotions.arrived(call);
    if (_faults.promotionAnswersLost && socket != nullptr) {
        _mute.insert(socket);
    }
    const QPointer<QTcpSocket> caller(socket);
    QTimer::singleShot(_faults.promotionDelay, this, [this, caller, call] {
        const int status = _promotions.carryOut(call);
        answerWrite(caller, status, {}, AfterAnswer::Close);
    });
}

void StandInStore::handleObjects(std::size_t proxy, QTcpSocket* socket, const Request& request) {
    const std::string rest = request.path.substr(std::string(kObjectsPrefix).size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method == "POST") {
        create(proxy, socket, kind, request);
    } else if (request.method == "PUT") {
        replace(proxy, socket, kind, name, request);
    } else if (request.query.contains("watch")) {
        startWatch(proxy, socket, kind, request);
    } else if (name.empty()) {
        list(proxy, socket, kind);
    } else if (const auto found = _state.objects[kind].find(name);
               found != _state.objects[kind].end()) {
        answer(socket, kOk, json(proxy, kind, name, found->second));
    } else {
        answer(socket, kNotFound, {});
    }
}

QJsonObject StandInStore::json(std::size_t proxy, const std::string& kind, const std::string& name,
                               const Object& object) const {
    QJsonObject meta;
    meta["name"] = QString::fromStdString(name);
    meta["revision"] = static_cast<qint64>(object.version);
    QJsonObject result;
    result["meta"] = meta;
    result["spec"] = _view(proxy, kind, name, object.spec);
    return result;
}

void StandInStore::list(std::size_t proxy, QTcpSocket* socket, const std::string& kind) {
    QJsonArray items;
    for (const auto& [name, object] : _state.objects[kind]) {
        items.append(json(proxy, kind, name, object));
    }
    answer(socket, kOk,
           {{"items", items}, {"has_more", false}, {"at", static_cast<qint64>(_state.version)}});
}

void StandInStore::create(std::size_t proxy, QTcpSocket* socket, const std::string& kind,
                          const Request& request) {
    const std::string name = request.body["meta"].toObject()["name"].toString().toStdString();
    const auto found = _state.objects[kind].find(name);
    if (found != _state.objects[kind].end()) {
        answer(socket, kConflict, json(proxy, kind, name, found->second));
        return;
    }
    store(kind, name, request.body["spec"].toObject());
    answerWrite(socket, kCreated, json(proxy, kind, name, _state.objects[kind][name]));
}

void StandInStore::replace(std::size_t proxy, QTcpSocket* socket, const std::string& kind,
                           const std::string& name, const Request& request) {
    const auto found = _state.objects[kind].find(name);
    if (found == _state.objects[kind].end()) {
        answer(socket, kNotFound, {});
        return;
    }
    const QJsonValue expected = request.body["meta"].toObject()["revision"];
    if (!expected.isUndefined() &&
        static_cast<std::uint64_t>(expected.toInteger()) != found->second.version) {
        answer(socket, kConflict, json(proxy, kind, name, found->second));
        return;
    }
    store(kind, name, request.body["spec"].toObject());
    answerWrite(socket, kOk, json(proxy, kind, name, _state.objects[kind][name]));
}

void StandInStore::put(const std::string& kind, const std::string& name, const QJsonObject& spec) {
    store(kind, name, spec);
}

void StandInStore::store(const std::string& kind, const std::string& name,
                         const QJsonObject& spec) {
    Object& object = _state.objects[kind][name];
    if (object.version != 0 && object.spec == spec) {
        return;
    }
    object = {spec, ++_state.version};
    _events.push_back({kind, name, object, false});
    keepCopy();
    serveWatches();
    if (_onChanged) {
        _onChanged(kind, spec);
    }
}

void StandInStore::keepCopy() {
    _copies[_queue.now()] = _state;
    while (_copies.size() > 1 && std::next(_copies.begin())->first < _queue.now() - kOldestCopy) {
        _copies.erase(_copies.begin());
    }
}

void StandInStore::returnOlder(Duration age) {
    const auto later = _copies.upper_bound(_queue.now() - age);
    if (later != _copies.begin()) {
        _state = std::prev(later)->second;
    }
    _copies.erase(later, _copies.end());
    std::erase_if(_events,
                  [this](const Event& event) { return event.object.version > _state.version; });
    _watches.clear();
    for (const auto& [socket, buffer] : _buffers) {
        _mute.insert(socket);
    }
    ++_era;
}

void StandInStore::remove(const std::string& kind, const std::string& name) {
    const auto found = _state.objects[kind].find(name);
    if (found == _state.objects[kind].end()) {
        return;
    }
    Object object = found->second;
    object.version = ++_state.version;
    _state.objects[kind].erase(found);
    _events.push_back({kind, name, object, true});
    keepCopy();
    serveWatches();
}

bool StandInStore::contains(const std::string& kind, const std::string& name) const {
    const auto found = _state.objects.find(kind);
    return found != _state.objects.end() && found->second.contains(name);
}

void StandInStore::startWatch(std::size_t proxy, QTcpSocket* socket, const std::string& kind,
                              const Request& request) {
    if (_faults.forgotten) {
        _oldest = _state.version;
        _faults.forgotten = false;
    }
    Watch watch{socket, proxy, kind, numberOf(request.query.at("watch")), _queue.now()};
    if (watch.from < _oldest || watch.from > _state.version) {
        answer(socket, kGone, {});
        return;
    }
    const auto wait = std::chrono::milliseconds(numberOf(request.query.at("wait_ms")));
    watch.until += wait;
    if (answerWatch(watch)) {
        return;
    }
    _watches.push_back(watch);
    QTimer::singleShot(wait, this, [this] { serveWatches(); });
}

/** @return whether the watch is over. */
bool StandInStore::answerWatch(const Watch& watch) {
    QJsonArray events;
    for (const Event& event : _events) {
        if (event.kind == watch.kind && event.object.version > watch.from) {
            events.append(
                QJsonObject{{"object", json(watch.proxy, event.kind, event.name, event.object)},
                            {"expired", event.removed}});
        }
    }
    if (events.isEmpty() && _queue.now() < watch.until) {
        return false;
    }
    answer(watch.socket, kOk, {{"events", events}, {"at", static_cast<qint64>(_state.version)}});
    return true;
}

void StandInStore::serveWatches() {
    if (!_faults.silent && !_faults.away) {
        std::erase_if(_watches, [this](const Watch& watch) { return answerWatch(watch); });
    }
}

void StandInStore::answer(QTcpSocket* socket, int status, const QJsonObject& body,
                          AfterAnswer after) {
    if (socket == nullptr || _mute.contains(socket) ||
        socket->state() != QAbstractSocket::ConnectedState) {
        return;
    }
    const QByteArray connection = after == AfterAnswer::Close ? "Connection: close\r\n" : "";
    const QByteArray text = QJsonDocument(body).toJson(QJsonDocument::Compact);
    socket->write("HTTP/1.1 " + QByteArray::number(status) + " .\r\n" + connection +
                  "Content-Type: application/json\r\nStore-Era: " +
                  QByteArray::number(static_cast<qulonglong>(_era)) +
                  "\r\nContent-Length: " + QByteArray::number(text.size()) + "\r\n\r\n" + text);
}

void StandInStore::answerWrite(QTcpSocket* socket, int status, const QJsonObject& body,
                               AfterAnswer after) {
    if (socket != nullptr && _random.fraction() < _faults.answersLost) {
        _mute.insert(socket);
    }
    answer(socket, status, body, after);
}

}  // namespace coralhoist::soak
