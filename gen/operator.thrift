// Requests of operators to a proxy, and its answers. One connection carries many requests at a time; a response names
// its request. Frames: a length of four bytes, most significant first, then one message in the compact protocol.
namespace cpp coralhoist.gen

// Settings

// One version of one node of the settings tree.
struct SettingsNodeRecord {
  1: required string path
  2: required i64 version
  3: required bool deleted
  4: required string document     // JSON of the node's own values
  5: required string operationId  // names the edit that made this version
  6: required string author
}

struct SettingsGetRequest { 1: required string path }
struct SettingsGetResponse {
  1: optional SettingsNodeRecord node   // absent: the tree has no such node
  2: required i64 freshestVersion       // of the whole tree on this proxy
}

struct SettingsListRequest { 1: required string path }   // this node and those below it
struct SettingsListResponse { 1: required list<SettingsNodeRecord> nodes, 2: required bool truncated }

struct SettingsEditRequest {
  1: required string path
  2: required i64 basedOnVersion  // version that the edit replaces; 0: the node must not exist
  3: required bool deleteNode
  4: required string document     // the node's new document; empty when deleteNode
  5: required string operationId  // unique; a repeat with the same id never takes effect twice
  6: required string author
  7: required bool dryRun         // validate only
}
enum EditOutcome {
  Accepted = 1                    // in the platform's store
  Conflict = 2                    // basedOnVersion is not current; nothing was changed
  Refused = 3                     // breaks rules; nothing was changed
  Unknown = 4                     // the store did not answer; ask again with the same operation id
}
struct SettingsEditResponse {
  1: required EditOutcome outcome
  2: optional i64 version                // Accepted: the node's new version
  3: optional SettingsNodeRecord current // Conflict: what the node is now; absent when there is none
  4: required list<string> problems      // Refused: each fault; Unknown: why
}

struct SettingsEffectiveRequest { 1: required string path }
struct EffectiveSetting {
  1: required string key
  2: required string value
  3: required string source       // path of the node that sets it, or "default"
}
struct SettingsEffectiveResponse {
  1: required list<EffectiveSetting> settings
  2: required i64 freshestVersion
}

struct SettingsChangeEvent {
  1: required i64 seenAtMilliseconds          // wall clock of this proxy since 1970
  2: required SettingsNodeRecord record
  3: optional SettingsNodeRecord previous     // what this proxy had in force before
}
struct SettingsWatchRequest { 1: required string path }  // this node and those below it; answers until cancelled
struct SettingsHistoryRequest { 1: required string path, 2: required i32 limit }
struct SettingsHistoryResponse { 1: required list<SettingsChangeEvent> changes }  // the latest first
struct SettingsFindOperationRequest { 1: required string operationId, 2: required string path }
struct SettingsFindOperationResponse { 1: optional SettingsNodeRecord record }    // absent: not known here

// Which members have a version of at least this one in force for the path.
struct SettingsInForceRequest { 1: required string path, 2: required i64 version }
struct SettingsInForceResponse {
  1: required list<string> inForce
  2: required list<string> missing      // live members that have not confirmed it
  3: required bool truncated            // the lists are cut; the counts are whole
  4: required i32 inForceCount
  5: required i32 missingCount
}

// Status and control

struct StatusRequest {}
struct MemberStatus {
  1: required string name
  2: required string zone
  3: required string address
  4: required string state              // alive, suspect, leaving, dead
}
struct ServerStatusEntry {
  1: required string name
  2: required string zone
  3: required string role               // primary, replica, unknown
  4: required string state              // serving, leaving, failed
  5: required i64 term
  6: required i64 receivedPosition
  7: required i64 replayedPosition
  8: required i32 connectionsInUse
  9: required i32 connectionsIdle
}
struct GroupStatusEntry {
  1: required string name
  2: required i64 term
  3: optional string primary
  4: required list<string> activeOwners
  5: required list<string> standbyOwners
  6: required i32 urgentQueueLength
  7: required i32 ordinaryQueueLength
  8: required list<ServerStatusEntry> servers
}
struct SessionSummary {
  1: required i64 open
  2: required i64 active
  3: required i64 inTransaction
}
struct StatusResponse {
  1: required string node
  2: required bool ready
  3: required string readinessReason    // why it is not ready; empty when ready
  4: required bool draining
  5: required i64 freshestSettingsVersion
  6: required bool platformReachable
  7: required list<MemberStatus> members
  8: required list<GroupStatusEntry> groups
  9: required SessionSummary sessions
  10: required list<string> faults
  11: required i64 uptimeMilliseconds
  12: required string version
}

struct DrainRequest {
  1: optional string node               // a proxy; absent and no server: the one that is asked
  2: optional string group              // with server: a database server of this group
  3: optional string server
  4: required bool undo
  5: required string operationId
  6: required string author
}
struct DrainResponse { 1: required string message }

struct VersionRequest {}
struct VersionResponse { 1: required string version, 2: required string node }

// Ends the answers to an earlier request of this connection. It has no answer of its own.
struct CancelRequest { 1: required i64 requestId }

// Envelopes

union OperatorRequestBody {
  1: SettingsGetRequest settingsGet
  2: SettingsListRequest settingsList
  3: SettingsEditRequest settingsEdit
  4: SettingsEffectiveRequest settingsEffective
  5: SettingsWatchRequest settingsWatch
  6: SettingsHistoryRequest settingsHistory
  7: SettingsFindOperationRequest settingsFindOperation
  8: SettingsInForceRequest settingsInForce
  9: StatusRequest status
  10: DrainRequest drain
  11: VersionRequest version
  12: CancelRequest cancel
}
struct OperatorRequest { 1: required i64 requestId, 2: required OperatorRequestBody body }

struct OperatorFailure {
  1: required i32 code                  // coralhoist::ErrorCode
  2: required string message
}
union OperatorResponseBody {
  1: SettingsGetResponse settingsGet
  2: SettingsListResponse settingsList
  3: SettingsEditResponse settingsEdit
  4: SettingsEffectiveResponse settingsEffective
  5: SettingsChangeEvent settingsChange // answer to a watch; more may follow
  6: SettingsHistoryResponse settingsHistory
  7: SettingsFindOperationResponse settingsFindOperation
  8: SettingsInForceResponse settingsInForce
  9: StatusResponse status
  10: DrainResponse drain
  11: VersionResponse version
  12: OperatorFailure failure           // ends a watch too
}
struct OperatorResponse { 1: required i64 requestId, 2: required OperatorResponseBody body }
