#include "base/Error.h"

#include <string>

namespace coralhoist {
namespace {

class CoralhoistErrorCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "coralhoist"; }
    std::string message(int value) const override;
};

std::string CoralhoistErrorCategory::message(int value) const {
    switch (static_cast<ErrorCode>(value)) {
        case ErrorCode::InvalidArgument:
            return "invalid argument";
        case ErrorCode::NotFound:
            return "not found";
        case ErrorCode::AlreadyExists:
            return "already exists";
        case ErrorCode::VersionConflict:
            return "version conflict";
        case ErrorCode::VersionTooOld:
            return "version too old";
        case ErrorCode::Unavailable:
            return "unavailable";
        case ErrorCode::DeadlineExceeded:
            return "deadline exceeded";
        case ErrorCode::OutcomeUnknown:
            return "outcome unknown";
        case ErrorCode::Overloaded:
            return "overloaded";
        case ErrorCode::Unsupported:
            return "unsupported";
        case ErrorCode::ProtocolViolation:
            return "protocol violation";
        case ErrorCode::PermissionDenied:
            return "permission denied";
        case ErrorCode::Cancelled:
            return "cancelled";
        case ErrorCode::NotReady:
            return "not ready";
    }
    return "unknown error";
}

}  // namespace

const std::error_category& errorCategory() noexcept {
    static const CoralhoistErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorCode code) noexcept {
    return {static_cast<int>(code), errorCategory()};
}

}  // namespace coralhoist
