/** A machine as the platform lists it. */
#pragma once

#include <cstdint>
#include <string>

namespace coralhoist::platform {

/** What the platform intends with a machine. */
enum class MachinePhase {
    Live,    /**< In use. */
    Leaving, /**< Will be taken away; gets no new work. */
};

/** One entry of the machine list. The list lags, so an entry is a hint and never a proof. */
struct MachineRecord {
    /** Name of the machine; for a proxy the node's name. */
    std::string name;
    /** The platform's resourceVersion of this entry, or of its removal. */
    std::uint64_t version = 0;
    /** Whether the machine was removed from the list. */
    bool deleted = false;
    MachinePhase phase = MachinePhase::Live;
    /** IP number; may be empty when the platform does not give it. */
    std::string host;
    /** Port of the peer link; 0 when the platform does not give it. */
    std::uint16_t peerPort = 0;
    std::string zone;
    std::string region;

    bool operator==(const MachineRecord&) const = default;
};

}  // namespace coralhoist::platform
