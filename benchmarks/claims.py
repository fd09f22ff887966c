"""Platform calls and added latency of at-most-once execution.

``python -m benchmarks.claims`` claims calls from several VMs through the
platform stand-in.  It compares the batched log with the simplest version, one
object for each call: a conditional create before the call, an update after.
"""

import concurrent.futures
import itertools
import json
import typing

from benchmarks import usage
from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.controllers import claim_coordination
from mulberryway.controllers import claims
from mulberryway.load import outcome
from mulberryway.objects import call_metrics
from mulberryway.objects import http
from mulberryway.peers.gen.claims import Claims
from mulberryway.policy import claim_records
from mulberryway.policy import member
from tests import processes

__all__ = ["measure"]

RUN_MS = 3_000
SERVICE_MS = 5
SECRET = "bench"
TIMEOUT_MS = 2_000
# Number of VMs, and of callers per VM that book in a closed loop.
CASES = ((1, 1), (1, 8), (1, 32), (3, 8), (9, 1), (9, 8))
CLOCK = clock.SystemClock()
REPLY = claim_records.CachedReply(
    201, [("Content-Type", "application/json")], b'{"booking": 123456}'
)


class Fleet:
    """The member list that all VMs of one case share."""

    def __init__(self) -> None:
        self.members: list[member.Member] = []


class Vm:
    """A VM that executes calls at most once; subclasses choose the method."""

    def __init__(self, name: str, port: int, fleet: Fleet) -> None:
        self.name = name
        self.refused: list[str] = []
        self.store = http.HttpObjectStore(
            f"http://{processes.HOST}:{port}",
            TIMEOUT_MS,
            CLOCK,
            call_metrics.InMemoryCallCounter(),
        )

    def book(self, key: str) -> float:
        """Claim, execute and complete one call.

        :param key: the call's idempotency key
        :returns: latency added by the claim in ms
        """
        raise NotImplementedError

    def stop(self) -> None:
        """Flush pending writes and stop."""


class LogVm(Vm):
    """A VM that claims calls in the batched log."""

    def __init__(self, name: str, port: int, fleet: "Fleet") -> None:
        super().__init__(name, port, fleet)
        peers_ = peers.PeerClient(SECRET, CLOCK)
        self.claims = claims.ClaimStore(
            self.store,
            CLOCK,
            name,
            1,
            peers=peers_,
            find_coordinator=claim_coordination.make_coordinator_finder(
                name, self.list_candidates
            ),
        )
        self.server = peers.PeerServer(
            processes.HOST,
            0,
            SECRET,
            {"Claims": Claims.Processor(self.claims.handler)},
            CLOCK,
        )
        self.server.start()
        own = member.Member(
            name, processes.HOST, self.server.port, 0, "z", "r", 1
        )
        fleet.members.append(own)
        self.own = own
        self.fleet = fleet
        self.claims.start()

    def list_candidates(self) -> list[member.Member]:
        """Return the VMs that may be chosen as coordinator."""
        return self.fleet.members

    def book(self, key: str) -> float:
        began_ms = CLOCK.now_ms()
        deadline = clock.Deadline(began_ms + TIMEOUT_MS)
        claim = self.claims.begin("bench", key, "c", deadline)
        added_ms = CLOCK.now_ms() - began_ms
        if claim.is_error():
            self.refused.append(claim.error.message)
            return added_ms
        CLOCK.sleep_ms(SERVICE_MS)
        self.claims.end(claim.ok, errors.ExecutionStatus.RAN, REPLY)
        return added_ms

    def stop(self) -> None:
        self.claims.stop()
        self.server.stop()


class LocalWriterVm(LogVm):
    """A VM that writes the batched log itself, without a coordinator."""

    def list_candidates(self) -> list[member.Member]:
        return [self.own]


class ObjectVm(Vm):
    """A VM that creates one object for each call."""

    def book(self, key: str) -> float:
        began_ms = CLOCK.now_ms()
        value = {"call": "c", "vm": self.name}
        created = self.store.create("calls", key, value, "claims").ok
        added_ms = CLOCK.now_ms() - began_ms
        CLOCK.sleep_ms(SERVICE_MS)
        value |= {"reply": REPLY.encode()}
        self.store.update("calls", key, value, created.version, "claims")
        return added_ms


def run_callers(vms: list[Vm], callers: int) -> list[float]:
    """Book in a closed loop for ``RUN_MS``.

    :param vms: the VMs
    :param callers: number of concurrent callers per VM
    :returns: added latency of each call in ms
    """
    end_ms = CLOCK.now_ms() + RUN_MS
    numbers = itertools.count(CLOCK.wall_ms())

    def book(vm: Vm) -> list[float]:
        added = []
        while CLOCK.now_ms() < end_ms:
            key = claim_records.make_uuid7(CLOCK.wall_ms(), next(numbers))
            added.append(vm.book(key))
        return added

    with concurrent.futures.ThreadPoolExecutor(len(vms) * callers) as pool:
        latencies = pool.map(book, vms * callers)
        return [*itertools.chain.from_iterable(latencies)]


def measure_case(
    make_vm: typing.Callable[[str, int, Fleet], Vm], vms: int, callers: int
) -> dict[str, float]:
    """Measure one case with its own platform stand-in.

    :param make_vm: creates a VM from its name, the platform's port and the
        fleet
    :param vms: number of VMs
    :param callers: number of callers per VM
    :returns: figures by name
    """
    with processes.Group() as group:
        platform, port = processes.start_standin(
            group, "platform", "--writes_per_s=0", "--reads_per_s=0"
        )
        fleet = Fleet()
        started_vms = [
            make_vm(f"vm{number}", port, fleet) for number in range(vms)
        ]
        added = run_callers(started_vms, callers)
        for vm in started_vms:
            vm.stop()
        received = processes.call(port, "GET", "/standin/calls").json()
        cpu_s = usage.read_cpu_s(platform.popen.pid)
    writes = sum(
        count
        for name, count in received["calls"].items()
        if name.startswith(("create", "update"))
    )
    return {
        "refused": sum(len(vm.refused) for vm in started_vms),
        "bookings_per_s": len(added) / RUN_MS * 1000,
        "writes_per_booking": writes / len(added),
        "reads_per_booking": (received["total"] - writes) / len(added),
        "sent_bytes_per_booking": sum(received["bytes"].values()) / len(added),
        "added_p50_ms": outcome.compute_percentile(added, 0.5),
        "added_p95_ms": outcome.compute_percentile(added, 0.95),
        "platform_cpu_ms_per_booking": cpu_s / len(added) * 1000,
    }


def measure() -> dict[str, typing.Any]:
    """Return the figures of every case and method."""
    return {
        f"{name}_{vms}_vms_{callers}_callers": measure_case(
            make_vm, vms, callers
        )
        for vms, callers in CASES
        for name, make_vm in (
            ("log", LogVm),
            ("lonely", LocalWriterVm),
            ("objects", ObjectVm),
        )
        if vms > 1 or make_vm is not LocalWriterVm
    }


if __name__ == "__main__":
    print(json.dumps(measure(), indent=2))
