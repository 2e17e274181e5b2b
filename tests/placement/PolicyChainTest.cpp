#include <CppUTest/TestHarness.h>

#include "placement/PolicyChain.h"

namespace coralhoist::placement {
namespace {

using failover::LeadSuitability;
using pooling::PlacedServer;
using pooling::PlacedUnit;
using pooling::PlacementVerdict;
using std::chrono::milliseconds;

class FixedPolicy final : public pooling::PlacementPolicy, public failover::PrimaryPlacement {
public:
    PlacementVerdict mayBegin(const PlacedUnit&, const PlacedServer&) override {
        ++asked;
        return verdict;
    }
    PlacementVerdict mayContinue(const PlacedUnit&, const PlacedServer&) override {
        return verdict;
    }
    bool mayForwardTo(const PlacedUnit&, const ZoneName&) override { return forwards; }
    void noteSent(const PlacedUnit&, const PlacedServer&) override { ++sent; }
    LeadSuitability suitabilityOf(const GroupName&,
                                  const pooling::ServerAnnouncement&) const override {
        return suitability;
    }
    bool mustHandOver(const GroupName&, const pooling::ServerAnnouncement&) const override {
        return handsOver;
    }

    PlacementVerdict verdict;
    bool forwards = true;
    int sent = 0;
    int asked = 0;
    LeadSuitability suitability = LeadSuitability::Preferred;
    bool handsOver = false;
};

}  // namespace

TEST_GROUP(PolicyChain) {
    FixedPolicy first;
    FixedPolicy second;
    PolicyChain chain;
    GroupName group{"g"};
    ServiceName service{"s"};
    TenantName tenant;
    ServerName server{"s1"};
    ZoneName zone{"z1"};
    PlacedUnit unit{group, service, tenant, 0, false};
    PlacedServer placed{server, zone, false};
    pooling::ServerAnnouncement announcement;

    void setup() override {
        for (FixedPolicy* policy : {&first, &second}) {
            chain.add(static_cast<pooling::PlacementPolicy&>(*policy));
            chain.add(static_cast<failover::PrimaryPlacement&>(*policy));
        }
    }
};

TEST(PolicyChain, TheStrictestVerdictCounts) {
    CHECK_TRUE(chain.mayBegin(unit, placed).isAllowed());
    first.verdict = PlacementVerdict::deferred(milliseconds(10), "early");
    second.verdict = PlacementVerdict::deferred(milliseconds(30), "late");
    STRCMP_EQUAL("late", chain.mayBegin(unit, placed).reason);
    first.verdict = PlacementVerdict::forbidden("never");
    STRCMP_EQUAL("never", chain.mayContinue(unit, placed).reason);
    CHECK_TRUE(chain.mayContinue(unit, placed).isForbidden());
}

TEST(PolicyChain, WhatOnePolicyForbidsIsAskedOfNoneAfterIt) {
    first.verdict = PlacementVerdict::forbidden("never");
    chain.mayBegin(unit, placed);
    LONGS_EQUAL(0, second.asked);
}

TEST(PolicyChain, ALastPolicyIsAskedAfterThoseThatAreAddedLater) {
    PolicyChain other;
    other.addLast(first);
    other.add(static_cast<pooling::PlacementPolicy&>(second));
    second.verdict = PlacementVerdict::forbidden("never");
    CHECK_TRUE(other.mayBegin(unit, placed).isForbidden());
    LONGS_EQUAL(0, first.asked);
}

TEST(PolicyChain, AllPoliciesMustAllowANodeAndAllAreNotifiedOfSentStatements) {
    CHECK_TRUE(chain.mayForwardTo(unit, zone));
    second.forwards = false;
    CHECK_FALSE(chain.mayForwardTo(unit, zone));
    chain.noteSent(unit, placed);
    LONGS_EQUAL(2, first.sent + second.sent);
}

TEST(PolicyChain, APrimaryMovesWhenOnePolicyWantsItTo) {
    CHECK_FALSE(chain.mustHandOver(group, announcement));
    second.handsOver = true;
    first.suitability = LeadSuitability::Acceptable;
    second.suitability = LeadSuitability::LastResort;
    CHECK_TRUE(chain.mustHandOver(group, announcement));
    CHECK_TRUE(LeadSuitability::LastResort == chain.suitabilityOf(group, announcement));
}

}  // namespace coralhoist::placement
