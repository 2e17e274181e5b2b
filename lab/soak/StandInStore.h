/** Stand-in for the users' store of objects and for the promotion call, over HTTP. */
#pragma once

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/SystemTime.h"
#include "lab/simulation/EventQueue.h"

namespace coralhoist::soak {

/** Faults of the store. */
struct StoreFaults {
    /** Every call is answered with 503. */
    bool refuses = false;
    /** Calls are accepted, not carried out and never answered. */
    bool silent = false;
    /** As silent: the store is about to return from an older copy. */
    bool away = false;
    /** Share of writes that are done and whose answer is lost. */
    double answersLost = 0;
    /** Share of writes that are carried out late, if their condition still holds, unanswered. */
    double writesLate = 0;
    /** Longest time until such a write is carried out. */
    std::chrono::milliseconds longestWriteDelay{3000};
    /** History is forgotten up to now; watches from before are answered with 410. */
    bool forgotten = false;
    /** Promotions are carried out after this time. */
    std::chrono::milliseconds promotionDelay{0};
    /** Promotions are carried out and never answered. */
    bool promotionAnswersLost = false;

    /** @return whether nobody is answered, the writers of settings and servers included. */
    bool isDown() const { return refuses || silent || away; }
};

/** A call that asks for a promotion. */
struct PromotionCall {
    std::string group;
    std::string server;
    std::string holder;
    std::uint64_t fence = 0;
};

/** What becomes of promotion calls. */
struct PromotionHandlers {
    /** A call has arrived; it is carried out later. */
    std::function<void(const PromotionCall&)> arrived;
    /** Carries a call out. @return the status of the answer. */
    std::function<int(const PromotionCall&)> carryOut;
};

/**
 * Objects by kind and name with one counter of versions, lists, watches that wait, conditional
 * writes. A write that changes nothing raises no version and makes no event. A connection that
 * has lost an answer says nothing more. Each proxy has a port of its own, so that objects can be
 * shown to it in its own way. Each answer shows the era, which rises when the store returns from an
 * older copy.
 */
class StandInStore final : public QObject {
public:
    /** Shows an object to a proxy, e.g. with the addresses of the relays that lead there. */
    using View = std::function<QJsonObject(std::size_t proxy, const std::string& kind,
                                           const std::string& name, QJsonObject spec)>;

    /** References outlive the store. */
    StandInStore(simulation::EventQueue& queue, RandomSource& random, View view,
                 PromotionHandlers promotions);

    ~StandInStore() override;

    /** Opens the port of one more proxy. */
    std::uint16_t addProxy();

    /** Writes an object on the operator's or a server's behalf. */
    void put(const std::string& kind, const std::string& name, const QJsonObject& spec);
    void remove(const std::string& kind, const std::string& name);
    bool contains(const std::string& kind, const std::string& name) const;

    /**
     * The store comes back from a copy of that age: later changes are gone, their versions are
     * given out again, and connections of before say nothing more.
     */
    void returnOlder(Duration age);

    StoreFaults& faults() { return _faults; }

    /** From now on tells of each object that was changed. */
    void setOnChanged(
        std::function<void(const std::string& kind, const QJsonObject& spec)> changed) {
        _onChanged = std::move(changed);
    }

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
    void receive(std::size_t proxy, QTcpSocket* socket, const Request& request);
    void handle(std::size_t proxy, QTcpSocket* socket, const Request& request);
    void handleLate(std::size_t proxy, QTcpSocket* socket, const Request& request);
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
    /** Whether the caller may send further requests on the connection. */
    enum class AfterAnswer { Keep, Close };

    void answer(QTcpSocket* socket, int status, const QJsonObject& body,
                AfterAnswer after = AfterAnswer::Keep);
    void answerWrite(QTcpSocket* socket, int status, const QJsonObject& body,
                     AfterAnswer after = AfterAnswer::Keep);
    void store(const std::string& kind, const std::string& name, const QJsonObject& spec);
    void keepCopy();

    /** All that a copy of the store holds. */
    struct State {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::uint64_t version = 1;
    };

    simulation::EventQueue& _queue;
    RandomSource& _random;
    View _view;
    PromotionHandlers _promotions;
    StoreFaults _faults;
    std::function<void(const std::string& kind, const QJsonObject& spec)> _onChanged;
    std::vector<std::unique_ptr<QTcpServer>> _servers;
    std::map<QTcpSocket*, QByteArray> _buffers;
    /** Connections that have lost an answer. */
    std::set<QTcpSocket*> _mute;
    State _state;
    /** The state after each change, by its time, for as long as a copy may be old. */
    std::map<TimePoint, State> _copies;
    std::uint64_t _era = 1;
    std::vector<Event> _events;
    std::vector<Watch> _watches;
    std::uint64_t _oldest = 0;
};

}  // namespace coralhoist::soak
