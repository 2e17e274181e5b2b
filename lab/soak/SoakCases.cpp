#include "lab/soak/SoakCases.h"

#include <sstream>
#include <string>

namespace coralhoist::soak {

std::optional<std::vector<SoakCase>> readCases(std::istream& input) {
    std::vector<SoakCase> cases;
    std::string line;
    while (std::getline(input, line)) {
        std::istringstream fields(line.substr(0, line.find('#')));
        if ((fields >> std::ws).eof()) {
            continue;
        }
        SoakCase read;
        fields >> read.seed >> read.seconds >> read.proxies;
        const bool whole = !fields.fail() && (fields >> std::ws).eof();
        if (!whole || read.seconds == 0 || read.proxies == 0) {
            return std::nullopt;
        }
        cases.push_back(read);
    }
    return cases;
}

}  // namespace coralhoist::soak
