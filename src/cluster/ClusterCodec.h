/** What an adapter supplies to read and write the objects that a cluster keeps in its store. */
#pragma once

#include <optional>
#include <string>

#include "base/Status.h"
#include "cluster/EstateImport.h"
#include "failover/PromotionRecord.h"
#include "link/socket/HttpCaller.h"
#include "link/store/ObjectProtocol.h"
#include "pooling/ExecutorPlacement.h"
#include "pooling/ServerDirectory.h"
#include "tenancy/QuotaShardRecord.h"

namespace coralhoist::cluster {

/** Names of the kinds of objects. */
struct ClusterKinds {
    std::string settings;
    std::string servers;
    std::string promotions;
    std::string nodes;
    std::string quotaShards;
    std::string evacuations;
};

/** Turns objects into the product's types and back. Decides nothing. */
class ClusterCodec {
public:
    virtual ~ClusterCodec() = default;

    virtual ClusterKinds kinds() const = 0;

    /** An object that others may write, too. @return a server, or why it names none. */
    virtual StatusWith<pooling::ServerAnnouncement> readServer(
        const store::StoredObject& object) const = 0;

    /** @return the zone that the object asks to be evacuated, or why it names none. */
    virtual StatusWith<ZoneName> readEvacuation(const store::StoredObject& object) const = 0;

    /** Each returns nothing for an object that can't be understood. */
    virtual std::optional<EstateImage> readEstate(const store::StoredObject& object) const = 0;
    virtual std::optional<failover::PromotionRecord> readPromotion(
        const store::StoredObject& object) const = 0;

    virtual std::optional<pooling::ProxyNode> readNode(const store::StoredObject& object) const = 0;

    /**
     * @param replacedVersion token of the version of the registration that is replaced; 0 for none.
     * It goes into the object, so that each writing changes it, also after a restart: the store
     * raises no version for what stands there already, and a renewal is known by its version alone.
     */
    virtual store::StoredObject writeNode(const pooling::ProxyNode& node,
                                          std::uint64_t replacedVersion) const = 0;

    virtual store::StoredObject writePromotion(const GroupName& group,
                                               const failover::PromotionRecord& record) const = 0;

    /** Each shard of tenants has one object. */
    virtual std::optional<tenancy::QuotaShardRecord> readQuotaShard(
        const store::StoredObject& object) const = 0;
    virtual store::StoredObject writeQuotaShard(const std::string& name,
                                                const tenancy::QuotaShardRecord& record) const = 0;

    /** The call that promotes a server. */
    virtual socket::HttpCall promoteCall(const GroupName& group, const ServerName& server,
                                         const NodeName& holder, std::uint64_t fence) const = 0;

    /** How the answer to promoteCall ended. */
    virtual failover::PromoteOutcome readPromoteAnswer(const socket::HttpAnswer& answer) const = 0;
};

}  // namespace coralhoist::cluster
