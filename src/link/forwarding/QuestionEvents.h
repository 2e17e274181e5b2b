/** Who takes other nodes' questions and their answers, and what they tell. */
#pragma once

#include "link/store/FeedMessages.h"
#include "pooling/LeadershipProof.h"
#include "pooling/LoadReport.h"
#include "tenancy/QuotaMessages.h"

namespace coralhoist::forwarding {

/** Each is null while nobody takes its questions. All outlive their use. */
struct QuestionEvents {
    pooling::ProofEvents* proofs = nullptr;
    store::FeedEvents* feed = nullptr;
    tenancy::QuotaEvents* quotas = nullptr;
    /** Not a question: nothing is answered. */
    pooling::LoadReportEvents* loads = nullptr;
};

}  // namespace coralhoist::forwarding
