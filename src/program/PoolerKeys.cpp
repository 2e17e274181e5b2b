#include "program/PoolerKeys.h"

#include <chrono>
#include <utility>

namespace coralhoist::program {
namespace {

using pooling::PoolerKnobs;

constexpr std::int64_t kMaximumCount = 10000;
constexpr std::int64_t kMaximumPercent = 1'000'000;
constexpr double kPercent = 100;

KeyDescription key(std::string name, std::int64_t minimum, std::int64_t maximum,
                   std::string meaning, std::function<void(PoolerKnobs&, std::int64_t)> set) {
    return numberKey(
        std::move(name), minimum, maximum, std::move(meaning),
        [set = std::move(set)](DaemonConfiguration& configuration, std::int64_t value) {
            set(configuration.pooler, value);
        });
}

KeyDescription count(std::string name, std::int64_t minimum, std::string meaning,
                     std::uint32_t PoolerKnobs::*member) {
    return key(std::move(name), minimum, kMaximumCount, std::move(meaning),
               [member](PoolerKnobs& knobs, std::int64_t value) {
                   knobs.*member = static_cast<std::uint32_t>(value);
               });
}

KeyDescription milliseconds(std::string name, std::string meaning, Duration PoolerKnobs::*member) {
    return key(std::move(name), 0, kMaximumMilliseconds, std::move(meaning),
               [member](PoolerKnobs& knobs, std::int64_t value) {
                   knobs.*member = std::chrono::milliseconds(value);
               });
}

/** For a member that holds a share: 100 percent are 1.0. */
KeyDescription percent(std::string name, std::string meaning, double PoolerKnobs::*member) {
    return key(std::move(name), 0, kMaximumPercent, std::move(meaning),
               [member](PoolerKnobs& knobs, std::int64_t value) {
                   knobs.*member = static_cast<double>(value) / kPercent;
               });
}

std::vector<KeyDescription> connectionKeys() {
    return {
        count("pool.connections_per_server", 1,
              "connections of this proxy to one server of a pooled group at most",
              &PoolerKnobs::connectionsPerServer),
        count("pool.executors_per_zone", 1,
              "proxies of a zone that execute a group's statements at most",
              &PoolerKnobs::executorsPerZone),
        count("pool.tenant_connections_per_server", 1,
              "the same where each connection belongs to one tenant",
              &PoolerKnobs::tenantConnectionsPerServer),
        count("pool.tenant_executors_per_zone", 1,
              "proxies of a zone that execute a group's statements where callers are tenants",
              &PoolerKnobs::tenantExecutorsPerZone),
        count("pool.regional_connections_per_server", 1,
              "the same where the settings name several regions",
              &PoolerKnobs::regionalConnectionsPerServer),
        count("pool.regional_executors_per_zone", 1,
              "proxies of a zone that execute a group's statements where there are several regions",
              &PoolerKnobs::regionalExecutorsPerZone),
        milliseconds("pool.single_connection_for_ms",
                     "after a start, time with one connection to each server at most",
                     &PoolerKnobs::singleConnectionFor),
        count("pool.move_to_others", 0,
              "1: another proxy executes what needs a primary that this one can't use",
              &PoolerKnobs::moveToOthers),
        count("pool.concurrent_connects", 1, "connections being opened to one server at a time",
              &PoolerKnobs::concurrentConnects),
        milliseconds("pool.reconnect_pause_ms",
                     "pause before a server that refused a connection is tried again",
                     &PoolerKnobs::reconnectPause),
    };
}

std::vector<KeyDescription> loadKeys() {
    return {
        percent("pool.inflight_per_slot_percent",
                "statements in flight to a server at most, of its slots",
                &PoolerKnobs::inflightPerSlot),
        percent("pool.inflight_decrease_percent",
                "the limit is lowered to this when a server has no capacity; 100: never",
                &PoolerKnobs::inflightDecrease),
        percent("pool.latency_decrease_percent",
                "the limit is lowered to this when a server is slow; 100: never",
                &PoolerKnobs::latencyDecrease),
        percent("pool.latency_target_percent",
                "a server is slow above this part of the least latency objective",
                &PoolerKnobs::latencyTargetShare),
        percent("pool.on_time_percent",
                "a statement that has waited for this part of its latency objective gives way",
                &PoolerKnobs::onTimeShare),
        count("pool.order_by_slot_time", 0,
              "1: statements that take less of a server's time go first; 0: in order of arrival",
              &PoolerKnobs::orderBySlotTime),
        count("pool.hold_percent", 0,
              "an unsent statement is held for this part of the statement timeout at most",
              &PoolerKnobs::holdPercent),
        count("pool.urgent_headroom", 0, "statements in flight above the limit for urgent ones",
              &PoolerKnobs::urgentHeadroom),
    };
}

std::vector<KeyDescription> choiceKeys() {
    return {
        milliseconds("pool.other_zone_penalty_ms", "added to the cost of a server in another zone",
                     &PoolerKnobs::otherZonePenalty),
        milliseconds("pool.primary_penalty_ms",
                     "added to the cost of the primary for reads that a replica may serve",
                     &PoolerKnobs::primaryPenalty),
        milliseconds("pool.inflight_penalty_ms", "cost of each statement in flight to a server",
                     &PoolerKnobs::inflightPenalty),
        milliseconds("pool.hedge_after_ms",
                     "a read unanswered for so long also goes to another server",
                     &PoolerKnobs::hedgeAfter),
        count("pool.hedge_after_latencies", 1,
              "a read that takes so many times as long as others also goes to another server",
              &PoolerKnobs::hedgeAfterLatencies),
        count("pool.hedges_per_read", 0, "times that a read is sent again for want of an answer",
              &PoolerKnobs::hedgesPerRead),
        milliseconds("pool.abandoned_for_ms",
                     "time for an answer that nobody waits for, before its connection is closed",
                     &PoolerKnobs::abandonedFor),
        milliseconds("pool.suspect_after_ms",
                     "a primary that answers nothing for so long is suspected",
                     &PoolerKnobs::suspectAfter),
        milliseconds("pool.busy_pause_ms",
                     "pause before a statement that a server refused is tried again",
                     &PoolerKnobs::busyPause),
        milliseconds("pool.longest_busy_pause_ms",
                     "bound of the pause for which nothing is sent to a server that refuses",
                     &PoolerKnobs::longestBusyPause),
        milliseconds("pool.lagging_pause_ms",
                     "pause before a replica that lacked a position is asked for it again",
                     &PoolerKnobs::laggingPause),
        milliseconds("pool.longest_lagging_pause_ms", "bound of that pause, which grows",
                     &PoolerKnobs::longestLaggingPause),
    };
}

}  // namespace

std::vector<KeyDescription> poolerKeys() {
    std::vector<KeyDescription> keys = connectionKeys();
    for (KeyDescription& entry : loadKeys()) {
        keys.push_back(std::move(entry));
    }
    for (KeyDescription& entry : choiceKeys()) {
        keys.push_back(std::move(entry));
    }
    return keys;
}

}  // namespace coralhoist::program
