/**
 * Brings every accepted change of the settings to every proxy, and keeps it there.
 *
 * A few readers per zone get changes from the platform. Each node that learns of a change announces
 * it to a few peers, which fetch the record from whoever announced it. Comparisons with random
 * peers repair what was missed. See README.md of this folder.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "base/Time.h"
#include "zone/DistributionMessage.h"
#include "zone/DistributionOptions.h"
#include "zone/InForceTracker.h"
#include "zone/Membership.h"
#include "zone/PeerSelector.h"
#include "zone/PendingFetches.h"
#include "zone/PlatformReaders.h"
#include "zone/Readiness.h"
#include "zone/SettingsFill.h"
#include "zone/SettingsReplica.h"

namespace coralhoist::zone {

/** Where a SettingsDistributor sends its messages. */
class DistributionOutput {
public:
    virtual ~DistributionOutput() = default;

    /** Sends a message; as a datagram if it fits one, else over the peer link. It may get lost. */
    virtual void send(const PeerReference& to, const DistributionMessage& message) = 0;
};

/**
 * Distribution of settings as one node takes part in it.
 *
 * Invariants: the replica only ever moves to higher versions, whatever comes in which order. A node
 * that has every object up to some version (from a whole list of the platform, or by being equal to
 * a peer that has) takes an unknown object with a lower version for deleted, and tells so.
 */
class SettingsDistributor final : private InForceOutput {
public:
    /** All references outlive this object. */
    SettingsDistributor(const DistributionOptions& options, const Membership& membership,
                        SettingsReplica& replica, RandomSource& random, DistributionOutput& output);
    SettingsDistributor(const SettingsDistributor&) = delete;
    SettingsDistributor& operator=(const SettingsDistributor&) = delete;

    void start(TimePoint now);
    void onTick(TimePoint now);
    /** @return when onTick is due. May move earlier after each call of another method. */
    TimePoint nextTick() const;

    /** @param encodedBytes size of the message on the wire, for the budget of the fill. */
    void onMessage(const DistributionMessage& message, std::size_t encodedBytes, TimePoint now);

    /** @return whether this node ought to keep a watch on the platform's settings open now. */
    bool shouldReadPlatform(TimePoint now) { return _readers.shouldRead(now); }
    /** @return the version from which a watch goes on, or 0 to begin with a list. */
    std::uint64_t completeUpTo() const { return _completeUpTo; }

    /**
     * The platform's whole list.
     * @param version up to which the list is complete. Nodes of lower versions that are absent from
     * it are deleted.
     */
    void onPlatformList(const std::vector<settings::SettingsObjectRecord>& records,
                        std::uint64_t version, TimePoint now);
    /** A change from the platform's watch. */
    void onPlatformChange(const settings::SettingsObjectRecord& record, TimePoint now);
    /** The watch has delivered everything up to a version; call at least every few seconds. */
    void onPlatformProgress(std::uint64_t version, TimePoint now);

    /** A record learnt in another way, e.g. from the answer to an operator's edit. */
    void onLocalRecord(const settings::SettingsObjectRecord& record, TimePoint now);

    /**
     * Fetches objects from peers ahead of the fill, because a caller needs them.
     * @param paths e.g. a group's and a service's node.
     */
    void fetchNow(const std::vector<std::string>& paths, TimePoint now);

    /** @return whether the settings are fresh enough to serve callers. */
    bool isReady() const { return _readiness.isReady(); }

    /** Asks which live members have a version in force; the callback comes once. */
    void askInForce(const ObjectVersion& object, InForceTracker::Callback callback, TimePoint now);

private:
    void take(const settings::SettingsObjectRecord& record, TimePoint now);
    void takeFromPeer(const settings::SettingsObjectRecord& record, TimePoint now);
    bool wasDeleted(const settings::SettingsObjectRecord& record) const;
    void announce(TimePoint now);
    void sendAnnouncement(const std::vector<ObjectVersion>& versions);
    void exchangeDigest(TimePoint now);
    std::optional<PeerReference> chooseDigestPeer();
    ReplicaDigest ownDigest(bool isAnswer, TimePoint now);
    void fetch(const PeerReference& from, const std::vector<ObjectVersion>& wanted, TimePoint now);
    void sendRecords(const PeerReference& to, const std::vector<std::string>& paths);
    void forgetOldChanges(TimePoint now);

    void handle(const DistributionMessage& message, const Announcement& body, TimePoint now);
    void handle(const DistributionMessage& message, const FetchRequest& body, TimePoint now);
    void handle(const DistributionMessage& message, const FillRequest& body, TimePoint now);
    void handle(const DistributionMessage& message, const RecordBatch& body, TimePoint now);
    void handle(const DistributionMessage& message, const ReplicaDigest& body, TimePoint now);
    void handle(const DistributionMessage& message, const BucketComparison& body, TimePoint now);
    void handle(const DistributionMessage& message, const SubBucketComparison& body, TimePoint now);
    void handle(const DistributionMessage& message, const VersionComparison& body, TimePoint now);
    void handle(const DistributionMessage& message, const InForceQuery& body, TimePoint now);
    void handle(const DistributionMessage& message, const InForceReply& body, TimePoint now);

    template <typename Body>
    void send(const PeerReference& to, Body body);
    void sendQuery(const PeerReference& to, const InForceQuery& query) override;
    void sendReply(const PeerReference& to, const InForceReply& reply) override;

    /** A change that this node learnt a moment ago. */
    struct RecentChange {
        ObjectVersion object;
        TimePoint learntAt;
    };

    const DistributionOptions _options;
    const Membership& _membership;
    SettingsReplica& _replica;
    RandomSource& _random;
    DistributionOutput& _output;

    PeerSelector _peers;
    PendingFetches _fetches;
    PlatformReaders _readers;
    SettingsFill _fill;
    Readiness _readiness;
    InForceTracker _inForce;

    std::deque<ObjectVersion> _unannounced;
    std::deque<RecentChange> _recent;
    std::uint64_t _completeUpTo = 0;
    int _differentComparisons = 0;
    std::size_t _messageBytes = 0;
    TimePoint _nextAnnouncement;
    TimePoint _nextDigest;
};

}  // namespace coralhoist::zone
