// The smallest service: whether a peer answers, used by tests and checks.
namespace py probe

service Probe {
  binary echo(1: binary payload)
}
