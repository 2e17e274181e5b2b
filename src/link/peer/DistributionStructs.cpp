#include "link/peer/DistributionStructs.h"

#include <limits>
#include <utility>

#include "base/Error.h"
#include "link/peer/RecordBatchCodec.h"
#include "link/peer/SumsCodec.h"

namespace coralhoist::peer {
namespace {

Status violation(const char* reason) {
    return {ErrorCode::ProtocolViolation, reason};
}

std::vector<gen::ObjectVersion> versionsToThrift(const std::vector<zone::ObjectVersion>& versions) {
    std::vector<gen::ObjectVersion> encoded(versions.size());
    for (std::size_t index = 0; index < versions.size(); ++index) {
        encoded[index].__set_path(versions[index].path);
        encoded[index].__set_version(static_cast<std::int64_t>(versions[index].version));
    }
    return encoded;
}

std::vector<zone::ObjectVersion> versionsFromThrift(
    const std::vector<gen::ObjectVersion>& encoded) {
    std::vector<zone::ObjectVersion> versions;
    versions.reserve(encoded.size());
    for (const gen::ObjectVersion& object : encoded) {
        versions.push_back({object.path, static_cast<std::uint64_t>(object.version)});
    }
    return versions;
}

std::vector<std::string> namesToThrift(const std::vector<NodeName>& names) {
    std::vector<std::string> encoded;
    encoded.reserve(names.size());
    for (const NodeName& name : names) {
        encoded.push_back(name.value());
    }
    return encoded;
}

std::vector<NodeName> namesFromThrift(const std::vector<std::string>& encoded) {
    return {encoded.begin(), encoded.end()};
}

/** Fills the union from each kind of body. */
class BodyEncoder {
public:
    explicit BodyEncoder(gen::DistributionBody& body) : _body(body) {}

    void operator()(const zone::Announcement& message) {
        gen::Announcement encoded;
        encoded.__set_versions(versionsToThrift(message.versions));
        _body.__set_announcement(encoded);
    }
    void operator()(const zone::FetchRequest& message) {
        gen::FetchRequest encoded;
        encoded.__set_paths(message.paths);
        _body.__set_fetchRequest(encoded);
    }
    void operator()(const zone::FillRequest& message) {
        gen::FillRequest encoded;
        encoded.__set_buckets(encodeBuckets(message.buckets));
        _body.__set_fillRequest(encoded);
    }
    void operator()(const zone::RecordBatch& message) {
        _body.__set_recordBatch(batchToThrift(message));
    }
    void operator()(const zone::ReplicaDigest& message) {
        gen::ReplicaDigest encoded;
        encoded.__set_digest(static_cast<std::int64_t>(message.digest));
        encoded.__set_freshestVersion(static_cast<std::int64_t>(message.freshestVersion));
        encoded.__set_completeUpTo(static_cast<std::int64_t>(message.completeUpTo));
        encoded.__set_ready(message.ready);
        if (message.platformAge) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(*message.platformAge);
            encoded.__set_platformAgeMilliseconds(age.count());
        }
        encoded.__set_recent(versionsToThrift(message.recent));
        encoded.__set_isAnswer(message.isAnswer);
        _body.__set_replicaDigest(encoded);
    }
    void operator()(const zone::BucketComparison& message) {
        gen::BucketComparison encoded;
        encoded.__set_sums(encodeSums(message.sums));
        _body.__set_bucketComparison(encoded);
    }
    void operator()(const zone::SubBucketComparison& message) {
        gen::SubBucketComparison encoded;
        for (const zone::SubBucketSums& bucket : message.buckets) {
            gen::SubBucketSums sums;
            sums.__set_bucket(static_cast<std::int16_t>(bucket.bucket));
            sums.__set_sums(encodeSums(bucket.sums));
            encoded.buckets.push_back(std::move(sums));
        }
        _body.__set_subBucketComparison(encoded);
    }
    void operator()(const zone::VersionComparison& message) {
        gen::VersionComparison encoded;
        for (const zone::SubBucketVersions& part : message.parts) {
            gen::SubBucketVersions versions;
            versions.__set_bucket(static_cast<std::int16_t>(part.bucket));
            versions.__set_subBucket(static_cast<std::int16_t>(part.subBucket));
            versions.__set_versions(versionsToThrift(part.versions));
            encoded.parts.push_back(std::move(versions));
        }
        _body.__set_versionComparison(encoded);
    }
    void operator()(const zone::InForceQuery& message) {
        gen::InForceQuery encoded;
        encoded.__set_id(static_cast<std::int64_t>(message.id));
        encoded.__set_scope(static_cast<gen::InForceScope::type>(message.scope));
        encoded.__set_object(versionsToThrift({message.object}).front());
        encoded.__set_members(namesToThrift(message.members));
        _body.__set_inForceQuery(encoded);
    }
    void operator()(const zone::InForceReply& message) {
        gen::InForceReply encoded;
        encoded.__set_id(static_cast<std::int64_t>(message.id));
        encoded.__set_inForce(static_cast<std::int32_t>(message.summary.inForce));
        encoded.__set_lacking(static_cast<std::int32_t>(message.summary.lacking));
        encoded.__set_silent(static_cast<std::int32_t>(message.summary.silent));
        encoded.__set_examples(namesToThrift(message.summary.examples));
        _body.__set_inForceReply(encoded);
    }

private:
    gen::DistributionBody& _body;
};

zone::ReplicaDigest digestFromThrift(const gen::ReplicaDigest& encoded) {
    zone::ReplicaDigest digest;
    digest.digest = static_cast<std::uint64_t>(encoded.digest);
    digest.freshestVersion = static_cast<std::uint64_t>(encoded.freshestVersion);
    digest.completeUpTo = static_cast<std::uint64_t>(encoded.completeUpTo);
    digest.ready = encoded.ready;
    if (encoded.__isset.platformAgeMilliseconds && encoded.platformAgeMilliseconds >= 0) {
        digest.platformAge = std::chrono::milliseconds(encoded.platformAgeMilliseconds);
    }
    digest.recent = versionsFromThrift(encoded.recent);
    digest.isAnswer = encoded.isAnswer;
    return digest;
}

zone::SubBucketComparison comparisonFromThrift(const gen::SubBucketComparison& encoded) {
    zone::SubBucketComparison comparison;
    comparison.buckets.reserve(encoded.buckets.size());
    for (const gen::SubBucketSums& bucket : encoded.buckets) {
        comparison.buckets.push_back(
            {static_cast<std::uint16_t>(bucket.bucket), decodeSums(bucket.sums)});
    }
    return comparison;
}

zone::VersionComparison comparisonFromThrift(const gen::VersionComparison& encoded) {
    zone::VersionComparison comparison;
    comparison.parts.reserve(encoded.parts.size());
    for (const gen::SubBucketVersions& part : encoded.parts) {
        comparison.parts.push_back({static_cast<std::uint16_t>(part.bucket),
                                    static_cast<std::uint16_t>(part.subBucket),
                                    versionsFromThrift(part.versions)});
    }
    return comparison;
}

Status decodeBody(const gen::DistributionBody& body, zone::DistributionMessage& message) {
    if (body.__isset.announcement) {
        message.body = zone::Announcement{versionsFromThrift(body.announcement.versions)};
    } else if (body.__isset.fetchRequest) {
        message.body = zone::FetchRequest{body.fetchRequest.paths};
    } else if (body.__isset.fillRequest) {
        const auto buckets = decodeBuckets(body.fillRequest.buckets);
        if (!buckets.isOk()) {
            return buckets.status();
        }
        message.body = zone::FillRequest{buckets.value()};
    } else if (body.__isset.recordBatch) {
        auto batch = batchFromThrift(body.recordBatch);
        if (!batch.isOk()) {
            return batch.status();
        }
        message.body = std::move(batch).value();
    } else if (body.__isset.replicaDigest) {
        message.body = digestFromThrift(body.replicaDigest);
    } else if (body.__isset.bucketComparison) {
        message.body = zone::BucketComparison{decodeSums(body.bucketComparison.sums)};
    } else if (body.__isset.subBucketComparison) {
        message.body = comparisonFromThrift(body.subBucketComparison);
    } else if (body.__isset.versionComparison) {
        message.body = comparisonFromThrift(body.versionComparison);
    } else if (body.__isset.inForceQuery) {
        const gen::InForceQuery& query = body.inForceQuery;
        const int scope = query.scope;
        if (scope < gen::InForceScope::Member || scope > gen::InForceScope::Region) {
            return violation("unknown scope of a query");
        }
        message.body = zone::InForceQuery{
            static_cast<std::uint64_t>(query.id), static_cast<zone::InForceScope>(scope),
            versionsFromThrift({query.object}).front(), namesFromThrift(query.members)};
    } else if (body.__isset.inForceReply) {
        const gen::InForceReply& reply = body.inForceReply;
        message.body = zone::InForceReply{
            static_cast<std::uint64_t>(reply.id),
            {static_cast<std::uint32_t>(reply.inForce), static_cast<std::uint32_t>(reply.lacking),
             static_cast<std::uint32_t>(reply.silent), namesFromThrift(reply.examples)}};
    } else {
        return violation("distribution message without a known body");
    }
    return Status::ok();
}

}  // namespace

gen::DistributionMessage toThrift(const zone::DistributionMessage& message) {
    gen::DistributionMessage encoded;
    encoded.__set_sender(message.sender.name.value());
    encoded.__set_address(message.sender.address.host);
    encoded.__set_port(message.sender.address.port);
    encoded.__set_region(message.region.value());
    encoded.__set_zone(message.zone.value());
    std::visit(BodyEncoder(encoded.body), message.body);
    return encoded;
}

StatusWith<zone::DistributionMessage> fromThrift(const gen::DistributionMessage& encoded) {
    const bool portInRange =
        encoded.port > 0 && encoded.port <= std::numeric_limits<std::uint16_t>::max();
    if (encoded.sender.empty() || encoded.address.empty() || !portInRange) {
        return violation("invalid sender of a distribution message");
    }
    zone::DistributionMessage message;
    message.sender = {NodeName(encoded.sender),
                      {encoded.address, static_cast<std::uint16_t>(encoded.port)}};
    message.region = RegionName(encoded.region);
    message.zone = ZoneName(encoded.zone);
    Status decoded = decodeBody(encoded.body, message);
    if (!decoded.isOk()) {
        return decoded;
    }
    return message;
}

}  // namespace coralhoist::peer
