#include "failover/PromotionRecord.h"

#include <tuple>

namespace coralhoist::failover {

bool isLater(const PromotionRecord& known, const PromotionRecord& shown) {
    if (known.writtenIn < shown.writtenIn) {
        // The node that claimed in the later era may not have known of the announcement, nor of the
        // base that the announcement's commits require. A closed record was confirmed without the
        // announcement.
        return known.term > shown.term && shown.phase != pooling::PromotionPhase::None;
    }
    return std::tie(known.writtenIn, known.term, known.renewals) >
           std::tie(shown.writtenIn, shown.term, shown.renewals);
}

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
