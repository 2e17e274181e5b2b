/** Session token and request key in a statement's trailing comment, in the sqlcommenter form. */
#pragma once

#include <optional>
#include <string>

namespace coralhoist::caller {

/** A statement without its tag, and what the tag said. */
struct TaggedStatement {
    std::string sql;
    std::optional<std::string> sessionToken;
    std::optional<std::string> requestKey;
};

/**
 * Reads a trailing comment such as
 * `/\*coralhoist_request_key='k1',coralhoist_session_token='...'*\/`.
 *
 * Values are percent-encoded. A comment that holds one of the two keys is removed whole, so that a
 * repeated statement has the same text although its token or trace id differs.
 * @param sql one or more statements.
 * @return the statement unchanged when it has no such tag.
 */
TaggedStatement extractTag(std::string sql);

}  // namespace coralhoist::caller
