/** The line by which a started daemon tells its ports to whoever started it. */
#pragma once

#include <cstdint>
#include <string>

namespace coralhoist::program {

/** Ports on which a daemon listens. */
struct ListeningPorts {
    std::uint16_t caller = 0;
    std::uint16_t peer = 0;
    std::uint16_t operators = 0;
    std::uint16_t metrics = 0;
};

/** @return one JSON object without a line end. */
std::string listeningReport(const std::string& name, const std::string& address,
                            const ListeningPorts& ports);

}  // namespace coralhoist::program
