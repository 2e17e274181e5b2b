/**
 * Failure detector and membership of one node.
 *
 * SWIM with the Lifeguard extensions: direct and indirect probes, suspicions that others confirm
 * and the suspect refutes by a higher incarnation, updates piggy-backed with bounded
 * retransmission, and a node that doubts itself first. See README.md of this folder.
 */
#pragma once

#include <bitset>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "zone/GossipQueue.h"
#include "zone/MemberTable.h"
#include "zone/MembershipMessage.h"
#include "zone/MembershipOptions.h"
#include "zone/Prober.h"
#include "zone/RegionContacts.h"
#include "zone/Suspicion.h"

namespace coralhoist::zone {

/** Where a Membership sends its datagrams and tells of changes. */
class MembershipOutput {
public:
    virtual ~MembershipOutput() = default;

    /** Sends one datagram; it may get lost. */
    virtual void send(const PeerAddress& to, const MembershipMessage& message) = 0;

    /**
     * A member of the own region joined, was updated, suspected or died.
     * @param member its record after the change; valid during the call.
     */
    virtual void onMemberChanged(const Member& member, TableChange change) = 0;
};

/**
 * Membership of one region as one node sees it. Never a ground for safety: two nodes' views may
 * differ for seconds.
 */
class Membership {
public:
    /**
     * @param self this node; its incarnation must be higher than in its former life, e.g. the
     *        milliseconds since the epoch at its start.
     * @param random outlives this object, as does output.
     */
    Membership(Member self, const MembershipOptions& options, RandomSource& random,
               MembershipOutput& output);
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /** Starts to join through seeds: a few addresses of nodes that may be up. */
    void start(std::vector<PeerAddress> seeds, TimePoint now);

    /** Replaces the addresses from the platform's machine list, which may lag. */
    void setMachineHint(std::vector<PeerAddress> machines) { _machineHint = std::move(machines); }

    /** Does all that is due. Call at nextTick() or earlier. */
    void onTick(TimePoint now);

    /** Handles a datagram. */
    void onDatagram(const PeerAddress& from, const MembershipMessage& message, TimePoint now);

    /** @return when onTick is due. May move earlier after each call of another method. */
    TimePoint nextTick() const;

    /** Announces that this node takes no new work. Can't be undone. */
    void leave(TimePoint now);

    /** Tells a few peers that this node stops now, so that nobody has to detect it. */
    void announceStop();

    const Member& self() const { return _self; }
    const MemberTable& members() const { return _table; }
    const RegionContacts& contacts() const { return _contacts; }

    /** @return whether this node is alone or knows about as many members as its peers do. */
    bool viewIsFilled() const { return _viewIsFilled; }

private:
    void notePause(TimePoint now);
    void tryJoin(TimePoint now);
    void probeNext(TimePoint now);
    void startProbe(const Member& target, TimePoint now);
    void requestIndirectProbes(const Prober::IndirectRequest& request);
    std::vector<Member> chooseHelpers(const NodeName& target);
    void judgeProbes(TimePoint now);
    void declareExpired(TimePoint now);
    void gossip(TimePoint now);
    void exchangeContacts(TimePoint now);

    void answer(const PeerAddress& from, const MembershipMessage& message, TimePoint now);
    void relayProbe(const PeerAddress& from, const MembershipMessage& message, TimePoint now);
    void onAck(const MembershipMessage& message);
    void onJoin(const PeerAddress& from, const MembershipMessage& message);
    std::bitset<kMemberBuckets> chooseBuckets(const std::bitset<kMemberBuckets>& differing);
    void sendMembersOfDifferingBuckets(const PeerAddress& to, const MembershipMessage& message);
    void onContactRequest(const PeerAddress& from, const MembershipMessage& message);
    void compareViews(const PeerAddress& from, const MembershipMessage& message, TimePoint now);

    /** How news came, which decides whether it is passed on. */
    enum class Source { Gossip, Repair };
    bool noteSender(const MembershipMessage& message, TimePoint now);
    void handleUpdates(const MembershipMessage& message, TimePoint now);
    void handleUpdate(const Member& update, const NodeName& teller, Source source, TimePoint now);
    void handleSuspicion(const Member& update, TimePoint now);
    void suspectOnHearsay(const Member& member, const NodeName& teller, TimePoint now);
    void suspect(const Member& member, const NodeName& accuser, bool passOn, TimePoint now,
                 std::optional<std::size_t> confirmations = std::nullopt);
    void refuteClaims(const PeerAddress& from, const MembershipMessage& message, TimePoint now);
    void refute(const Member& claim, TimePoint now);
    void apply(const Member& update, Source source, TimePoint now);

    MembershipMessage message(MembershipKind kind, std::uint64_t sequence = 0) const;
    void sendWithUpdates(const PeerAddress& to, MembershipMessage outgoing,
                         const Member* receiverRecord);
    const Member* recordToContradict(const Member& sender) const;
    std::vector<Member> sampleRegion(std::size_t maximum);
    std::vector<PeerAddress> knownAddresses() const;

    Member _self;
    const MembershipOptions _options;
    RandomSource& _random;
    MembershipOutput& _output;

    MemberTable _table;
    RegionContacts _contacts;
    GossipQueue _gossip;
    SuspicionTimers _suspicions;
    ProbeOrder _probeOrder;
    Prober _prober;
    RelayedProbes _relayed;

    std::vector<PeerAddress> _seeds;
    std::vector<PeerAddress> _machineHint;
    std::uint64_t _nextSequence;
    std::optional<NodeName> _awaitedContact;
    int _mismatches = 0;
    bool _viewIsFilled = false;
    bool _stopped = false;

    TimePoint _promisedTick;
    TimePoint _nextProbe;
    TimePoint _nextGossip;
    TimePoint _nextJoin;
    TimePoint _nextRepair;
    TimePoint _nextContacts;
};

}  // namespace coralhoist::zone
