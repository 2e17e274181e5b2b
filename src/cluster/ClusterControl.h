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
#include "cluster/NodeRegistry.h"
#include "cluster/PromotionRecordReader.h"
#include "cluster/StoreFollower.h"
#include "cluster/StoredPromotions.h"
#include "failover/GroupFailover.h"
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

    void onTick(TimePoint now);
    std::optional<TimePoint> nextTick() const;

    /** @return promotions carried out by this node. */
    std::uint64_t promotions() const;

    /** @return those of them that moved a misplaced primary to a server that suits better. */
    std::uint64_t plannedMoves() const;

    /** @return versions of entries that named no server, each counted once. */
    std::uint64_t unreadableEntries() const { return _unreadableEntries; }

    std::size_t nodeCount() const { return _publishedNodes.size(); }

    /** @return whether another node tells of changes, or the newest call of each watch was
     * answered. */
    bool isStoreReachable() const { return _follower->isReachable(); }

    /** @return a time not later than the moment up to which this node knows the settings, proven by
     * a linearizable list of the store. */
    TimePoint settingsProvenAt() const { return _follower->provenAt(kSettingsKind); }

    std::uint64_t settingsVersion() const { return _import.version(); }

private:
    /** Places of the kinds in the order in which nodes tell each other of them. */
    static constexpr std::size_t kSettingsKind = 0;

    /** Passes what is known of one kind of objects to methods. */
    class KindSink;
    void followKinds();

    void onSettings(const store::StoredObject& object);
    void onServersListed(const std::vector<store::StoredObject>& objects,
                         const StoreVersion& version);
    void onServerEvent(const store::ObjectEvent& event);
    std::optional<pooling::ServerAnnouncement> readServer(const store::StoredObject& object);
    void onPromotionsListed(const std::vector<store::StoredObject>& objects,
                            const StoreVersion& version);
    void onPromotion(const store::StoredObject& object);
    void noteGroups(const EstateImage& image);
    void publishDirectory();
    void publishGroup(const GroupName& group);
    void publishNodes();
    void proveAtStart();
    bool needsProofOfServers(const GroupName& group) const;
    void askServers(const GroupName& group, TimePoint now);
    void askServersForProof(TimePoint now);
    void takeProofsOfServers();
    void onProof(const pooling::LeadershipProof& proof);
    failover::GroupFailover& failoverOf(const GroupName& group);

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
    failover::PromotionPace _movePace;
    std::map<GroupName, std::unique_ptr<failover::GroupFailover>> _failovers;
    /** Version of the newest list of promotion records. */
    StoreVersion _promotionsListed;
    std::map<GroupName, std::unique_ptr<failover::LeadershipProbe>> _probes;
    PromotionRecordReader _recordReader;
    pooling::ReaderTree _readers;
    pooling::ProofExchange _proofs;
    std::map<GroupName, TimePoint> _toldProofs;
    std::vector<std::unique_ptr<KindSink>> _sinks;
    std::unique_ptr<StoreFollower> _follower;
    std::vector<pooling::ProxyNode> _publishedNodes;
    /** Number of the list from which the nodes were published last. */
    std::size_t _publishedList = 0;
    /** Version of each group's record that the pooler knows. */
    std::map<GroupName, StoreVersion> _toldVersions;
    std::set<GroupName> _unproven;
    /** The proof that a start needs has been asked for. */
    bool _provenAtStart = false;
    TimePoint _nextExpiry{};
};

}  // namespace coralhoist::cluster
