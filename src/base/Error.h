/** The project's error codes and their std::error_category. */
#pragma once

#include <system_error>

namespace coralhoist {

/** Reasons for which an operation of this project fails. */
enum class ErrorCode {
    InvalidArgument = 1, /**< The input is malformed or out of range. */
    NotFound,            /**< The named thing does not exist. */
    AlreadyExists,       /**< The named thing exists already. */
    VersionConflict,     /**< The edit was based on a version that is no longer current. */
    VersionTooOld,       /**< The watch's start version is no longer kept by the platform. */
    Unavailable,         /**< The other side can't be reached or answered that it can't serve. */
    DeadlineExceeded,    /**< No answer came in time; the effect is unknown. */
    OutcomeUnknown,      /**< The operation was sent and may or may not have taken effect. */
    Overloaded,          /**< A bounded queue or budget is full; nothing ran. */
    Unsupported,         /**< The feature is refused by design; nothing ran. */
    ProtocolViolation,   /**< The peer sent bytes that its protocol does not allow. */
    PermissionDenied,    /**< The caller is not allowed to do this. */
    Cancelled,           /**< The requester withdrew the operation. */
    NotReady,            /**< The process has no fresh enough view yet. */
};

/** @return the category of ErrorCode. */
const std::error_category& errorCategory() noexcept;

/** @return the std::error_code for a project error. The standard library requires this name. */
// NOLINTNEXTLINE(readability-identifier-naming)
std::error_code make_error_code(ErrorCode code) noexcept;

}  // namespace coralhoist

template <>
struct std::is_error_code_enum<coralhoist::ErrorCode> : std::true_type {};
