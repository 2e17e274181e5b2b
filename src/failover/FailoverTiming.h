/** Timeouts and pauses of failovers. */
#pragma once

#include <chrono>
#include <cstdint>

#include "base/Time.h"

namespace coralhoist::failover {

/** Tick interval while a promotion runs, and while none runs. */
constexpr Duration kActiveTickInterval = std::chrono::milliseconds(15);
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(60);
/** Age at which a server's status is requested again while a promotion runs. */
constexpr Duration kStatusInterval = kActiveTickInterval * 4;
/**
 * A node that has just started takes its list of servers as complete after this time. Entries that
 * expired while the store was unavailable are back about 2 s after the store's return.
 */
constexpr Duration kListSettlingTime = std::chrono::milliseconds(4000);
/**
 * A server that is no longer listed is remembered for this time, and longer while it may hold
 * commits.
 */
constexpr Duration kRemovedServerRetention = std::chrono::seconds(60);
/**
 * A server counts as gone when its announcement has been removed for kGoneAfter and it refuses
 * connections or has not responded for kGoneSilence. Until then it may come back with its log, lead
 * and receive: crashed servers are back after 3 to 8 s, announcements of running servers after
 * about 2 s, and servers with full slots responded after up to 1,141 ms.
 */
constexpr Duration kGoneAfter = std::chrono::seconds(10);
constexpr Duration kGoneSilence = std::chrono::milliseconds(2000);
/** Interval of the log lines that show what a promotion waits for. */
constexpr Duration kWaitingLogInterval = std::chrono::milliseconds(1000);
/** A suspected primary that does not respond for this time is replaced. */
constexpr Duration kCheckTimeout = std::chrono::milliseconds(350);
/** A primary is promoted when none has been known for this time. */
constexpr Duration kNoPrimaryTimeout = std::chrono::milliseconds(600);
/** A record that its holder has not changed for this time may be taken over. */
constexpr Duration kTakeOverAfter = std::chrono::milliseconds(3300);
/**
 * After a promotion, only the node that carried it out may promote again within this time.
 * Otherwise nodes could promote alternately.
 */
constexpr Duration kHolderExclusiveTime = std::chrono::milliseconds(3300);
/**
 * A primary that is about to shut down is not stopped for this time while no successor has caught
 * up with it.
 */
constexpr Duration kLeavingTimeout = std::chrono::milliseconds(1500);
/** The promotion call leaves the node within this time after the announcement was requested. */
constexpr Duration kCallMargin = std::chrono::milliseconds(800);
/**
 * The holder gives orders to servers within this time after it requested its last write of the
 * record. The rest of kTakeOverAfter is for their delivery.
 */
constexpr Duration kClaimValidity = std::chrono::milliseconds(2500);
/** Interval at which the holder renews the record to show that it still drives the promotion. */
constexpr Duration kRefreshInterval = std::chrono::milliseconds(900);
/** The successor must lead within this time after the promotion call. */
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(2500);
/** A server that was not running is not chosen again for this time. */
constexpr Duration kNotRunningPause = std::chrono::milliseconds(1000);
/** Pauses after an attempt that ended without a promotion; kHealthyPause also after a promotion. */
constexpr Duration kHealthyPause = std::chrono::milliseconds(600);
constexpr Duration kConflictPause = std::chrono::milliseconds(250);
constexpr Duration kStorePause = std::chrono::milliseconds(150);
/**
 * Longest pause after reads of the store that failed. All nodes that may promote in a group may
 * observe the same condition while the store is unavailable, and the store charges for each of
 * their calls.
 */
constexpr Duration kLongestStorePause = std::chrono::milliseconds(800);
/**
 * Random delay before a record is claimed, because nodes may observe the same condition at once.
 */
constexpr std::uint64_t kClaimJitterMs = 60;
/**
 * Nodes act one after another on a condition that all of them see at once: each node waits this
 * much longer than the node before it, for at most kMaxTurn turns. The delay is twice the time in
 * which a claim reaches the other nodes.
 */
constexpr Duration kTurnDelay = std::chrono::milliseconds(100);
constexpr std::size_t kMaxTurn = 10;
/** Suspicions older than this are ignored. */
constexpr Duration kSuspicionValidity = std::chrono::milliseconds(250);

}  // namespace coralhoist::failover
