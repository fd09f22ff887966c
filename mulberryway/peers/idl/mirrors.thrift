// How VMs pass on what the platform's store holds.
namespace py mirrors

struct Mirror {
  // The store's revision up to which the answering VM knows the kind; 0 if
  // it knows nothing.
  1: required i64 revision,
  // The objects, packed; empty if not newer than what was asked.
  2: required binary content,
  // The store's era of the revision; unset by VMs that know no eras.
  3: optional i64 era,
  // What the VM uses in place of the store's objects, packed.
  4: optional binary carried,
  // The store's revision up to which the objects are complete, from which a
  // watch can continue; unset by VMs that know no eras.
  5: optional i64 complete_revision,
}

service Mirrors {
  Mirror read(1: string kind, 2: i64 known_revision, 3: i64 known_era),
}
