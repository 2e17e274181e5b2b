/** Digest that represents a client's credential. */
#pragma once

#include <QByteArray>
#include <string_view>

namespace coralhoist::tenancy {

/**
 * SHA-256 digest of a credential. Credentials themselves are never stored, logged or forwarded.
 * Digests may be compared bytewise, because their order reveals nothing about the credential.
 */
class CredentialDigest {
public:
    CredentialDigest() = default;

    static CredentialDigest of(std::string_view credential);

    bool operator==(const CredentialDigest&) const = default;
    bool operator<(const CredentialDigest& other) const { return _bytes < other._bytes; }

private:
    explicit CredentialDigest(QByteArray bytes) : _bytes(std::move(bytes)) {}

    QByteArray _bytes;
};

}  // namespace coralhoist::tenancy
