#include "tenancy/CredentialDigest.h"

#include <QCryptographicHash>

namespace coralhoist::tenancy {

CredentialDigest CredentialDigest::of(std::string_view credential) {
    const QByteArray bytes(credential.data(), static_cast<qsizetype>(credential.size()));
    return CredentialDigest(QCryptographicHash::hash(bytes, QCryptographicHash::Sha256));
}

}  // namespace coralhoist::tenancy
