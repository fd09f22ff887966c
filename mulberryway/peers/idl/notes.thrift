// What routers that share upstreams tell one another; hints only.
namespace py notes

struct Holding {
  1: required string pool,
  2: required string upstream,
  3: required i32 decodes,
  // Since the sender's last note about this upstream.
  4: required i64 prefill_ms,
  5: required i32 suspects,
  6: required i32 blocks,
  7: optional i32 step_ms,
  // How the sender's requests and probes there ended since its last note
  // about this upstream.
  8: optional i32 succeeded,
  9: optional i32 failed,
  10: optional i32 unreached,
  11: optional i32 probes_passed,
  12: optional i32 probes_failed,
  // KV cache blocks that its streams fill now; "blocks" is what they may fill.
  13: optional i32 present_blocks,
}

struct AccountNote {
  1: required string pool,
  2: required string account,
  3: required i32 weight,
  4: required i64 charged,
  5: required i32 waiting,
  6: required i32 oldest_ms,
  7: optional i32 prefill_ms,
}

// The waiting jobs of one rank in a pool.
struct RankNote {
  1: required string pool,
  2: required i32 rank,
  3: required i32 waiting,
  4: required i32 oldest_ms,
}

struct Death {
  1: required string digest,
  2: required string upstream,
  3: required i32 age_ms,
  4: required bool proven,
}

struct Note {
  1: required string vm,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required list<Holding> holdings,
  5: required list<AccountNote> accounts,
  6: required list<Death> deaths,
  7: optional list<RankNote> ranks,
}

// One engine's events; hashes are 8 bytes each, one after another.
struct CacheEvent {
  1: required i64 sequence,
  2: required binary stored,
  3: required binary removed,
}

// What one router learnt from an engine on behalf of those that share it.
struct EngineReport {
  1: required string pool,
  2: required string upstream,
  3: required i32 running,
  4: required i32 waiting,
  5: required i32 slots,
  6: required i64 free_blocks,
  7: required i64 total_blocks,
  8: required list<string> models,
  9: required list<CacheEvent> events,
}

// What one VM has given an account since it began, and what it believes is
// left for all VMs together.
struct AccountUsage {
  1: required string account,
  2: required i64 spent,
  3: required i64 left,
}

struct MirrorState {
  1: required string kind,
  2: required i64 revision,
  // The store's era of the revision; unset by VMs that know no eras.
  3: optional i64 era,
  // Digest of what the VM uses in place of the store's objects; unset if it
  // uses none.
  4: optional i64 carried,
}

// A VM's own counts; each replaces the ones before.
struct Usage {
  1: required string vm,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required list<AccountUsage> accounts,
  5: required list<MirrorState> mirrors,
  // How long the VM has counted.
  6: required i32 age_ms,
  // Whether the platform's store answers it; none if it does not ask.
  7: optional bool is_store_reached,
  // Whether all accounts are told, not only those that changed of late.
  8: optional bool is_whole,
}

// Upstreams that a VM cannot reach directly; sent only while there are any,
// and once when there are none any more.
struct Paths {
  1: required string vm,
  2: required i64 incarnation,
  3: required i64 sequence,
  // Whether it reaches none; then no addresses are listed.
  4: optional bool is_cut_off,
  5: optional list<string> unreachable,
}

// The software version that wrote the first event of a stream.
struct StreamVersion {
  // Digest of the client account and of the caller's attempt.
  1: required binary stream,
  2: required string pool,
  3: required string version,
  // How long the stream may still be resumed.
  4: required i32 left_ms,
}

// What a VM has heard of the rate limit of an upstream.
struct RateLimit {
  1: required string upstream,
  // When the upstream's incarnation started, in ms of its own clock.
  2: required i64 started_ms,
  // Requests per second; none if it has no limit any more.
  3: optional double rate_per_s,
  // Time since the request was sent whose response said so.
  4: required i32 age_ms,
}

// A VM's calls to one server of a plain service.
struct ServerLoad {
  1: required string pool,
  2: required string server,
  // Sent and not answered yet.
  3: required i32 in_flight,
  // The counts are those since the sender's last report on this server.
  4: optional i32 completed,
  5: optional i32 rejected,
  // The sum of the completed calls' durations.
  6: optional i64 busy_ms,
}

// Only servers whose state has changed are told.
struct ServerLoads {
  1: required string vm,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required list<ServerLoad> loads,
}

struct Datagram {
  1: optional Note note,
  2: optional list<EngineReport> reports,
  3: optional Usage usage,
  4: optional Paths paths,
  5: optional list<StreamVersion> streams,
  6: optional ServerLoads server_loads,
}

// What one UDP datagram carries between VMs.
struct Envelope {
  // Encoded Datagrams.
  1: required list<binary> items,
  // The receiver passes the items on to the VMs of its zone and acknowledges
  // with this number.
  2: optional i64 relay_number,
  3: optional i64 acknowledged,
  // Whether the relay may keep the items for a moment, to send them along
  // with others.
  4: optional bool is_deferrable,
}
