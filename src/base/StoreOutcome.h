/** How a call of the platform's store ended. */
#pragma once

namespace coralhoist {

enum class StoreOutcome {
    Done,
    Conflict,    /**< The record has another version. */
    Unavailable, /**< Nothing was done. */
    Unknown,     /**< It may have been done, or may be done later. */
};

}  // namespace coralhoist
