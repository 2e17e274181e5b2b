#include <CppUTest/TestHarness.h>

#include "tenancy/TenantDirectory.h"

namespace coralhoist::tenancy {
namespace {

Tenant tenant(const char* name, const char* credential) {
    Tenant result;
    result.name = TenantName(name);
    result.credentials.push_back(CredentialDigest::of(credential));
    return result;
}

TEST_GROUP(TenantDirectory){};

TEST(TenantDirectory, FindsTheHolderOfACredential) {
    const TenantDirectory directory(7, {tenant("a", "key-a"), tenant("b", "key-b")}, {});
    const Tenant* holder = directory.findByCredential(CredentialDigest::of("key-b"));
    CHECK_TRUE(holder != nullptr);
    STRCMP_EQUAL("b", holder->name.value().c_str());
    POINTERS_EQUAL(nullptr, directory.findByCredential(CredentialDigest::of("key-c")));
    POINTERS_EQUAL(nullptr, directory.findByCredential(CredentialDigest::of("")));
}

TEST(TenantDirectory, OnlyPublicServicesNeedNoCredential) {
    const TenantDirectory directory(7, {tenant("a", "key-a")}, {ServiceName("open")});
    CHECK_FALSE(directory.requiresCredential(ServiceName("open")));
    CHECK_TRUE(directory.requiresCredential(ServiceName("closed")));
}

TEST(TenantDirectory, AnEmptyDefinedDirectoryStillRequiresACredential) {
    const TenantDirectory directory(7, {}, {});
    CHECK_TRUE(directory.requiresCredential(ServiceName("closed")));
}

TEST(TenantDirectory, WithoutTenantsNoCredentialIsNeeded) {
    CHECK_FALSE(TenantDirectory().requiresCredential(ServiceName("any")));
}

}  // namespace
}  // namespace coralhoist::tenancy
