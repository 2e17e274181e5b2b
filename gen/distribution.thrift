// Distribution of settings objects between proxies.
namespace cpp coralhoist.gen

include "membership.thrift"

struct SettingsObject {
  1: required string path         // "estate", "estate/GROUP" or "estate/GROUP/SERVICE"
  2: required i64 version         // the platform's resourceVersion; the higher one wins
  3: required bool deleted
  4: required string document     // JSON of the node's own values
  5: optional string operationId
  6: optional string author
}

struct ObjectVersion { 1: required string path, 2: required i64 version }

struct Announcement { 1: required list<ObjectVersion> versions }

struct FetchRequest { 1: required list<string> paths }

// Buckets are a bit set of 32 bytes, the lowest bit of the first byte for bucket 0.
struct FillRequest { 1: required binary buckets }

struct RecordList { 1: required list<SettingsObject> records }

struct RecordBatch {
  // A RecordList; compressed by zlib in the format of qCompress if compressed is set.
  1: required binary records
  2: required bool compressed
  3: optional binary filledBuckets
}

struct ReplicaDigest {
  1: required i64 digest
  2: required i64 freshestVersion
  3: required i64 completeUpTo
  4: required bool ready
  5: optional i64 platformAgeMilliseconds
  6: required list<ObjectVersion> recent
  7: required bool isAnswer
}

// Sums are 4 bytes each, little-endian.
struct BucketComparison { 1: required binary sums }

struct SubBucketSums { 1: required i16 bucket, 2: required binary sums }

struct SubBucketComparison { 1: required list<SubBucketSums> buckets }

struct SubBucketVersions {
  1: required i16 bucket
  2: required i16 subBucket
  3: required list<ObjectVersion> versions
}

struct VersionComparison { 1: required list<SubBucketVersions> parts }

enum InForceScope { Member = 0, Slice = 1, Zone = 2, Region = 3 }

struct InForceQuery {
  1: required i64 id
  2: required InForceScope scope
  3: required ObjectVersion object
  4: required list<string> members
}

struct InForceReply {
  1: required i64 id
  2: required i32 inForce
  3: required i32 lacking
  4: required i32 silent
  5: required list<string> examples
}

union DistributionBody {
  1: Announcement announcement
  2: FetchRequest fetchRequest
  3: FillRequest fillRequest
  4: RecordBatch recordBatch
  5: ReplicaDigest replicaDigest
  6: BucketComparison bucketComparison
  7: SubBucketComparison subBucketComparison
  8: VersionComparison versionComparison
  9: InForceQuery inForceQuery
  10: InForceReply inForceReply
}

struct DistributionMessage {
  1: required string sender
  2: required string address      // IP number of the sender
  3: required i32 port            // its peer port
  4: required string region
  5: required string zone
  6: required DistributionBody body
}

// What a datagram between proxies holds.
union ControlDatagram {
  1: membership.MembershipMessage membership
  2: DistributionMessage distribution
}
