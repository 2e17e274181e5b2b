// Messages on the TCP link between two proxies. The protocol is described in src/link/peer/README.md.
namespace cpp coralhoist.gen

include "execution.thrift"

enum HelloVerdict {
  Proposed = 0     // sent by the side that opened the connection
  Accepted = 1     // the link is up
  Duplicate = 2    // another connection of this pair is preferred; this one is closed
  Incompatible = 3 // protocol versions differ; this connection is closed
}

// First message in each direction.
struct Hello {
  1: required i32 protocolVersion
  2: required string node
  3: required string zone
  // Random number of the process: tells a restarted node from a reconnecting one.
  4: required i64 instance
  // Counts the connections the process has opened to this peer.
  5: required i64 attempt
  6: required i32 verdict         // HelloVerdict
}

// Sent on a link in use when nothing else was sent for a while. The receiver answers with a reply,
// which is not answered.
struct Heartbeat { 1: required bool reply }

enum GoodbyeKind {
  Propose = 0 // the sender wants to close an idle link and sends no more requests
  Refuse = 1  // the receiver of the proposal still uses the link; it stays
}

struct Goodbye {
  1: required i32 kind            // GoodbyeKind
}

// An opaque message of the settings distribution.
struct SettingsFrame { 1: required binary payload }

union PeerMessage {
  1: Hello hello
  2: Heartbeat heartbeat
  3: Goodbye goodbye
  4: execution.Execute execute
  5: execution.ResponseChunk responseChunk
  6: execution.ExecutionEnd executionEnd
  7: execution.Credit credit
  8: execution.Cancel cancel
  9: execution.EndSession endSession
  10: SettingsFrame settingsFrame
}
