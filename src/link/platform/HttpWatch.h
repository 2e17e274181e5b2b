/** A watch over HTTP that reconnects and lists again by itself. */
#pragma once

#include <QJsonObject>
#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>

#include "link/platform/CollectionReader.h"
#include "link/platform/PlatformClientOptions.h"
#include "link/platform/WatchDecoder.h"
#include "link/platform/WatchState.h"

namespace coralhoist::platform {

/** Receives what a watch shows, not yet decoded. */
class ObjectWatchEvents {
public:
    virtual ~ObjectWatchEvents() = default;

    /** @return ok, or why the list can't be used; the collection is listed again then. */
    virtual Status onListed(const ObjectList& list) = 0;
    /** @return ok, or why the event can't be used; the collection is listed again then. */
    virtual Status onChanged(const WatchEvent& event) = 0;
    virtual void onProgress(std::uint64_t version) = 0;
    virtual void onInterrupted(const Status& reason) = 0;
};

/** Runs the requests that a WatchState asks for. */
class HttpWatch final : public QObject {
    Q_OBJECT

public:
    /**
     * @param requester outlives the watch.
     * @param collection name of the collection.
     * @param state where to begin.
     * @param events owned by the watch; may destroy the watch from within a call.
     */
    HttpWatch(HttpRequester& requester, const char* collection, WatchState state,
              const PlatformClientOptions& options, std::unique_ptr<ObjectWatchEvents> events);
    ~HttpWatch() override;

private:
    void schedule(const WatchAction& action);
    void run(const WatchAction& action);
    void list();
    void onListAnswer(const HttpAnswer& answer);
    void openStream(std::uint64_t fromVersion);
    void onStreamData();
    void onStreamFinished();
    void onStreamSilent();
    bool deliver(const WatchEvent& event);
    void interrupt(const Status& reason);
    void listAgain(const Status& reason);
    void closeStream();

    HttpRequester& _requester;
    const char* _collection;
    WatchState _state;
    PlatformClientOptions _options;
    std::unique_ptr<ObjectWatchEvents> _events;
    WatchDecoder _decoder;
    QNetworkReply* _stream = nullptr;
    QTimer _delayTimer;
    QTimer _silenceTimer;
    WatchAction _nextAction;
};

}  // namespace coralhoist::platform
