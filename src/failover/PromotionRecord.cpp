#include "failover/PromotionRecord.h"

namespace coralhoist::failover {

const char* describe(PromoteOutcome outcome) {
    switch (outcome) {
        case PromoteOutcome::Accepted:
            return "accepted";
        case PromoteOutcome::NotRunning:
            return "not_running";
        case PromoteOutcome::Unavailable:
            return "unavailable";
        case PromoteOutcome::Unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace coralhoist::failover
