// Connections to upstreams that one VM opens for another.
namespace py tunnels

enum Outcome {
  // From now on the connection carries the bytes of the upstream's connection,
  // unframed, in both directions.
  OPEN = 1,
  // The answering VM reaches other upstreams, but not this one.
  UNREACHABLE = 2,
  // It has not reached any upstream lately.
  CUT_OFF = 3,
  // It is stopping, or forwards as many connections as it may.
  BUSY = 4,
  // Its tables have no upstream at this address.
  UNKNOWN = 5,
}

service Tunnels {
  Outcome open(1: string address),
}
