#include "lab/contract/SimulatedConnector.h"

#include <algorithm>
#include <utility>

namespace coralhoist::simulation {
namespace {

/** After which a cut shows as a broken connection. */
constexpr Duration kCutDetection = std::chrono::milliseconds(300);

}  // namespace

SimulatedConnector::SimulatedConnector(SimulatedGroup& group, EventQueue& queue,
                                       RandomSource& random)
    : _group(group), _queue(queue), _random(random) {}

void SimulatedConnector::attach(contract::BackendEvents& events, std::function<void()> afterEvent) {
    _events = &events;
    _afterEvent = std::move(afterEvent);
}

Duration SimulatedConnector::delay(const Link& link) {
    return _group.delayTo(link.server, _zone);
}

void SimulatedConnector::up(Link& link, std::function<void()> action) {
    link.lastUp = std::max(link.lastUp, _queue.now() + delay(link));
    _queue.at(link.lastUp, [this, &link, held = std::move(action)] {
        if (_cut.contains(link.server)) {
            _queue.after(kCutDetection, [this, &link] {
                _group.server(link.server).closeSession(link.session);
                lose(link, link.running);
            });
            return;
        }
        if (_group.server(link.server).isUp()) {
            _group.server(link.server).whenRunning(held);
        }
    });
}

void SimulatedConnector::down(Link& link, std::function<void()> action) {
    link.lastDown = std::max(link.lastDown, _queue.now() + delay(link));
    _queue.at(link.lastDown, [this, &link, held = std::move(action)] {
        if (_cut.contains(link.server)) {
            _queue.after(kCutDetection, [this, &link] {
                _group.server(link.server).closeSession(link.session);
                lose(link, link.running);
            });
            return;
        }
        deliver([&link, held] {
            if (!link.gone) {
                held();
            }
        });
    });
}

void SimulatedConnector::deliver(const std::function<void()>& action) {
    if (_dead) {
        return;
    }
    if (_paused) {
        _inbox.push_back(action);
        return;
    }
    action();
    _afterEvent();
}

void SimulatedConnector::resume() {
    _paused = false;
    std::vector<std::function<void()>> inbox = std::exchange(_inbox, {});
    for (const auto& action : inbox) {
        deliver(action);
    }
}

void SimulatedConnector::lose(Link& link, bool sent) {
    deliver([this, &link, sent] {
        if (!link.gone) {
            link.gone = true;
            link.opened ? _events->onLost(link.id, sent, "connection reset")
                        : _events->onOpenFailed(link.id, "", "connection reset");
        }
    });
}

ConnectionId SimulatedConnector::open(const ServerName& server) {
    const ConnectionId id(++_lastId);
    auto link = std::make_unique<Link>();
    link->owner = this;
    link->id = id;
    link->server = _group.indexOf(server);
    Link& opened = *link;
    _links.emplace(id, std::move(link));
    if (!_group.server(opened.server).isUp()) {
        _queue.after(2 * delay(opened), [this, &opened] {
            deliver([this, &opened] {
                if (!std::exchange(opened.gone, true)) {
                    _events->onOpenFailed(opened.id, "", "connection refused");
                }
            });
        });
        return id;
    }
    if (!_cut.contains(opened.server)) {
        up(opened, [this, &opened] { accept(opened); });
    }
    return id;
}

void SimulatedConnector::accept(Link& link) {
    _queue.after(_group.model().connectCost, [this, &link] {
        SimulatedServer& server = _group.server(link.server);
        if (link.gone || _dead) {
            return;
        }
        if (!server.isUp() || server.sessionCount() >= _group.model().connectionsPerServer) {
            down(link, [this, &link] {
                link.gone = true;
                _events->onOpenFailed(link.id, "53300", "too many connections");
            });
            return;
        }
        link.session = server.openSession(link);
        down(link, [this, &link] {
            link.opened = true;
            _events->onOpened(link.id);
        });
    });
}

void SimulatedConnector::run(ConnectionId connection, contract::BackendProgram program) {
    Link& link = *_links.at(connection);
    link.running = true;
    link.inFlight = true;
    up(link, [this, &link, held = std::move(program)] {
        link.inFlight = false;
        if (!link.dropsProgram) {
            _group.server(link.server).run(link.session, held);
        }
    });
}

void SimulatedConnector::cancel(ConnectionId connection) {
    Link& link = *_links.at(connection);
    _queue.after(delay(link), [this, &link] { _group.server(link.server).cancel(link.session); });
}

void SimulatedConnector::close(ConnectionId connection) {
    Link& link = *_links.at(connection);
    link.gone = true;
    up(link, [this, &link] { _group.server(link.server).closeSession(link.session); });
}

void SimulatedConnector::die() {
    for (auto& [id, link] : _links) {
        if (!link->gone) {
            close(id);
        }
    }
    _dead = true;
}

void SimulatedConnector::breakConnections(std::uint32_t percent) {
    std::vector<Link*> broken;
    for (auto& [id, link] : _links) {
        if (!link->gone && link->session != 0 && _random.below(100) < percent) {
            broken.push_back(link.get());
        }
    }
    for (Link* link : broken) {
        // The server may still execute what has reached it, and notices the loss later.
        link->dropsProgram = link->inFlight && _random.below(2) == 0;
        const bool sent = link->running && !link->dropsProgram;
        _queue.after(std::chrono::microseconds(_random.below(5000)),
                     [this, link] { _group.server(link->server).closeSession(link->session); });
        lose(*link, sent);
    }
}

void SimulatedConnector::Link::onBytes(std::size_t commandIndex, std::string bytes) {
    owner->down(*this, [this, commandIndex, held = std::move(bytes)] {
        owner->_events->onForwardBytes(id, commandIndex, held);
    });
}

void SimulatedConnector::Link::onCommandEnded(std::size_t commandIndex,
                                              contract::CommandOutcome outcome) {
    owner->down(*this, [this, commandIndex, held = std::move(outcome)] {
        owner->_events->onCommandEnded(id, commandIndex, held);
    });
}

void SimulatedConnector::Link::onProgramEnded(contract::ConnectionState state) {
    owner->down(*this, [this, state] {
        running = false;
        owner->_events->onProgramEnded(id, state);
    });
}

void SimulatedConnector::Link::onClosed() {
    owner->down(*this, [this] { owner->lose(*this, running); });
}

}  // namespace coralhoist::simulation
