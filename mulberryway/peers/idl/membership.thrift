// What VMs tell one another about VMs; hints only.
namespace py membership

struct Member {
  1: required string name,
  2: required string address,
  3: required i32 peer_port,
  4: required i32 router_port,
  5: required string zone,
  6: required string region,
  7: required i64 incarnation,
  8: required i32 version,
  9: required i8 health,
  10: required bool is_stopping,
  11: optional binary holdings,
  12: optional bool is_starting,
  13: optional i32 link_mbps,
}

struct Hint {
  1: required string kind,
  2: required string key,
  3: required binary payload,
  4: required i64 number,
  5: required i32 left_ms,
}

// What goes along with each probe and each answer.
struct News {
  1: required Member sender,
  2: required i64 revision,
  3: required i32 streams,
  4: required i64 digest,
  5: required list<Member> members,
  6: required list<Hint> hints,
}

service Membership {
  // Answers that the VM lives; news go both ways.
  News probe(1: News news),
  // Probes another VM on behalf of a VM that cannot reach it.
  bool probe_for(1: string peer, 2: string name),
  // Returns all that is known; asked when digests differ.
  list<Member> list_all(),
}
