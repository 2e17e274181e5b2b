/** What is kept of a caller's credential. */
#pragma once

#include <QByteArray>
#include <string_view>

namespace coralhoist::tenancy {

/**
 * SHA-256 of a credential. Credentials themselves are neither kept nor logged nor sent on; digests
 * may be compared in any order of their bytes, since that tells nothing about a credential.
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
