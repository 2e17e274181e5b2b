#include "cluster/RecordCalls.h"

namespace coralhoist::cluster {
namespace {

using socket::HttpAnswer;

constexpr int kSuccess = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

}  // namespace

StoreOutcome failureOf(const HttpAnswer& answer) {
    if (answer.outcome == HttpAnswer::Outcome::Lost) {
        return StoreOutcome::Unknown;
    }
    if (answer.outcome == HttpAnswer::Outcome::NotSent) {
        return StoreOutcome::Unavailable;
    }
    const bool conflict = answer.status == kConflict || answer.status == kNotFound;
    return conflict ? StoreOutcome::Conflict : StoreOutcome::Unavailable;
}

bool isSuccess(const HttpAnswer& answer) {
    return answer.outcome == HttpAnswer::Outcome::Answered &&
           (answer.status == kSuccess || answer.status == kCreated);
}

bool isMissing(const HttpAnswer& answer) {
    return answer.outcome == HttpAnswer::Outcome::Answered && answer.status == kNotFound;
}

}  // namespace coralhoist::cluster
