#include "lab/simulation/Simulation.h"

#include <utility>

namespace coralhoist::simulation {

HostId Simulation::addHost(RegionName region, ZoneName zone) {
    const auto host = static_cast<HostId>(_hosts.size());
    Host entry;
    entry.place = Place{std::move(region), std::move(zone), host};
    _hosts.push_back(std::move(entry));
    return host;
}

void Simulation::start(HostId host, SimulatedProcess& process) {
    Host& entry = _hosts[host];
    entry.process = &process;
    entry.paused = false;
    entry.waiting.clear();
    ++entry.armedTick;
    entry.armedTime = TimePoint::max();
    rearm(host);
}

void Simulation::stop(HostId host) {
    Host& entry = _hosts[host];
    entry.process = nullptr;
    entry.waiting.clear();
    ++entry.armedTick;
}

void Simulation::pause(HostId host) {
    _hosts[host].paused = true;
}

void Simulation::resume(HostId host) {
    Host& entry = _hosts[host];
    entry.paused = false;
    std::vector<Arrival> waiting = std::move(entry.waiting);
    entry.waiting.clear();
    for (const Arrival& arrival : waiting) {
        deliver(arrival.from, host, arrival.bytes);
    }
    ++entry.armedTick;
    entry.armedTime = TimePoint::max();
    rearm(host);
}

void Simulation::sendDatagram(HostId from, HostId to, std::string bytes) {
    const auto transit = _links.transit(_hosts[from].place, _hosts[to].place, _random);
    send(from, to, std::move(bytes), transit);
}

void Simulation::sendStream(HostId from, HostId to, std::string bytes) {
    const auto transit = _links.streamTransit(_hosts[from].place, _hosts[to].place, _random);
    send(from, to, std::move(bytes), transit);
}

void Simulation::send(HostId from, HostId to, std::string bytes, std::optional<Duration> transit) {
    TrafficCounters& traffic = _hosts[from].traffic;
    ++traffic.messagesSent;
    traffic.bytesSent += bytes.size() + kDatagramOverhead;
    if (!transit) {
        return;
    }
    _queue.after(*transit, [this, from, to, held = std::move(bytes)] { deliver(from, to, held); });
}

void Simulation::deliver(HostId from, HostId to, const std::string& bytes) {
    Host& host = _hosts[to];
    if (host.process == nullptr) {
        return;
    }
    if (host.paused) {
        host.waiting.push_back(Arrival{from, bytes});
        return;
    }
    ++host.traffic.messagesReceived;
    host.traffic.bytesReceived += bytes.size() + kDatagramOverhead;
    host.process->onBytes(from, bytes, now());
    rearm(to);
}

void Simulation::tick(HostId host, std::uint64_t number) {
    Host& entry = _hosts[host];
    if (entry.process == nullptr || entry.paused || entry.armedTick != number) {
        return;
    }
    entry.armedTime = TimePoint::max();
    entry.process->onTick(now());
    rearm(host);
}

void Simulation::rearm(HostId host) {
    Host& entry = _hosts[host];
    if (entry.process == nullptr || entry.paused) {
        return;
    }
    const TimePoint next = entry.process->nextTick();
    if (next >= entry.armedTime) {
        return;
    }
    entry.armedTime = next;
    const std::uint64_t number = ++entry.armedTick;
    _queue.at(next, [this, host, number] { tick(host, number); });
}

void Simulation::resetTraffic() {
    for (Host& host : _hosts) {
        host.traffic = TrafficCounters{};
    }
}

}  // namespace coralhoist::simulation
