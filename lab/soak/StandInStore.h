/** Stand-in for the users' store of objects and for the promotion call, over HTTP. */
#pragma once

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"

namespace coralhoist::soak {

/** Faults of the store. */
struct StoreFaults {
    /** Every call is answered with 503. */
    bool refuses = false;
    /** Calls are accepted and never answered. */
    bool silent = false;
    /** Share of writes that are done and whose answer is lost. */
    double answersLost = 0;
    /** History is forgotten up to now; watches from before are answered with 410. */
    bool forgotten = false;
};

/**
 * Objects by kind and name with one counter of versions, lists, watches that wait, conditional
 * writes. Each proxy has a port of its own, so that objects can be shown to it in its own way.
 */
class StandInStore final : public QObject {
public:
    /** Shows an object to a proxy, e.g. with the addresses of the relays that lead there. */
    using View = std::function<QJsonObject(std::size_t proxy, const std::string& kind,
                                           const std::string& name, QJsonObject spec)>;
    /** Carries a promotion out. @return the status of the answer. */
    using Promote = std::function<int(const std::string& group, const std::string& server,
                                      const std::string& holder, std::uint64_t fence)>;

    /** References outlive the store. */
    StandInStore(simulation::EventQueue& queue, RandomSource& random, View view, Promote promote);

    ~StandInStore() override;

    /** Opens the port of one more proxy. */
    std::uint16_t addProxy();

    /** Writes an object on the operator's or a server's behalf. */
    void put(const std::string& kind, const std::string& name, const QJsonObject& spec);
    void remove(const std::string& kind, const std::string& name);

    StoreFaults& faults() { return _faults; }

private:
    struct Object {
        QJsonObject spec;
        std::uint64_t version = 0;
    };
    struct Event {
        std::string kind;
        std::string name;
        Object object;
        bool removed = false;
    };
    /** A request whose head and body have come. */
    struct Request {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::map<std::string, std::string> headers;
        QJsonObject body;
    };
    /** A watch that waits for events. */
    struct Watch {
        QTcpSocket* socket = nullptr;
        std::size_t proxy = 0;
        std::string kind;
        std::uint64_t from = 0;
        TimePoint until{};
    };

    void accept(std::size_t proxy);
    void read(std::size_t proxy, QTcpSocket* socket);
    void handle(std::size_t proxy, QTcpSocket* socket, const Request& request);
    void handleObjects(std::size_t proxy, QTcpSocket* socket, const Request& request);
    void startWatch(std::size_t proxy, QTcpSocket* socket, const std::string& kind,
                    const Request& request);
    void list(std::size_t proxy, QTcpSocket* socket, const std::string& kind);
    void create(std::size_t proxy, QTcpSocket* socket, const std::string& kind,
                const Request& request);
    void replace(std::size_t proxy, QTcpSocket* socket, const std::string& kind,
                 const std::string& name, const Request& request);
    void handlePromotion(QTcpSocket* socket, const Request& request);
    bool answerWatch(const Watch& watch);
    void serveWatches();
    QJsonObject json(std::size_t proxy, const std::string& kind, const std::string& name,
                     const Object& object) const;
    void answer(QTcpSocket* socket, int status, const QJsonObject& body);
    void answerWrite(QTcpSocket* socket, int status, const QJsonObject& body);
    void store(const std::string& kind, const std::string& name, const QJsonObject& spec);

    simulation::EventQueue& _queue;
    RandomSource& _random;
    View _view;
    Promote _promote;
    StoreFaults _faults;
    std::vector<std::unique_ptr<QTcpServer>> _servers;
    std::map<QTcpSocket*, QByteArray> _buffers;
    std::map<std::string, std::map<std::string, Object>> _objects;
    std::vector<Event> _events;
    std::vector<Watch> _watches;
    std::uint64_t _version = 1;
    std::uint64_t _oldest = 0;
};

}  // namespace coralhoist::soak
