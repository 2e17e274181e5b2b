/** Exit codes of coralhoistctl. */
#pragma once

namespace coralhoist::ctl {

/** What scripts may rely on; documented in `coralhoistctl --help`. */
enum class ExitCode {
    Ok = 0,
    Failed = 1,               /**< The proxy refused the request; nothing was changed. */
    Usage = 2,                /**< The command line is wrong; nothing was sent. */
    Conflict = 3,             /**< Someone else changed the node first; nothing was changed. */
    Unreachable = 4,          /**< The proxy does not answer; nothing was changed. */
    OutcomeUnknown = 5,       /**< The change may or may not have taken effect. */
    NotInForceEverywhere = 6, /**< The change is accepted; some proxies have not confirmed it. */
};

}  // namespace coralhoist::ctl
