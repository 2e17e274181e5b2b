/** Tunables of the failure detector. */
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "base/Time.h"

namespace coralhoist::zone {

/** Defaults suit regions of up to a few thousand members. */
struct MembershipOptions {
    /** Time between direct probes of this node. */
    Duration probeInterval = std::chrono::seconds(1);
    /** A direct probe unanswered for this long is followed by indirect ones. */
    Duration probeTimeout = std::chrono::milliseconds(300);
    /** Indirect probes unanswered for this long make the target a suspect. */
    Duration indirectTimeout = std::chrono::milliseconds(500);
    /** Helpers asked to probe a target indirectly, from as many zones as there are. */
    std::size_t indirectProbes = 3;
    /** Time from suspicion to death when enough members confirm it. */
    Duration suspicionMinimum = std::chrono::seconds(2);
    /** Time from suspicion to death when nobody confirms it. */
    Duration suspicionMaximum = std::chrono::seconds(6);
    /** Confirmations that shorten a suspicion to its minimum. */
    std::size_t suspicionConfirmations = 3;
    /** Members asked, on average, to confirm a suspicion by a probe of their own. */
    std::size_t expectedConfirmers = 6;
    /** A node none of whose probes of so many members was answered judges itself cut off... */
    std::size_t isolationProbes = 3;
    /** ...and waits so many times longer before it declares a member dead. */
    int isolationFactor = 5;
    /** A tick this late means that the process was paused: it judges nobody for a while. */
    Duration lateTick = std::chrono::milliseconds(600);
    /** Time between datagrams that carry only updates. */
    Duration gossipInterval = std::chrono::milliseconds(200);
    /** Peers that get updates in one gossip interval. */
    std::size_t gossipFanout = 3;
    /** An update is sent this many times the binary logarithm of the number of members. */
    std::size_t retransmissionFactor = 3;
    /** Most updates in one datagram; keeps it below 1200 bytes. */
    std::size_t updatesPerDatagram = 9;
    /** Time between attempts to join while no other member is known. */
    Duration joinInterval = std::chrono::milliseconds(500);
    /** Time between comparisons with peers while this node knows far fewer members than they. */
    Duration fillInterval = std::chrono::milliseconds(250);
    /** Least time between repairs when views differ for long. */
    Duration repairInterval = std::chrono::seconds(2);
    /** Consecutive messages with a different view before a repair starts. */
    int repairAfterMismatches = 4;
    /** Datagrams of members sent in answer to one comparison. */
    std::size_t repairDatagrams = 4;
    /** Time for which a dead member is remembered, so that old gossip can't revive it. */
    Duration deadRetention = std::chrono::hours(2);
    /** Time between exchanges of contacts. */
    Duration contactInterval = std::chrono::seconds(10);
    /** Contacts kept for each zone of another region. */
    std::size_t contactsPerZone = 3;
};

}  // namespace coralhoist::zone
