#include "lab/estate/SimulatedPlatform.h"

#include <utility>

namespace coralhoist::estate {
namespace {

/** Time from a change until a watch delivers it. */
constexpr Duration kDeliveryDelay = std::chrono::milliseconds(80);
/** A paused process is tried again after this long. */
constexpr Duration kPausedRetry = std::chrono::milliseconds(100);

}  // namespace

std::uint64_t SimulatedPlatform::commit(const std::string& path, const std::string& document,
                                        bool deleted) {
    ++_version;
    _lastPath = path;
    if (_objects.find(path) == nullptr) {
        _paths.push_back(path);
    }
    _forgotten.erase(path);
    const settings::SettingsObjectRecord record{
        path, _version, deleted, deleted ? "" : document, "operation-" + std::to_string(_version),
        "lab"};
    _objects.put(_pool.intern(record));
    // A watch never misses a change and goes on: the stream breaks instead.
    std::erase_if(_watches, [this](const auto& item) { return !reaches(item.first); });
    for (const auto& [host, watch] : _watches) {
        enqueue(host,
                {_simulation.now() + kDeliveryDelay,
                 std::make_shared<const std::vector<settings::SettingsObjectRecord>>(1, record),
                 _version, Delivery::Kind::Change});
    }
    return _version;
}

void SimulatedPlatform::forgetTombstones() {
    for (const std::string& path : _paths) {
        if (_objects.find(path)->deleted) {
            _forgotten[path] = true;
        }
    }
    _list = nullptr;
}

void SimulatedPlatform::serve(simulation::HostId host, zone::SettingsDistributor& distributor) {
    const bool wanted = reaches(host) && distributor.shouldReadPlatform(_simulation.now());
    const auto found = _watches.find(host);
    if (!wanted) {
        if (found != _watches.end()) {
            _watches.erase(found);
        }
        return;
    }
    if (found == _watches.end()) {
        _watches[host].distributor = &distributor;
        enqueue(host, listFor(distributor));
        return;
    }
    enqueue(host, {_simulation.now() + kDeliveryDelay, {}, _version, Delivery::Kind::Progress});
}

SimulatedPlatform::Delivery SimulatedPlatform::listFor(
    const zone::SettingsDistributor& distributor) {
    Delivery list;
    list.due = _simulation.now() + kDeliveryDelay;
    list.version = _version;
    list.kind = Delivery::Kind::List;
    // A node that is complete up to a recent version goes on from there.
    if (distributor.completeUpTo() == _version && _version > 0) {
        list.kind = Delivery::Kind::Progress;
        return list;
    }
    ++_listsServed;
    list.records = currentList();
    return list;
}

std::shared_ptr<const std::vector<settings::SettingsObjectRecord>>
SimulatedPlatform::currentList() {
    if (_list != nullptr && _listVersion == _version) {
        return _list;
    }
    auto records = std::make_shared<std::vector<settings::SettingsObjectRecord>>();
    for (const std::string& path : _paths) {
        if (!_forgotten.contains(path)) {
            records->push_back(*_objects.find(path));
        }
    }
    _listVersion = _version;
    _list = std::move(records);
    return _list;
}

bool SimulatedPlatform::reaches(simulation::HostId host) const {
    const auto cutOff = _cutOff.find(host);
    return _reachable && (cutOff == _cutOff.end() || !cutOff->second);
}

void SimulatedPlatform::enqueue(simulation::HostId host, Delivery delivery) {
    const TimePoint due = delivery.due;
    _watches[host].deliveries.push_back(std::move(delivery));
    _simulation.queue().at(due, [this, host] { pump(host); });
}

void SimulatedPlatform::pump(simulation::HostId host) {
    const auto found = _watches.find(host);
    if (found == _watches.end()) {
        return;
    }
    if (_simulation.isPaused(host)) {
        _simulation.queue().after(kPausedRetry, [this, host] { pump(host); });
        return;
    }
    Watch& watch = found->second;
    while (!watch.deliveries.empty() && watch.deliveries.front().due <= _simulation.now()) {
        const Delivery delivery = std::move(watch.deliveries.front());
        watch.deliveries.pop_front();
        deliver(*watch.distributor, delivery);
    }
    _simulation.rearm(host);
}

void SimulatedPlatform::deliver(zone::SettingsDistributor& distributor,
                                const Delivery& delivery) const {
    const TimePoint now = _simulation.now();
    switch (delivery.kind) {
        case Delivery::Kind::List:
            distributor.onPlatformList(*delivery.records, delivery.version, now);
            return;
        case Delivery::Kind::Change:
            distributor.onPlatformChange(delivery.records->front(), now);
            return;
        case Delivery::Kind::Progress:
            distributor.onPlatformProgress(delivery.version, now);
            return;
    }
}

}  // namespace coralhoist::estate
