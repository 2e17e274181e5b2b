// Statements forwarded to an owner proxy, and their answers. Fields of type i32 hold
// the values of the enumerations of the same name in src/contract and src/settings; a receiver refuses
// values out of range. Durations are in nanoseconds.
namespace cpp coralhoist.gen

struct OpTime { 1: required i64 term, 2: required i64 position }

// No value means NULL.
struct Parameter { 1: optional binary value, 2: required i32 format }

struct Step {
  1: required i32 action
  2: required i32 kind
  3: required binary sql
  4: required list<i32> parameterTypes
  5: required list<Parameter> parameters
  6: required i32 resultFormat
  7: required bool describeRows
  8: required bool changesSession
}

struct SessionParameter { 1: required binary name, 2: required binary value }

struct ServiceSettings {
  1: required string name
  2: required i32 readRouting
  3: required i32 priority
  4: optional i64 maxStaleness
  5: required i64 statementTimeout
  6: required i64 idleInTransactionTimeout
  7: required i64 transactionTimeout
  8: required i32 requestKeyPolicy
  9: required i64 connectionLimit
}

// Forwarder to owner: run a batch. Request and session numbers are the forwarder's.
struct Execute {
  1: required i64 request
  2: required i64 session
  3: required string group
  4: required string serviceName
  5: required list<Step> steps
  6: required i32 batchEnd
  7: required ServiceSettings serviceSettings
  // Time left until the deadline, in milliseconds: nodes share no clock.
  8: required i64 remainingMilliseconds
  9: optional OpTime floor
  10: optional binary requestKey
  11: optional i64 transaction
  12: required list<SessionParameter> sessionParameters
  // Bytes of response the owner may send before the first Credit.
  13: required i64 window
  // How often proxies have handed the request on, this time included.
  14: required i32 forwardings
}

// Owner to forwarder: a part of the response. A run of messages larger than one chunk is cut into
// fragments; the fragments up to one with lastFragment belong together.
struct ResponseChunk {
  1: required i64 request
  2: required i64 stepIndex
  3: required binary bytes
  4: required bool lastFragment
  5: required bool stepComplete
}

struct ExecutionError {
  1: required string sqlState
  2: required binary message
  3: required binary detail
  4: required binary hint
  5: required i32 runState
  6: required i64 retryAfter
  7: required i32 routingFailure
}

// Owner to forwarder: the request has ended, after all its chunks.
struct ExecutionEnd {
  1: required i64 request
  2: optional ExecutionError error
  3: required i32 transactionStatus
  4: optional i64 transaction
  5: optional OpTime observed
  6: required bool servedByReplica
}

// Forwarder to owner: so many more bytes of the response may be sent.
struct Credit { 1: required i64 request, 2: required i64 bytes }

// Forwarder to owner: the caller asked to cancel the request.
struct Cancel { 1: required i64 request }

// Forwarder to owner: abandon the session's request and roll back its transaction. No answer.
struct EndSession { 1: required i64 session }
