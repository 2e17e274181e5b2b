/**
 * Follows the cluster's store and drives what depends on it: settings, servers, promotions, and the
 * proofs of leadership that reads wait for.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Time.h"
#include "cluster/ClusterCodec.h"
#include "cluster/EstateImport.h"
#include "cluster/EvacuationFeed.h"
#include "cluster/NodeRegistry.h"
#include "cluster/PromotionRecordReader.h"
#include "cluster/StoreFollower.h"
#include "cluster/StoredPromotions.h"
#include "failover/GroupFailovers.h"
#include "failover/LeadershipProbe.h"
#include "link/store/ObjectWatch.h"
#include "pooling/ProofExchange.h"
#include "pooling/ServerDirectory.h"
#include "pooling/StatementPooler.h"
#include "settings/SettingsTree.h"

namespace coralhoist::cluster {

/** How old what a node knows may get while the store answers it. */
struct FreshnessBounds {
    /** A change of the settings is in force after this time; a credential that was revoked too. */
    Duration settings = std::chrono::milliseconds(3000);
    /** A server that drains, or is gone, gets nothing more after this time. A promotion must be
     * known before the former primary's servers are given up, so it takes the same bound. */
    Duration servers = std::chrono::milliseconds(7000);
    /** A zone that is evacuated gets nothing more after this time. */
    Duration evacuations{0};
};

/** Where evacuations are followed: what is told of them, and of the servers that they concern. */
struct EvacuationFollowing {
    /** Null where the platform keeps none. */
    locality::EvacuatedZones* zones = nullptr;
    const locality::RegionMap* regions = nullptr;
    std::function<void(const GroupName&, const pooling::ServerDirectory::Servers&)> onServers;
};

/** What the control is made of. All outlive it. */
struct ClusterDependencies {
    const Clock& clock;
    RandomSource& random;
    /** Notes the era of each answer. */
    socket::HttpCaller& storeClient;
    StoreEra& storeEra;
    socket::HttpCaller& promotionClient;
    const store::ObjectProtocol& protocol;
    const ClusterCodec& codec;
    pooling::ServerConnector& connector;
    const failover::ReportParser& reportParser;
    pooling::ProofQuestions& proofQuestions;
    pooling::ProofAnswers& proofAnswers;
    store::FeedQuestions& feedQuestions;
    store::FeedAnswers& feedAnswers;
    /** This node as the others are to know it. */
    pooling::ProxyNode self;
    /** Told of the nodes whenever they change. */
    std::function<void(const std::vector<pooling::ProxyNode>&)> onNodes;
    /** Told of the tenants whenever the settings change. */
    std::function<void(std::shared_ptr<const tenancy::TenantDirectory>)> onTenants;
    /** Names this life of this node. */
    std::string holder;
    FreshnessBounds bounds{};
    /** Where primaries may stand; null: anywhere. */
    const failover::PrimaryPlacement* primaryPlacement = nullptr;
    /** Told of a group's servers whenever they change, before the pooler is; may be empty. */
    std::function<void(const GroupName&, const pooling::ServerDirectory::Servers&)> onServers =
        nullptr;
    /** Told of changed settings before anything else acts on them; may be empty. */
    std::function<void(const pooling::ServiceCatalog&, const tenancy::TenantDirectory&)>
        onSettings{};
    /** The estate's zones and their regions. */
    locality::RegionMap regions = {};
    /** All parts outlive the control. */
    EvacuationFollowing evacuations{};
};

/** Control of one node. Single-threaded; lives beside the pooler. */
class ClusterControl {
public:
    ClusterControl(ClusterDependencies dependencies, pooling::StatementPooler& pooler);
    ~ClusterControl();

    /** @return whether settings, servers and promotions are known. */
    bool isReady() const;

    /** Statements of the group wait for a proof that its primary leads. */
    void wantLeadershipProof(const GroupName& group);

    /** @return what takes other nodes' questions and their answers. */
    pooling::ProofEvents& proofEvents() { return _proofs; }
    store::FeedEvents& feedEvents() { return *_follower; }

    void suspectPrimary(const GroupName& group, const ServerName& server,
                        pooling::SuspicionReason reason);

    /** The pooler takes another server than before for the group's primary, or knows its term. */
    void onPrimaryChanged(const GroupName& group) { _failovers.wake(group); }

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** @return promotions carried out by this node. */
    std::uint64_t promotions() const { return _failovers.promotions(); }

    /** @return those of them that moved a misplaced primary to a server that suits better. */
    std::uint64_t plannedMoves() const { return _failovers.plannedMoves(); }

    /** @return versions of entries that named no server, each counted once. */
    std::uint64_t unreadableEntries() const {
        return _unreadableEntries + (_evacuations ? _evacuations->unreadableEntries() : 0);
    }

    /** @return the servers of a group as they are announced; of an unknown group none. */
    const pooling::ServerDirectory::Servers& serversOf(const GroupName& group) const {
        return _directory.serversOf(group);
    }

    std::size_t nodeCount() const { return _publishedNodes.size(); }

    /** @return looks at failovers of groups, ever; groups at rest are not looked at. */
    std::uint64_t failoversVisited() const { return _failovers.evaluations(); }

    /** @return groups whose failover is not at rest. */
    std::size_t activeFailovers() const { return _failovers.activeCount(); }

    /** @return whether another node tells of changes, or the newest call of each watch was
     * answered. */
    bool isStoreReachable() const { return _follower->isReachable(); }

    /** @return a time not later than the moment up to which this node knows the settings, proven by
     * a linearizable list of the store. */
    TimePoint settingsProvenAt() const { return _follower->provenAt(kSettingsKind); }

    /** @return the same of the evacuations; the epoch where none are followed. */
    TimePoint evacuationsProvenAt() const {
        return _evacuations && _follower ? _follower->provenAt(kEvacuationsKind) : TimePoint{};
    }

    std::uint64_t settingsVersion() const { return _import.version(); }

private:
    /** Places of the kinds in the order in which nodes tell each other of them. */
    static constexpr std::size_t kSettingsKind = 0;
    /** Followed on some platforms only. */
    static constexpr std::size_t kEvacuationsKind = 3;

    /** Passes what is known of one kind of objects to methods. */
    class KindSink;
    void followKinds();
    void followEvacuations(std::vector<FollowedKind>& kinds);

    void onSettings(const store::StoredObject& object);
    void onServersListed(const std::vector<store::StoredObject>& objects,
                         const StoreVersion& version);
    void onServerEvent(const store::ObjectEvent& event);
    std::optional<pooling::ServerAnnouncement> readServer(const store::StoredObject& object);
    void onPromotionsListed(const std::vector<store::StoredObject>& objects,
                            const StoreVersion& version);
    void onPromotion(const store::StoredObject& object);
    void noteGroups(const EstateImage& image);
    void publishChangedGroups();
    void publishGroup(const GroupName& group);
    void publishNodes();
    void proveAtStart();
    bool needsProofOfServers(const GroupName& group) const;
    void askServers(const GroupName& group, TimePoint now);
    void askServersForProof(TimePoint now);
    void takeProofsOfServers();
    void onProof(const pooling::LeadershipProof& proof);
    failover::RoundEvents roundEvents();
    std::unique_ptr<failover::GroupFailover> makeFailover(const GroupName& group);
    failover::SharedFailoverState estateState() const;
    void logAnnouncement(const ServerName& server, const GroupName& group,
                         const pooling::ServerAnnouncement* announcement,
                         const StoreVersion& version);
    void logAnnouncementsElsewhere();

    ClusterDependencies _dependencies;
    pooling::StatementPooler& _pooler;
    settings::SettingsTree _tree;
    EstateImport _import;
    bool _settingsKnown = false;
    /** Version that was ignored last, so that it is logged once. */
    std::uint64_t _ignoredSettings = 0;
    pooling::ServerDirectory _directory;
    /** Groups that settings have named. Servers of others are nobody's: no statement goes there,
     * and no server is promoted. */
    std::set<GroupName> _namedGroups;
    /** Newest version of each entry that named no server. */
    std::map<std::string, StoreVersion> _unreadableVersions;
    std::uint64_t _unreadableEntries = 0;
    StoredPromotions _promotions;
    NodeRegistry _registry;
    failover::PlannedMoveRateLimiter _movePace;
    failover::GroupFailovers _failovers;
    /** Announcements of groups that other nodes execute, since they were last logged. */
    std::uint64_t _announcedElsewhere = 0;
    /** Version of the newest list of promotion records. */
    StoreVersion _promotionsListed;
    std::map<GroupName, std::unique_ptr<failover::LeadershipProbe>> _probes;
    PromotionRecordReader _recordReader;
    pooling::ReaderTree _readers;
    pooling::ProofExchange _proofs;
    std::map<GroupName, TimePoint> _toldProofs;
    std::vector<std::unique_ptr<KindSink>> _sinks;
    std::unique_ptr<EvacuationFeed> _evacuations;
    std::unique_ptr<StoreFollower> _follower;
    std::vector<pooling::ProxyNode> _publishedNodes;
    /** Number of the list from which the nodes were published last. */
    std::size_t _publishedList = 0;
    std::set<GroupName> _unproven;
    /** The proof that a start needs has been asked for. */
    bool _provenAtStart = false;
    TimePoint _nextExpiry{};
};

}  // namespace coralhoist::cluster
