#include "lab/experiment/Scenario.h"

namespace coralhoist::experiment {
namespace {

double seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::optional<std::size_t> Scenario::ownReadClass() const {
    for (std::size_t index = 0; index < load.size(); ++index) {
        if (load[index].kind == LoadKind::OwnRead) {
            return index;
        }
    }
    return std::nullopt;
}

double Scenario::primaryLoadIfAlone() const {
    double busySlots = 0;
    double readBacksPerSecond = 0;
    for (const LoadClass& entry : load) {
        busySlots += entry.ratePerSecond * seconds(entry.service);
        readBacksPerSecond += entry.ratePerSecond * entry.readBackShare;
    }
    if (const auto own = ownReadClass()) {
        busySlots += readBacksPerSecond * seconds(load[*own].service);
    }
    return busySlots / static_cast<double>(groups.count * groups.slots);
}

const char* faultName(FaultKind kind) {
    switch (kind) {
        case FaultKind::PrimaryCutOff:
            return "primary_cut_off";
        case FaultKind::PrimaryCrash:
            return "primary_crash";
        case FaultKind::ReplicaFarBehind:
            return "replica_far_behind";
        case FaultKind::OwnerKilled:
            return "owner_killed";
        case FaultKind::ConnectionStorm:
            return "connection_storm";
    }
    return "";
}

}  // namespace coralhoist::experiment
