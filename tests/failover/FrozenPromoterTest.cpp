/**
 * A node that stands still at any step of a promotion, for any time, while another node takes the
 * promotion over. What the former node sends when it goes on must not act on the promotion of the
 * other one.
 */
#include <CppUTest/TestHarness.h>

#include <string>

#include "FailoverFixture.h"
#include "failover/FailoverTiming.h"

namespace coralhoist::pooled {
namespace {

using pooling::PromotionPhase;
using pooling::SuspicionReason;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * How long after its claim a node freezes and for how long, and how long the connection of a
 * promotion call takes.
 */
struct Freeze {
    Duration at{0};
    Duration length{0};
    Duration opening{0};
};

TEST_GROUP(FrozenPromoter){static void suspectAll(FailoverFixture & fixture){
    for (std::size_t node = 0; node < fixture.nodes.size(); ++node){
        if (fixture.nodes[node].primary){fixture.suspect(node, SuspicionReason::Unreachable);
}  // namespace
}  // namespace coralhoist::pooled
}

static LogServer& leader(FailoverFixture& fixture) {
    LogServer* newest = &fixture.server(0);
    for (const auto& server : fixture.group.servers()) {
        if (server->primary && server->term >= newest->term) {
            newest = server.get();
        }
    }
    return *newest;
}

/** @return the node that has written the record. */
static std::size_t holderOf(FailoverFixture& fixture) {
    return fixture.record().holder.starts_with("n1/") ? 0 : 1;
}

/** Freezes the node that claims the record next. */
static void freezeHolder(FailoverFixture& fixture, const Freeze& freeze) {
    if (fixture.record().phase == PromotionPhase::None) {
        fixture.queue.after(milliseconds(1), [&fixture, freeze] { freezeHolder(fixture, freeze); });
        return;
    }
    const auto activity = fixture.nodes[holderOf(fixture)].activity;
    fixture.queue.after(freeze.at, [activity] { activity->freeze(); });
    fixture.queue.after(freeze.at + freeze.length, [activity] { activity->thaw(); });
}

/** The primary crashes, and its successor some seconds later; each is back after a while. */
static void play(FailoverFixture& fixture, const Freeze& freeze) {
    fixture.store.callFaults().opening = freeze.opening;
    fixture.commit(11);
    fixture.group.crash(fixture.server(0));
    suspectAll(fixture);
    freezeHolder(fixture, freeze);
    fixture.queue.after(seconds(4), [&fixture] { fixture.group.restart(fixture.server(0)); });
    fixture.queue.after(milliseconds(5200), [&fixture] {
        LogServer& successor = leader(fixture);
        fixture.group.crash(successor);
        fixture.queue.after(seconds(2), [&fixture, &successor] {
            successor.deaf = true;
            fixture.group.restart(successor);
        });
    });
    for (int round = 0; round < 150; ++round) {
        fixture.commit(3);
        fixture.run(milliseconds(88));
        suspectAll(fixture);
    }
}

/** A node's orders are carried out only while no other node holds the claim. */
static void judgeOrders(FailoverFixture& fixture) {
    for (std::size_t node = 0; node < fixture.nodes.size(); ++node) {
        const std::string holder = "n" + std::to_string(node + 1) + "/";
        fixture.nodes[node].connector->setOnOrder(
            [&fixture, holder](const pooling::ServerCommand& order) {
                const failover::PromotionRecord record = fixture.record();
                if (!record.holder.empty() && !record.holder.starts_with(holder)) {
                    fixture.judge.fail("ORDER " + std::to_string(static_cast<int>(order.kind)) +
                                       " of " + holder + " while " + record.holder +
                                       " holds the claim");
                }
            });
    }
}

static void check(const Freeze& freeze) {
    FailoverFixture fixture(2);
    judgeOrders(fixture);
    play(fixture, freeze);
    const auto inMilliseconds = [](Duration time) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
    };
    for (const std::string& violation : fixture.judge.violations()) {
        FAIL((violation + "; frozen at " + inMilliseconds(freeze.at) + " ms for " +
              inMilliseconds(freeze.length) + " ms, opening " + inMilliseconds(freeze.opening) +
              " ms")
                 .c_str());
    }
}
}
;

/** Guards against the promotion call of a lost claim: the connection opens while the node is
 * frozen, and the call is sent when it goes on. */
TEST(FrozenPromoter, SendsNoCallThatItsConnectionDelayedBeyondTheClaim) {
    for (const int opening : {2, 10, 60, 400}) {
        for (int at = 0; at <= 120; at += 2) {
            check({milliseconds(at), milliseconds(7500), milliseconds(opening)});
        }
    }
}

/** Guards against orders to servers that wait for a connection while the node is frozen. */
TEST(FrozenPromoter, SendsNoOrderOfALostClaim) {
    for (int at = 0; at <= 400; at += 2) {
        check({milliseconds(at), milliseconds(7500), Duration(0)});
    }
}

/** Guards against a node that goes on ordering while it can't renew its claim and another node
 * promotes. */
TEST(FrozenPromoter, GivesNoOrdersOnceItsClaimIsOver) {
    for (const int cutAt : {0, 10, 20, 40, 80, 300, 900}) {
        FailoverFixture fixture(2);
        judgeOrders(fixture);
        fixture.commit(11);
        // Neither node reaches the replica with the longest log, so that promotions wait.
        fixture.server(2).deaf = true;
        fixture.commit(11);
        for (FailoverNode& node : fixture.nodes) {
            node.connector->faults().cut.insert(fixture.server(1).name);
        }
        fixture.group.crash(fixture.server(0));
        suspectAll(fixture);
        while (fixture.record().phase == PromotionPhase::None) {
            fixture.run(milliseconds(1));
        }
        fixture.run(milliseconds(cutAt));
        fixture.nodes[holderOf(fixture)].client->setCut(true);
        for (int round = 0; round < 80; ++round) {
            fixture.run(milliseconds(100));
            suspectAll(fixture);
            if (round % 20 == 19) {
                // A replica that restarts receives again, and is ordered to pause again.
                fixture.group.crash(fixture.server(2));
                fixture.group.restart(fixture.server(2));
            }
        }
        for (const std::string& violation : fixture.judge.violations()) {
            FAIL((violation + "; cut off at " + std::to_string(cutAt) + " ms").c_str());
        }
    }
}

TEST(FrozenPromoter, ActsOnNoLostClaimHoweverLongItStoodStill) {
    for (const int length : {300, 900, 2000, 3300, 4500, 6000, 9000}) {
        for (int at = 0; at <= 1200; at += 25) {
            check({milliseconds(at), milliseconds(length), milliseconds(at % 3 * 30)});
        }
    }
}

}  // namespace
}  // namespace coralhoist::pooled
