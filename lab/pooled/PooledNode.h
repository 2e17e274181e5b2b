/** One simulated node: the real pooler and failovers, and callers' sessions on it. */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "failover/GroupFailovers.h"
#include "failover/LeadershipProbe.h"
#include "lab/pooled/LogConnector.h"
#include "lab/pooled/LogGroup.h"
#include "lab/pooled/PooledJudge.h"
#include "lab/pooled/RecordStore.h"
#include "lab/pooled/ScriptedPlacement.h"
#include "lab/pooled/UnitNetwork.h"
#include "pooling/ProofExchange.h"
#include "pooling/StatementPooler.h"

namespace coralhoist::pooled {

/** What all nodes of a run share. All outlive the nodes. */
struct PooledWorld {
    simulation::EventQueue& queue;
    SeededRandom& random;
    PooledJudge& judge;
    RequestBook& book;
    RecordStore& store;
    UnitNetwork& network;
    /** Nodes that execute a group's statements; the others forward. */
    std::uint32_t executors = 0;
    std::vector<LogGroup*> groups;
    std::shared_ptr<const pooling::ServiceCatalog> catalog;
    bool readOnly = false;
    /** Nodes take every primary as proven at all times: the judge must find violations. */
    bool trustsPrimaries = false;
    std::uint64_t lastCommit = 0;
    std::uint64_t lastRequest = 0;
    std::uint64_t lastSession = 0;
};

/** @return the services of a group: current, bounded and own reads. */
std::shared_ptr<const pooling::ServiceCatalog> makeWorkloadCatalog(
    const std::vector<LogGroup*>& groups);

/** @return the settings in which the services of own reads have the group after theirs. */
std::shared_ptr<const pooling::ServiceCatalog> moveServices(const pooling::ServiceCatalog& catalog,
                                                            const std::vector<LogGroup*>& groups);

/** A node from its start to its end. */
class PooledNode final : public pooling::PoolerOutput, public pooling::RecordReader {
public:
    PooledNode(PooledWorld& world, std::string name, std::size_t sessionsPerService);
    ~PooledNode() override;

    /** Called every few milliseconds. */
    void step();

    /** Ends the node; what is on its way to it is dropped. */
    void end() { _activity->end(); }
    void freeze() { _activity->freeze(); }
    void thaw() { _activity->thaw(); }
    /** Applies the newest settings; a node that is frozen does so when it goes on. */
    void followSettings();
    /** Cuts the node off from the store. */
    void setStoreCut(bool cut);
    ScriptedPlacement& placement() { return _placement; }
    LogConnector& connector() { return _connector; }
    const LogConnector& connector() const { return _connector; }
    std::uint64_t acknowledged() const { return _acknowledged; }
    /** @return proofs of leadership that the servers gave. */
    std::uint64_t provenByServers() const { return _provenByServers; }
    /** @return readings of the store for proofs of leadership. */
    std::uint64_t recordReadings() const { return _recordReadings; }
    /** @return planned moves of primaries that it carried out. */
    std::uint64_t plannedMoves() const { return _failovers.plannedMoves(); }
    /** @return statements that other nodes executed for this one. */
    std::uint64_t forwarded() const { return _pooler.statistics().forwarded; }

private:
    /** What a session does. */
    struct Caller {
        SessionId session;
        std::uint64_t number = 0;
        ServiceName service;
        ReadPromise promise = ReadPromise::Current;
        Duration staleness{0};
        TimePoint nextAt{};
        /** Statements of the running operation that are still to be sent. */
        std::vector<pooling::Statement> remaining;
        bool inTransaction = false;
        bool writes = false;
        CommitId commit = 0;
        TimePoint since{};
        std::string lastText;
    };

    /** What the watches of the store show at a moment. */
    struct StoreView {
        std::map<GroupName, std::vector<pooling::ServerAnnouncement>> announcements;
        std::map<GroupName, StoreVersion> versions;
        /** In the order of the world's groups. */
        std::vector<failover::PromotionRecord> records;
        std::uint64_t era = 0;
    };

    void reply(SessionId session, pooling::StatementResult result) override;
    void closeSession(SessionId session) override;
    void wantLeadershipProof(const GroupName& group) override;
    void suspectPrimary(const GroupName& group, const ServerName& server,
                        pooling::SuspicionReason reason) override;
    void primaryChanged(const GroupName& group) override { _failovers.wake(group); }

    failover::RoundEvents roundEvents();
    std::unique_ptr<failover::GroupFailover> makeFailover(const GroupName& group);
    void openCallers(std::size_t sessionsPerService);
    void follow();
    void applyView(const StoreView& view);
    bool applyAnnouncements(const GroupName& group,
                            const std::vector<pooling::ServerAnnouncement>& announcements,
                            const StoreVersion& version);
    void readRecords(Callback callback) override;
    void onProof(const pooling::LeadershipProof& proof);
    bool needsProofOfServers(const GroupName& group) const;
    void proveByServers();
    void startOperation(Caller& caller);
    void sendNext(Caller& caller);
    void endOperation(Caller& caller);
    void judge(Caller& caller, const pooling::StatementResult& result);

    PooledWorld& _world;
    std::string _name;
    std::shared_ptr<NodeActivity> _activity;
    LogConnector _connector;
    StoreEra _era;
    StoreClient _storeClient;
    bool _storeCut = false;
    ScriptedPlacement _placement;
    failover::ReportParser _parser;
    pooling::ServerDirectory _directory;
    pooling::StatementPooler _pooler;
    std::shared_ptr<NodeEndpoint> _endpoint;
    SimulatedForwarder _forwarder;
    SimulatedProofLinks _proofLinks;
    pooling::ReaderTree _readers;
    pooling::ProofExchange _proofs;
    failover::GroupFailovers _failovers;
    /** Groups whose servers are asked who leads, as of the last round. */
    std::set<GroupName> _confirming;
    std::map<SessionId, Caller> _callers;
    std::set<GroupName> _unproven;
    std::map<GroupName, std::unique_ptr<failover::LeadershipProbe>> _probes;
    std::map<GroupName, TimePoint> _toldProofs;
    TimePoint _nextFollow{};
    std::uint64_t _acknowledged = 0;
    std::uint64_t _provenByServers = 0;
    std::uint64_t _recordReadings = 0;
};

}  // namespace coralhoist::pooled
