/** The session token: a caller's proof of how far it has seen a database group's history. */
#pragma once

#include <cstdint>
#include <string>

#include "base/Identifier.h"
#include "base/OpTime.h"
#include "base/Status.h"

namespace coralhoist::caller {

/**
 * A point of one group's history that a read of the session must see.
 *
 * Its text form is base64url of a big-endian encoding that ends with an xxHash checksum. The
 * checksum finds mistakes, it proves no origin: a token from the future is found by comparing it
 * with what the group has confirmed (see OpTimeOracle).
 */
struct SessionToken {
    static constexpr std::uint8_t kVersion = 1;

    GroupName group;
    OpTime opTime;

    bool operator==(const SessionToken&) const = default;

    /** @return the text form; printable and without spaces or quotes. */
    std::string toText() const;

    /** @return the token, or InvalidArgument when the text is malformed or of another version. */
    static StatusWith<SessionToken> fromText(const std::string& text);
};

}  // namespace coralhoist::caller
