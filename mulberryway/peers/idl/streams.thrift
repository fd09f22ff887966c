// Which software version began a stream, asked where a caller resumes it.
namespace py streams

struct VersionReply {
  // Of the stream, if the answering VM knows it.
  1: optional string version,
  // Otherwise the only version that has served the pool for as long as was
  // asked; none if there were several, or if the VM cannot tell.
  2: optional string sole_version,
}

service Streams {
  // With a window of 0 ms only a record is asked for.
  VersionReply find_version(1: binary stream, 2: string pool, 3: i32 window_ms)
}
