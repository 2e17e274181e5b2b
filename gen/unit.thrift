// Messages on the TCP link between two proxies that pool sessions: units of work that one node takes
// from its callers and another executes. The protocol is described in src/link/forwarding/README.md.
namespace cpp coralhoist.gen

struct UnitPosition {
  1: required i64 term
  2: required i64 number
}

struct UnitCommand {
  1: required string id
  2: required i32 verb               // pooling::StatementVerb
  3: required string text
  4: optional string name
  5: optional string argument
}

struct UnitShape {
  1: required bool writes
  2: required string shape
}

// What the executing node needs to know of the session and of its service.
struct UnitContext {
  1: required string serviceName
  2: required string groupName
  3: required bool primaryOnly
  4: required bool urgent
  5: optional i64 maximumStalenessUs
  6: required i64 timeoutUs
  7: required i64 objectiveUs
  8: required i64 idleInTransactionUs
  9: required UnitPosition ownFloor
  10: optional UnitCommand opener    // BEGIN, when the unit is a transaction
  11: optional string tenantName     // absent: on behalf of no tenant
  12: required i32 rank              // lower ones go first
  13: required i64 waitedUs          // since the caller first asked, refusals included
  14: optional i64 usefulForUs       // time for which an answer is still of use to the caller
}

// A statement of a unit. The first one of a unit carries the context.
struct UnitRequest {
  1: required i64 unit
  2: optional UnitContext context
  3: required UnitCommand command
  4: required map<string, string> values
  5: optional UnitShape shape        // for the execution of a prepared statement
}

struct UnitError {
  1: required i32 fault              // pooling::StatementFault
  2: required string message
  3: optional i64 retryAfterUs       // when a repetition has a chance
}

struct UnitAnswer {
  1: required i64 unit
  2: required list<string> rows
  3: required string signature
  4: optional UnitError error
  5: required i32 state              // pooling::SessionState
  6: required UnitPosition ownFloor
  // The node takes no new unit; nothing of this one has run.
  7: required bool notTaken
}

// A version in the store, with the era in which the store showed it.
struct StoreVersion {
  1: required i64 era
  2: required i64 revision
}

// Version of a group's promotion record in the store.
struct RecordVersion {
  1: required string groupName
  2: required StoreVersion version
}

// Asks for a proof of leadership: the versions of all promotion records at one moment.
struct ProofRequest {
  1: required i64 question           // chosen by the asking node, repeated in the reply
  2: required StoreVersion newestVersion  // newest record version that the asking node knows
  3: required i64 maximumAgeUs       // age that the proof may have
}

struct ProofReply {
  1: required i64 question
  2: optional i64 ageUs              // age of the proof when this is written; absent: there is none
  3: required list<RecordVersion> versions  // groups without a record are absent
  4: required i64 era                // of the store that showed them
}

// Asks for changes of the store's objects.
struct KindPosition {
  1: optional StoreVersion position  // absent: the asking node knows no object of the kind
}

struct ChangesRequest {
  1: required i64 question
  2: required list<KindPosition> positions  // in the order of the kinds that all nodes follow
  3: required string origin          // node from which the asking node's knowledge came
  4: required i64 era                // newest era of the store that the asking node knows
}

struct ObjectChange {
  1: required string name
  2: required StoreVersion version
  3: required bool removed
  4: required binary content         // as store::packContent makes it; empty when removed
}

struct ChangesOfKind {
  1: required i32 kind
  2: required bool complete          // these are all objects
  3: required StoreVersion position
  4: required list<ObjectChange> changes
}

struct ChangesReply {
  1: required i64 question
  2: required bool known             // false: the node can't tell
  3: required string origin
  4: required i64 era                // of the store that all of this is of
  5: required list<ChangesOfKind> kinds
  7: required list<i64> agesWhenAskedUs  // of each kind, as a list proved it; negative when proven while it waited
}

// What became of a batch of units.
struct QuotaSettlement {
  1: required i64 term
  2: required i64 number
  3: required i32 used
  4: required i64 lastUseAgeUs
}

// Asks for units of a tenant's quota.
struct QuotaRequest {
  1: required i64 question
  2: required string tenantName
  3: required i32 wanted
  4: required i64 usableForUs        // from the moment of asking
  5: required i32 hops
  6: optional list<QuotaSettlement> settled
  7: required bool leaderSilent      // the leader did not answer
  8: required list<i32> wantedByRank // sums up to `wanted`; rank 0 first
}

struct QuotaReply {
  1: required i64 question
  2: required bool declined          // nothing was granted: no leader could be asked
  3: required i32 granted
  4: required i64 retryAfterUs
  5: required bool scarce            // the tenant uses most of its quota
  6: required i64 term               // names the batch that was granted, with the next
  7: required i64 number
  8: required string leader
  9: required string standby
  10: required list<i32> grantedByRank // sums up to `granted`
}

// What one executor of a group has to do, told to the others while the group is crowded.
struct GroupLoadReport {
  1: required string sender
  2: required string groupName
  3: required list<i64> demandByRankUs // time of slots that waiting and running statements need
  4: required bool crowded             // the sender itself has a queue, or was refused, for want of room
}

// A batch of units that a standby counts.
struct LedgerBatch {
  1: required string tenantName
  2: required i64 term
  3: required i64 number
  4: required i32 units
  5: required i64 usableForUs        // below 0 when its units only count
}

// Keeps a standby's copy of the grants of a shard's leader up to date.
struct LedgerUpdateRequest {
  1: required i64 question
  2: required i32 shard
  3: required string leaderLife
  4: required i64 copy
  5: required bool whole             // the copy begins anew
  6: required bool released          // the leader grants no more
  7: required list<LedgerBatch> batches
  8: required bool offered           // the leader can't write the record
  9: required i64 sequence           // counts the updates of a copy
}

struct LedgerUpdateReply {
  1: required i64 question
  2: required bool accepted
  3: required string life
}

// One frame holds exactly one of these.
struct UnitFrame {
  1: optional UnitRequest request
  2: optional UnitAnswer answer
  3: optional i64 ended              // the unit is given up; no answer is expected
  4: optional bool heartbeat         // true asks for one in return
  5: optional bool leaving           // the sender takes no new units
  6: optional ProofRequest proofRequest
  7: optional ProofReply proofReply
  8: optional ChangesRequest changesRequest
  9: optional ChangesReply changesReply
  10: optional QuotaRequest quotaRequest
  11: optional QuotaReply quotaReply
  12: optional LedgerUpdateRequest ledgerRequest
  13: optional LedgerUpdateReply ledgerReply
  14: optional GroupLoadReport loadReport // no answer is expected
}
