#include "lab/platform/PlatformServer.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <utility>

#include "base/Error.h"
#include "lab/platform/InitialContent.h"
#include "link/platform/ObjectCodec.h"

namespace coralhoist::lab {
namespace {

using Method = QHttpServerRequest::Method;

constexpr const char* kFaultPath = "/fault";
constexpr const char* kStatisticsPath = "/stats";

}  // namespace

struct PlatformServer::PendingRequest {
    ApiRequest request;
    QHttpServerResponder responder;
    /** The client may be gone when the request's turn comes. */
    QPointer<QTcpSocket> socket;

    void answer(const ApiResponse& response) {
        if (socket) {
            const QByteArray bytes = QJsonDocument(response.body).toJson(QJsonDocument::Compact);
            responder.write(bytes, "application/json", response.status);
        }
    }
};

struct PlatformServer::Watcher {
    WatchStream stream;
    std::uint64_t servedVersion = 0;
};

PlatformServer::PlatformServer(PlatformServerOptions options)
    : _options(options), _faults(options.baseFaults) {
    connect(&_bookmarkTimer, &QTimer::timeout, this, &PlatformServer::onBookmarkTick);
    _bookmarkTimer.start(_options.bookmarkInterval);
    _outageTimer.setSingleShot(true);
    connect(&_outageTimer, &QTimer::timeout, this, &PlatformServer::healOutage);
}

PlatformServer::~PlatformServer() = default;

StatusWith<std::uint16_t> PlatformServer::start(const QString& host, std::uint16_t port) {
    const QHostAddress address(host);
    if (address.isNull()) {
        return Status(ErrorCode::InvalidArgument, host.toStdString() + " is no IP number");
    }
    const std::uint16_t chosen = listen(address, port);
    if (chosen == 0) {
        return Status(ErrorCode::Unavailable,
                      "can't listen on " + host.toStdString() + " port " + std::to_string(port));
    }
    return chosen;
}

Status PlatformServer::loadInitial(const QJsonObject& content) {
    const auto objects = decodeInitialContent(content);
    if (!objects.isOk()) {
        return objects.status();
    }
    for (const InitialObject& object : objects.value()) {
        const auto created = _store.create(object.collection, object.object);
        if (!created.isOk()) {
            return created.status();
        }
        _store.publishNext(object.collection);
    }
    return Status::ok();
}

void PlatformServer::putMachine(const platform::MachineRecord& machine) {
    const QString collection = platform::kMachinesCollection;
    const QString name = QString::fromStdString(machine.name);
    QJsonObject object = platform::encodeMachine(machine);
    const auto current = _store.get(collection, name);
    if (current.isOk()) {
        object["metadata"] = current.value()["metadata"];
    }
    const auto stored = current.isOk() ? _store.replace(collection, name, object)
                                       : _store.create(collection, object);
    Q_ASSERT(stored.isOk());
    publish(collection);
}

void PlatformServer::applyFaults(const FaultCommand& command) {
    const OutageKind before = _faults.outage;
    _faults = command.faults;
    if (command.compact) {
        _store.compact();
    }
    if (command.compact || command.cutWatches || _faults.outage == OutageKind::Refuse) {
        cutWatches();
    }
    _outageTimer.stop();
    if (_faults.outage != OutageKind::None && _faults.outageDuration.count() > 0) {
        _outageTimer.start(_faults.outageDuration);
    }
    if (before != OutageKind::None && _faults.outage == OutageKind::None) {
        healOutage();
    }
    onBookmarkTick();
}

PlatformStatistics PlatformServer::statistics() const {
    PlatformStatistics result = _statistics;
    result.openWatches = static_cast<std::uint64_t>(
        std::count_if(_watchers.begin(), _watchers.end(),
                      [](const auto& watcher) { return watcher->stream.isOpen(); }));
    return result;
}

bool PlatformServer::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) {
    if (handleControl(request, socket)) {
        return true;
    }
    auto pending = std::make_shared<PendingRequest>(PendingRequest{
        parseApiRequest(request), makeResponder(request, socket), QPointer<QTcpSocket>(socket)});
    if (_faults.delay.count() > 0) {
        QTimer::singleShot(_faults.delay, this, [this, pending] { admit(pending); });
    } else {
        admit(pending);
    }
    return true;
}

void PlatformServer::missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) {
    makeResponder(request, socket).write(QHttpServerResponder::StatusCode::NotFound);
}

bool PlatformServer::handleControl(const QHttpServerRequest& request, QTcpSocket* socket) {
    const QString path = request.url().path();
    if (path == kStatisticsPath && request.method() == Method::Get) {
        makeResponder(request, socket).write(QJsonDocument(statisticsObject()));
        return true;
    }
    if (path == kFaultPath && request.method() == Method::Post) {
        handleFaultRequest(request, socket);
        return true;
    }
    return false;
}

QJsonObject PlatformServer::statisticsObject() const {
    const PlatformStatistics current = statistics();
    return QJsonObject{
        {"lists", static_cast<qint64>(current.lists)},
        {"reads", static_cast<qint64>(current.reads)},
        {"watches", static_cast<qint64>(current.watches)},
        {"edits", static_cast<qint64>(current.edits)},
        {"openWatches", static_cast<qint64>(current.openWatches)},
    };
}

void PlatformServer::handleFaultRequest(const QHttpServerRequest& request, QTcpSocket* socket) {
    const QJsonDocument body = QJsonDocument::fromJson(request.body());
    const auto command = parseFaultCommand(body.object(), _faults, _options.baseFaults);
    QHttpServerResponder responder = makeResponder(request, socket);
    if (!body.isObject() || !command.isOk()) {
        const Status failure = command.isOk()
                                   ? Status(ErrorCode::InvalidArgument, "the body is no object")
                                   : command.status();
        responder.write(QJsonDocument(statusObject(failure)), failureResponse(failure).status);
        return;
    }
    applyFaults(command.value());
    responder.write(QJsonDocument(QJsonObject{{"status", "Success"}}));
}

void PlatformServer::admit(const std::shared_ptr<PendingRequest>& request) {
    switch (_faults.outage) {
        case OutageKind::None:
            serve(request);
            return;
        case OutageKind::Refuse:
            request->answer(failureResponse(Status(ErrorCode::Unavailable, "platform outage")));
            return;
        case OutageKind::Hang:
            // Served when the outage ends, as a paused process would: edits take effect late.
            _hungRequests.push_back(request);
            return;
    }
}

void PlatformServer::serve(const std::shared_ptr<PendingRequest>& request) {
    if (request->request.isEdit()) {
        serveEdit(request);
        return;
    }
    if (request->request.watch && !request->request.collection.isEmpty()) {
        openWatch(request);
        return;
    }
    ++(request->request.name.isEmpty() ? _statistics.lists : _statistics.reads);
    request->answer(serveApiRequest(request->request, _store));
}

void PlatformServer::serveEdit(const std::shared_ptr<PendingRequest>& request) {
    ++_statistics.edits;
    const ApiResponse response = serveApiRequest(request->request, _store);
    if (_faults.answersToLose > 0) {
        --_faults.answersToLose;
        if (request->socket) {
            request->socket->abort();
        }
    } else {
        request->answer(response);
    }
    publish(request->request.collection);
}

void PlatformServer::openWatch(const std::shared_ptr<PendingRequest>& request) {
    ++_statistics.watches;
    if (!request->socket) {
        return;
    }
    const QString& collection = request->request.collection;
    const std::uint64_t fromVersion = request->request.fromVersion;
    const auto changes = _store.changesAfter(collection, fromVersion);
    if (fromVersion != 0 && !changes.isOk()) {
        request->answer(failureResponse(changes.status()));
        return;
    }
    auto watcher = std::make_unique<Watcher>(
        Watcher{WatchStream(std::move(request->responder), collection), fromVersion});
    if (fromVersion == 0) {
        const CollectionState state = _store.list(collection);
        for (const QJsonObject& object : state.objects) {
            watcher->stream.sendChange({ChangeKind::Added, 0, collection, {}, object});
        }
        watcher->servedVersion = state.version;
    }
    _watchers.push_back(std::move(watcher));
    serveWatch(*_watchers.back());
}

void PlatformServer::publish(const QString& collection) {
    const bool lags = collection == platform::kMachinesCollection && _faults.machineLag.count() > 0;
    if (lags) {
        QTimer::singleShot(_faults.machineLag, this, [this, collection] {
            _store.publishNext(collection);
            serveWatches(collection);
        });
        return;
    }
    while (_store.publishNext(collection)) {
    }
    serveWatches(collection);
}

void PlatformServer::serveWatches(const QString& collection) {
    for (const auto& watcher : _watchers) {
        if (watcher->stream.collection() == collection) {
            serveWatch(*watcher);
        }
    }
}

void PlatformServer::serveWatch(Watcher& watcher) {
    if (watchesAreSilent()) {
        return;
    }
    const auto changes = _store.changesAfter(watcher.stream.collection(), watcher.servedVersion);
    if (!changes.isOk()) {
        watcher.stream.sendError(statusObject(changes.status()));
        watcher.stream.finish();
        return;
    }
    for (const ObjectChange& change : changes.value()) {
        watcher.stream.sendChange(change);
        watcher.servedVersion = change.version;
    }
}

void PlatformServer::onBookmarkTick() {
    std::erase_if(_watchers, [](const auto& watcher) { return !watcher->stream.isOpen(); });
    if (watchesAreSilent()) {
        return;
    }
    for (const auto& watcher : _watchers) {
        serveWatch(*watcher);
        if (!watcher->stream.isOpen()) {
            continue;
        }
        const std::uint64_t published = _store.publishedVersion(watcher->stream.collection());
        watcher->servedVersion = std::max(watcher->servedVersion, published);
        watcher->stream.sendBookmark(watcher->servedVersion);
    }
}

void PlatformServer::cutWatches() {
    for (const auto& watcher : _watchers) {
        watcher->stream.cut();
    }
    _watchers.clear();
}

void PlatformServer::healOutage() {
    _faults.outage = OutageKind::None;
    const auto waiting = std::exchange(_hungRequests, {});
    for (const auto& request : waiting) {
        serve(request);
    }
}

bool PlatformServer::watchesAreSilent() const {
    return _faults.silentWatches || _faults.outage == OutageKind::Hang;
}

}  // namespace coralhoist::lab
