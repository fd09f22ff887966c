// How VMs pass on what the platform's store holds.
namespace py mirrors

struct Mirror {
  // The store's revision up to which the answering VM knows the kind; 0 if
  // it knows nothing.
  1: required i64 revision,
  // The objects, packed; empty if not newer than what was asked.
  2: required binary content,
}

service Mirrors {
  Mirror read(1: string kind, 2: i64 known_revision),
}
