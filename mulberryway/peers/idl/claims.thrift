// Calls that must run at most once: one VM writes a shard's log for others.
namespace py claims

// One attempt's wish to run a call.
struct Wish {
  1: required string digest,
  2: required i64 time_ms,
  3: required string call,
  4: required string owner,
}

// What became of a wish: a verdict with its record, or a fault's message.
struct Verdict {
  1: optional string verdict,
  2: optional string record,
  3: optional string fault,
}

service Claims {
  // Answers as many verdicts as there were wishes, in their order.
  list<Verdict> decide(1: i32 shard, 2: list<Wish> wishes, 3: i32 limit_ms),
  // Takes ends of calls; writes them at once if asked to.
  bool note_ends(1: i32 shard, 2: list<string> records, 3: bool at_once),
}
