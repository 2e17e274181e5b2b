#include <CppUTest/TestHarness.h>

#include "tests/tenancy/ShardFixture.h"

namespace coralhoist::tenancy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TenantName& kTenant = kShardTenant;

RecordedQuotas recordAllowing(std::uint32_t units) {
    RecordedQuotas quotas;
    quotas[kTenant].allowance = units;
    return quotas;
}

TEST_GROUP(RecordAllowances){};

TEST(RecordAllowances, AGrantIsDeductedFromEachVersionThatMayBeTheNewest) {
    RecordAllowances allowances(recordAllowing(10));
    allowances.take(kTenant, 4);
    allowances.onSaving(recordAllowing(3));
    UNSIGNED_LONGS_EQUAL(3, allowances.left(kTenant));
    allowances.take(kTenant, 2);
    allowances.onSaved(StoreOutcome::Unknown);
    UNSIGNED_LONGS_EQUAL(1, allowances.left(kTenant));
    allowances.onSaving(recordAllowing(50));
    UNSIGNED_LONGS_EQUAL(1, allowances.left(kTenant));
    allowances.onSaved(StoreOutcome::Unknown);
    UNSIGNED_LONGS_EQUAL(1, allowances.left(kTenant));
}

TEST(RecordAllowances, AVersionInForceReplacesAllOthers) {
    RecordAllowances allowances(recordAllowing(10));
    allowances.onSaving(recordAllowing(3));
    allowances.onSaved(StoreOutcome::Unknown);
    allowances.onSaving(recordAllowing(50));
    allowances.take(kTenant, 1);
    allowances.onSaved(StoreOutcome::Done);
    UNSIGNED_LONGS_EQUAL(49, allowances.left(kTenant));
}

TEST(RecordAllowances, AFailedWriteChangesNoAllowance) {
    RecordAllowances allowances(recordAllowing(10));
    allowances.onSaving(recordAllowing(3));
    allowances.onSaved(StoreOutcome::Conflict);
    UNSIGNED_LONGS_EQUAL(10, allowances.left(kTenant));
}

TEST_GROUP_BASE(QuotaShard, ShardFixture){};

TEST(QuotaShard, LeadsOnlyOnceTheRecordNamesIt) {
    ask(1);
    CHECK_TRUE(responses.empty());
    LoadedShard none;
    none.outcome = StoreOutcome::Done;
    store.finishLoad(none);
    CHECK_TRUE(responses.empty());
    store.finishSave({StoreOutcome::Done, {0, 11}});
    LONGS_EQUAL(1, responses.size());
    UNSIGNED_LONGS_EQUAL(1, responses[0].granted);
}

TEST(QuotaShard, TheLeaseBeginsWhenTheWriteIsSent) {
    ask(1);
    LoadedShard none;
    none.outcome = StoreOutcome::Done;
    store.finishLoad(none);
    clock.advance(milliseconds(600));
    store.finishSave({StoreOutcome::Done, {0, 11}});
    // The renewal gets no response. The lease of 6 s began 0.6 s before the first response.
    clock.advance(milliseconds(5399));
    ask(1);
    LONGS_EQUAL(2, responses.size());
    UNSIGNED_LONGS_EQUAL(1, responses[1].granted);
    clock.advance(milliseconds(1));
    ask(1);
    LONGS_EQUAL(2, responses.size());
    clock.advance(milliseconds(250));
    shard->onTick(clock.now());
    CHECK_TRUE(responses.back().declined);
}

TEST(QuotaShard, AnotherNodesShardIsNotTakenBeforeItsLeaseHasEnded) {
    sent.reachable = false;
    ask(1);
    store.finishLoad(crowdedRecord("n2/1", 7));
    CHECK_TRUE(responses.back().declined);
    clock.advance(milliseconds(6599));
    ask(1);
    store.finishLoad(crowdedRecord("n2/1", 7));
    LONGS_EQUAL(0, store.saves.size());
    clock.advance(milliseconds(301));
    ask(1);
    store.finishLoad(crowdedRecord("n2/1", 7));
    LONGS_EQUAL(1, store.saves.size());
}

TEST(QuotaShard, ARenewalRestartsTheWaitForTheLeaseToExpire) {
    sent.reachable = false;
    ask(1);
    store.finishLoad(crowdedRecord("n2/1", 7));
    clock.advance(milliseconds(6000));
    ask(1);
    store.finishLoad(crowdedRecord("n2/1", 8));
    clock.advance(milliseconds(700));
    ask(1);
    store.finishLoad(crowdedRecord("n2/1", 8));
    LONGS_EQUAL(0, store.saves.size());
}

TEST(QuotaShard, WhatAFormerLifeMayHaveGrantedCounts) {
    ask(1);
    store.finishLoad(loadedRecord("n1/0", "", 7));
    store.finishSave({StoreOutcome::Done, {0, 8}});
    // Of a bound of 185, 40 units count for a second at most, and 30 more were allowed.
    std::uint32_t granted = responses.back().granted;
    while (responses.back().granted > 0) {
        ask(100);
        granted += responses.back().granted;
        clock.advance(milliseconds(200));
        if (clock.now() - TimePoint(std::chrono::hours(1)) > milliseconds(900)) {
            break;
        }
    }
    CHECK_TRUE(granted <= 185 - 40 - 30);
}

TEST(QuotaShard, AGrantIsAnsweredOnceTheStandbyHasIt) {
    peers.push_back({NodeName("n2"), ZoneName("z"), "h", 1});
    lead();
    // The first grant was confirmed while the copy was still being sent, so it must arrive before
    // the record names the standby.
    LONGS_EQUAL(2, sent.updates.size());
    CHECK_TRUE(sent.updates[0].whole);
    LONGS_EQUAL(1, store.saved.size());
    calls.onAck(sent.lastNumber - 1, LedgerAck{true, "n2/1"});
    LONGS_EQUAL(1, store.saved.size());
    calls.onAck(sent.lastNumber, LedgerAck{true, "n2/1"});
    CHECK_TRUE(store.saved.back().standby == (NodeIncarnation{NodeName("n2"), "n2/1"}));
    const std::size_t before = responses.size();
    ask(1);
    LONGS_EQUAL(before, responses.size());
    LONGS_EQUAL(3, sent.updates.size());
    calls.onAck(sent.lastNumber, LedgerAck{true, "n2/1"});
    LONGS_EQUAL(before + 1, responses.size());
}

TEST(QuotaShard, ALeaderThatLosesItsStandbyGrantsNothingUntilTheRecordNoLongerNamesTheStandby) {
    peers.push_back({NodeName("n2"), ZoneName("z"), "h", 1});
    lead();
    calls.onAck(sent.lastNumber, LedgerAck{true, "n2/1"});
    store.finishSave({StoreOutcome::Done, {0, 12}});
    const std::size_t before = responses.size();
    ask(1);
    calls.onAck(sent.lastNumber, std::nullopt);
    ask(1);
    LONGS_EQUAL(before, responses.size());
    CHECK_FALSE(store.saved.back().standby.exists());
    peers.clear();
    store.finishSave({StoreOutcome::Done, {0, 13}});
    LONGS_EQUAL(before + 2, responses.size());
}

TEST(QuotaShard, AStandbyLeadsAtOnceWhenNobodyHearsFromTheLeader) {
    LedgerUpdate update;
    update.shard = quotaShardOf(kTenant);
    update.leaderIncarnation = "n2/1";
    update.copy = 1;
    update.sequence = 1;
    update.whole = true;
    update.batches.push_back({kTenant, {7, 1}, 100, milliseconds(500)});
    CHECK_TRUE(shard->takeUpdate(update).accepted);
    clock.advance(milliseconds(200));
    ask(1, true);
    store.finishLoad(loadedRecord("n2/1", "n1/1", 7));
    LONGS_EQUAL(1, store.saves.size());
    // From now on the standby acknowledges no updates.
    update.whole = false;
    update.sequence = 2;
    CHECK_FALSE(shard->takeUpdate(update).accepted);
    store.finishSave({StoreOutcome::Done, {0, 8}});
    UNSIGNED_LONGS_EQUAL(1, responses.back().granted);
    UNSIGNED_LONGS_EQUAL(1, statistics.ledWithCopy);
}

TEST(QuotaShard, ForwardsARequestToTheLeader) {
    ask(3);
    store.finishLoad(loadedRecord("n2/1", "", 7));
    LONGS_EQUAL(1, sent.requests.size());
    UNSIGNED_LONGS_EQUAL(1, sent.requests[0].hops);
    QuotaResponse response;
    response.granted = 3;
    response.leader = NodeName("n2");
    calls.onAnswer(sent.lastNumber, response);
    CHECK_TRUE(responses.back() == response);
}

TEST(QuotaShard, APlannedShutdownWritesTheCountedUnitsToTheRecord) {
    lead();
    shard->release();
    const QuotaShardRecord& released = store.saved.back();
    CHECK_FALSE(released.leader.exists());
    UNSIGNED_LONGS_EQUAL(0, released.tenants.at(kTenant).allowance);
    std::uint32_t counting = 0;
    for (const std::uint32_t units : released.tenants.at(kTenant).counting) {
        counting += units;
    }
    UNSIGNED_LONGS_EQUAL(1, counting);
    ask(1);
    CHECK_TRUE(responses.size() == 1 || responses.back().declined);
}

/** @return units that the part of the record's only deputy allows. */
std::uint32_t allowedToDeputy(const QuotaShardRecord& record) {
    return record.deputies.at(0).tenants.at(kTenant).allowance;
}

TEST_GROUP_BASE(QuotaShardDeputy, ShardFixture){
    /** Cuts this node off and makes it write its part; the write has not completed yet. */
    void askToBeDeputy(){sent.reachable = false;
ask(1);
store.finishLoad(loadedRecord("n2/1", "n3/1", 7));
clock.advance(milliseconds(200));
shard->onTick(clock.now());
}  // namespace

/** @return total units granted in response to many requests. */
std::uint32_t granted() const {
    std::uint32_t units = 0;
    for (const QuotaResponse& response : responses) {
        units += response.granted;
    }
    return units;
}
};  // namespace coralhoist::tenancy

TEST(QuotaShardDeputy, GrantsOnceItsPartIsWrittenUnderTheVersionThatWasRead) {
    askToBeDeputy();
    LONGS_EQUAL(1, store.saved.size());
    const QuotaShardRecord& written = store.saved[0];
    UNSIGNED_LONGS_EQUAL(7, written.version.revision);
    CHECK_TRUE(written.leader == (NodeIncarnation{NodeName("n2"), "n2/1"}));
    CHECK_TRUE(written.tenants == loadedRecord("n2/1", "n3/1", 7).record.tenants);
    // No later write of this incarnation can be mistaken for this one.
    UNSIGNED_LONGS_EQUAL(7, written.deputies.at(0).replacedVersion);
    // A quarter of the bound beside a leader that has 40 + 30 units of 185.
    UNSIGNED_LONGS_EQUAL(46, allowedToDeputy(written));
    UNSIGNED_LONGS_EQUAL(0, granted());
    store.finishSave({StoreOutcome::Done, {0, 8}});
    UNSIGNED_LONGS_EQUAL(1, granted());
    UNSIGNED_LONGS_EQUAL(1, statistics.grantedAsDeputy);
}

/** A claim whose response was lost is discovered by reading the record. If a deputy has written its
 * part in between, the token of the version that is read identifies the deputy's batches.
 * Settlements of those must not shrink the leader's batches. */
TEST(QuotaShard, AClaimThatIsFoundDoneUnderADeputysWritingHasATermOfItsOwn) {
    ask(1);
    LoadedShard none;
    none.outcome = StoreOutcome::Done;
    store.finishLoad(none);
    // The claim is applied as version 11, but its response is lost. Then a deputy writes its part
    // as version 12.
    store.finishSave({StoreOutcome::Unknown, {}});
    LoadedShard loaded;
    loaded.outcome = StoreOutcome::Done;
    loaded.record = store.saved.at(0);
    loaded.record.version.revision = 12;
    loaded.record.deputies.push_back({{NodeName("n2"), "n2/1"}, true, 11, recordAllowing(46)});
    store.finishLoad(loaded);
    store.finishSave({StoreOutcome::Done, {0, 13}});
    clock.advance(milliseconds(1500));
    for (std::uint64_t number = 1; number <= 40; ++number) {
        QuotaRequest request;
        request.tenant = kTenant;
        request.wanted = 20;
        request.usableFor = milliseconds(500);
        request.settled.push_back({{12, number}, 0, milliseconds(0)});
        shard->ask(request,
                   [this](const QuotaResponse& response) { responses.push_back(response); });
        clock.advance(milliseconds(100));
        if (!store.saves.empty()) {
            store.finishSave({StoreOutcome::Done, {0, 13 + number}});
        }
    }
    std::uint32_t granted = 0;
    for (const QuotaResponse& response : responses) {
        granted += response.granted;
        CHECK_TRUE(response.batch.term != 12);
    }
    CHECK_TRUE(granted > 0);
    CHECK_TRUE(granted + 46 <= 185);
}

TEST(QuotaShard, AFailedClaimDoesNotKeepTheNodeFromBecomingADeputy) {
    ask(1);
    LoadedShard none;
    none.outcome = StoreOutcome::Done;
    store.finishLoad(none);
    store.finishSave({StoreOutcome::Unknown, {}});
    // Another node's claim was applied, so this node's claim can't be applied any more.
    sent.reachable = false;
    store.finishLoad(loadedRecord("n2/1", "n3/1", 7));
    for (int times = 0; times < 20; ++times) {
        clock.advance(milliseconds(100));
        shard->onTick(clock.now());
        ask(1);
        if (!store.loads.empty()) {
            store.finishLoad(loadedRecord("n2/1", "n3/1", 7));
        }
    }
    LONGS_EQUAL(2, store.saved.size());
}

/** @return a record that another deputy has joined in the meantime. */
LoadedShard recordWithDeputy() {
    LoadedShard loaded = ShardFixture::loadedRecord("n2/1", "n3/1", 8);
    loaded.record.deputies.push_back({{NodeName("n4"), "n4/1"}, true, 7, recordAllowing(46)});
    return loaded;
}

TEST(QuotaShardDeputy, DoesNotJoinBesideAReachableDeputyThatCameFirst) {
    askToBeDeputy();
    sent.reachable = true;
    store.finishSave({StoreOutcome::Conflict, {}});
    store.finishLoad(recordWithDeputy());
    LONGS_EQUAL(1, store.saved.size());
}

TEST(QuotaShardDeputy, JoinsBesideAnUnreachableDeputy) {
    askToBeDeputy();
    store.finishSave({StoreOutcome::Conflict, {}});
    store.finishLoad(recordWithDeputy());
    LONGS_EQUAL(2, store.saved.size());
}

/** A part that was written before the tenant's first request is rewritten at once. */
TEST(QuotaShardDeputy, ATenantsFirstAllowanceIsWrittenWithoutDelay) {
    sent.reachable = false;
    ask(0);
    store.finishLoad(loadedRecord("n2/1", "n3/1", 7));
    clock.advance(milliseconds(200));
    shard->onTick(clock.now());
    store.finishSave({StoreOutcome::Done, {0, 8}});
    ask(1);
    LONGS_EQUAL(2, store.saved.size());
}

TEST(QuotaShardDeputy, MayNotGrantUnitsOfTheLeadersPart) {
    sent.reachable = false;
    ask(1);
    LoadedShard full = loadedRecord("n2/1", "n3/1", 7);
    full.record.tenants[kTenant] = {{0, 0, 0, 0, 0, 0, 0, 0, 150}, 30};
    store.finishLoad(full);
    clock.advance(milliseconds(200));
    shard->onTick(clock.now());
    UNSIGNED_LONGS_EQUAL(5, allowedToDeputy(store.saved.at(0)));
}

TEST(QuotaShardDeputy, GrantsNothingAfterItsLeaseHasExpired) {
    askToBeDeputy();
    store.finishSave({StoreOutcome::Done, {0, 8}});
    UNSIGNED_LONGS_EQUAL(1, granted());
    clock.advance(milliseconds(5999));
    ask(1);
    UNSIGNED_LONGS_EQUAL(2, granted());
    clock.advance(milliseconds(1));
    ask(1);
    UNSIGNED_LONGS_EQUAL(2, granted());
}

TEST(QuotaShardDeputy, GrantsNoMoreThanItsPartAllows) {
    askToBeDeputy();
    store.finishSave({StoreOutcome::Done, {0, 8}});
    for (int times = 0; times < 30; ++times) {
        clock.advance(milliseconds(100));
        ask(20);
    }
    UNSIGNED_LONGS_EQUAL(46, granted());
}

TEST(QuotaShardDeputy, RecordsItsWithdrawalOnceTheLeaderResponds) {
    askToBeDeputy();
    store.finishSave({StoreOutcome::Done, {0, 8}});
    sent.reachable = true;
    clock.advance(milliseconds(250));
    ask(1);
    UNSIGNED_LONGS_EQUAL(2, granted());
    QuotaResponse there;
    there.leader = NodeName("n2");
    calls.onAnswer(sent.lastNumber, there);
    const DeputyPart& part = store.saved.back().deputies.at(0);
    CHECK_FALSE(part.grants);
    UNSIGNED_LONGS_EQUAL(0, part.tenants.at(kTenant).allowance);
    std::uint32_t counting = 0;
    for (const std::uint32_t units : part.tenants.at(kTenant).counting) {
        counting += units;
    }
    UNSIGNED_LONGS_EQUAL(2, counting);
    const std::size_t before = sent.requests.size();
    ask(1);
    LONGS_EQUAL(before + 1, sent.requests.size());
}

TEST(QuotaShardDeputy, ItsPartIsKeptWhenAClaimIsDiscoveredByReading) {
    ask(1);
    LoadedShard former = loadedRecord("n1/0", "", 7);
    former.record.deputies.push_back({{NodeName("n5"), "n5/1"}, true, 1, {{kTenant, {{}, 100}}}});
    store.finishLoad(former);
    QuotaShardRecord claimed = store.saved.back();
    store.finishSave({StoreOutcome::Unknown, {}});
    claimed.version.revision = 8;
    LoadedShard done;
    done.outcome = StoreOutcome::Done;
    done.record = claimed;
    store.finishLoad(done);
    store.finishSave({StoreOutcome::Done, {0, 9}});
    CHECK_TRUE(store.saved.back().deputies == former.record.deputies);
    // 40 + 30 units of the previous incarnation and 100 of the deputy leave 15 of 185.
    CHECK_TRUE(store.saved.back().tenants.at(kTenant).allowance <= 15);
}

}  // namespace
}  // namespace coralhoist::tenancy
