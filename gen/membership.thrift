// Failure detection and dissemination of members; sent as UDP datagrams between proxies.
namespace cpp coralhoist.gen

enum MemberLiveness { Alive = 0, Suspect = 1, Dead = 2 }

struct Member {
  1: required string name
  2: required i64 incarnation
  3: required MemberLiveness liveness
  4: optional bool leaving
  // Absent when only the death of the member is told.
  5: optional string region
  6: optional string zone
  7: optional string address      // IP number
  8: optional i32 port            // peer port, TCP and UDP
  // Suspect: who failed to reach the member.
  9: optional string suspectedBy
}

enum MembershipKind {
  Ping = 0,            // direct probe
  Ack = 1,             // answer to a probe
  IndirectPing = 2,    // asks the receiver to probe target and to pass the answer on
  Gossip = 3,          // updates only
  Join = 4,            // asks for members of the sender's region
  BucketHashes = 5,    // asks for the members of the buckets in which the receiver differs
  ContactRequest = 6,  // asks for contacts
  ContactReply = 7,    // members of the sender's region and contacts in other regions
  Members = 8          // answer to Join and BucketHashes
}

struct MembershipMessage {
  1: required MembershipKind kind
  2: required Member sender
  3: required i64 sequence
  4: required i64 viewHash        // of the live members of the sender's region
  5: required i32 memberCount     // live members of the sender's region
  6: optional Member target       // IndirectPing: the member to probe
  7: required list<Member> updates
  8: optional binary bucketHashes // 4 bytes a bucket
}
