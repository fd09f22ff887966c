// How VMs pass the tables on to one another.
namespace py configuration

struct RootReply {
  // The revision that the answering VM holds; 0 if it has none.
  1: i64 revision,
  // The root as canonical JSON; empty if not newer than what was asked.
  2: binary content,
  // Milliseconds since the platform confirmed it; -1 for never.
  3: i64 age_ms,
  // How many VMs were alive at that confirmation.
  4: i32 fleet_size,
  // Whether the answering VM serves with it.
  5: bool is_serving,
  // Whether the platform has confirmed its root since it was started.
  6: bool is_witness,
}

struct Segment {
  1: string digest,
  2: binary content,
}

// A VM that the answering one knows, itself included.
struct Member {
  1: string name,
  2: string zone,
  3: string region,
  4: string address,
  5: bool is_alive,
}

service Configuration {
  RootReply read_root(1: i64 known_revision),
  // Answers those that it holds, as many as fit one message.
  list<Segment> read_segments(1: list<string> digests),
  // Hands over a root that has just been accepted, with its new segments;
  // answers whether it is in force now.
  bool offer_root(1: binary content, 2: list<Segment> segments),
  list<Member> list_members(),
}
