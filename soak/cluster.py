"""Processes of a soak test: entry VMs, upstreams, the store and proxies."""

import collections
import json
import pathlib
import signal
import threading
import time
import typing

from soak import history
from soak import plan
from soak import stops
from standins import partitioned_vm
from tests import hosted_fleet
from tests import processes

__all__ = ["OVER_PART", "OVER_TOKENS", "RATE", "SoakCluster", "now_ms"]

HANDLE_MS = 500
# Interval of events where callers resume streams, so that faults hit them.
EVENT_MS = 50
RATE = 2_000
# Same values as in the fleet's settings.
OVER_PART = 0.1
OVER_TOKENS = 2_000
Value = dict[str, typing.Any] | None

READY_TIMEOUT_S = 15.0
# Writes of others after a backup of the store.
OTHER_WRITES = 20
RESTART_DELAY_S = 0.2
# Entries of crashed upstreams expire after about three heartbeats.
ENTRY_EXPIRY_S = 2.5
# What a cold server tolerates in a second, and how long it is cold.
COLD_PER_S = 4.0
COLD_MS = 3_000
# A VM that still runs after the grace period is killed by the platform.
SHUTDOWN_GRACE_S = 5.0
WATCH_INTERVAL_S = 0.1
# How long callers may use an address where VMs are told to stop: as with the
# deployed settings, for most of the grace period in three lives.
ENTRY_TTL_MS = 1_000


def now_ms() -> int:
    """Return the monotonic time in ms, which stand-ins use as well."""
    return time.monotonic_ns() // 1_000_000


class SoakCluster(hosted_fleet.Fleet):
    """Processes under test, connected by fault-injecting proxies.

    :param config: size of the soak

    Callers reach a VM through the proxy pair ``front-N``, a VM reaches the
    store through ``tie-N``, and VMs reach an upstream through ``up-NAME``.
    Gossip messages between VMs pass no proxy.
    """

    def __init__(self, config: plan.SoakConfig) -> None:
        options = {}
        if config.partitions:
            options["program"] = partitioned_vm.__name__
        if config.evacuations:
            options["cold_per_s"] = COLD_PER_S
        if config.stops:
            options["router"] = {
                "entry_ttl_ms": ENTRY_TTL_MS,
                "grace_s": stops.GRACE_MS // 1_000,
            }
        super().__init__(config.vms, rate=RATE, **options)
        self.config = config
        self.keys = {"k-large": "large", "k-small": "small", "k-0": "large"}
        self.history = history.History(dict(self.keys), config.vms)
        self.journal = pathlib.Path(self.folder.name) / "runs.jsonl"
        self.requests = pathlib.Path(self.folder.name) / "requests.jsonl"
        self.arrivals = pathlib.Path(self.folder.name) / "arrivals.jsonl"
        self.lock = threading.RLock()
        self.vm_locks = [threading.Lock() for _ in self.vms]
        # Two faults may start and kill the same upstream at the same time.
        self.upstream_locks = {
            name: threading.RLock() for name in config.list_upstream_names()
        }
        # Orders writes, and what was written since the store's backup.
        self.store_lock = threading.RLock()
        self.written: dict[tuple[str, str], Value] = {}
        self.sequences: collections.Counter[str] = collections.Counter()
        self.expected_exits: set[int] = set()
        self.routes: list[dict] = []
        self.instances: dict[str, str] = {}
        self.incarnation_counts: dict[str, int] = {}
        self._stopping = threading.Event()
        self._watcher = threading.Thread(
            target=self._watch_vm_exits, daemon=True
        )
        self._engine_keeper = threading.Thread(
            target=self._restart_crashed_engines, daemon=True
        )
        self._start_proxy()

    def __enter__(self) -> "SoakCluster":
        for name in self.config.list_upstream_names():
            self.start_incarnation(name)
        self.start_vms()
        self._watcher.start()
        if self.config.crashing_parts:
            self._engine_keeper.start()
        return self

    def __exit__(self, *reason: object) -> None:
        self._stopping.set()
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
        # Without the reason: the logs of a soak are too long for its report.
        super().__exit__()

    def start_vm(
        self, number: int, store_port: int | None = None
    ) -> processes.Process:
        """Start an entry VM that uses its store proxy."""
        return super().start_vm(number, self.store_proxy_ports[number])

    def configure(self, keys=None, more=()) -> None:  # noqa: ANN001
        """Write a new version with the current keys and routes."""
        with self.lock:
            super().configure(self.keys, self.routes)

    def put(self, kind: str, name: str, value: Value) -> None:
        """Write an object, and remember it until the next backup."""
        with self.store_lock:
            self.written[kind, name] = value
            super().put(kind, name, value)

    def drop(self, kind: str, name: str) -> None:
        """Remove an object, and remember that until the next backup."""
        with self.store_lock:
            self.written[kind, name] = None
            super().drop(kind, name)

    def register(
        self,
        name: str,
        state: str = "ready",
        cold_left_ms: int = 0,
        sequence: int | None = None,
    ) -> None:
        """Write a server's entry with the next number of its reports."""
        with self.store_lock:
            self.sequences[name] += 1
            super().register(name, state, cold_left_ms, self.sequences[name])

    def back_up_store(self) -> None:
        """Make a backup of the store, after which others write to it.

        What they write is lost and not written again, so that a return takes
        the store's revision back.
        """
        with self.store_lock:
            self.copy_store()
            self.written.clear()
            for number in range(OTHER_WRITES):
                super().put("notes", f"n{number}", {})

    def return_store(self) -> None:
        """Return the store to its backup."""
        with self.store_lock:
            processes.call(self.store_port, "POST", "/standin/restore", {})

    def write_lost_again(self) -> None:
        """Write what the operators and servers wrote since the backup."""
        with self.store_lock:
            for (kind, name), value in self.written.items():
                if value is None:
                    super().drop(kind, name)
                else:
                    super().put(kind, name, value)

    def compact(self) -> None:
        """Make the store discard its history of changes."""
        processes.call(self.store_port, "POST", "/standin/compact", {})

    def set_proxy_faults(self, name: str, **faults: object) -> None:
        """Set faults of a proxy pair.

        :param name: name of the pair
        :param faults: see ``standins.proxy_faults``
        """
        processes.call(self.control, "POST", f"/standin/pairs/{name}", faults)

    def start_incarnation(self, name: str) -> None:
        """Start and register a new incarnation unless the upstream runs."""
        with self.upstream_locks[name]:
            if self.is_alive(name):
                return
            self._start_next_incarnation(name)

    def is_alive(self, name: str) -> bool:
        """Return whether an upstream's process is running."""
        with self.upstream_locks[name]:
            instance = self.instances.get(name)
            return (
                instance is not None
                and self.upstreams[instance][0].popen.poll() is None
            )

    def _start_next_incarnation(self, name: str) -> None:
        number = self.incarnation_counts[name] = (
            self.incarnation_counts.get(name, 0) + 1
        )
        instance = f"{name}-life{number}"
        # Each incarnation has the next version, as in a release.
        version = (int(name[1:]) + number) % self.config.versions
        self.versions[instance] = f"v{version}"
        service, phase = parse_upstream_name(name)
        self.history.services[instance] = service
        if self.config.evacuations:
            self.zones[instance] = plan.choose_zone(name)
            self.history.zones[instance] = self.zones[instance]
        port = self.upstream_ports[name]
        process = self.group.start(
            "standins.hosted_upstreams",
            f"--port={port}",
            f"--instance={instance}",
            f"--phase={phase}",
            f"--journal={self.journal}",
            f"--handle_ms={HANDLE_MS}",
            f"--version={self.versions[instance]}",
            f"--event_ms={EVENT_MS if self.config.versions > 1 else 10}",
            f"--crash_parts={','.join(self.config.list_crashing_parts())}",
            f"--arrivals={self.arrivals if phase else ''}",
            f"--requests={self.requests if self.config.advisories else ''}",
            ports=[port],
        )
        proxy_port = self.upstream_proxy_ports[name]
        self.upstreams[instance] = (process, proxy_port, service, phase)
        self.instances[name] = instance
        self.register(instance)

    def kill_incarnation(self, name: str) -> str:
        """Kill an upstream without removing its entry from the store.

        :param name: name of the upstream
        :returns: name of the killed incarnation
        """
        with self.upstream_locks[name]:
            instance = self.instances[name]
            self.upstreams[instance][0].kill()
        return instance

    def find_process(self, name: str) -> processes.Process:
        """Return the process of an upstream's current incarnation."""
        with self.upstream_locks[name]:
            return self.upstreams[self.instances[name]][0]

    def set_upstream_fault(self, name: str, **faults: float) -> None:
        """Set faults of the upstream process, not of its proxy."""
        try:
            processes.call(
                self.upstream_ports[name], "POST", "/standin/faults", faults
            )
        except OSError:
            # The upstream is down; its next incarnation starts without faults.
            return

    def kill_and_restart_vm(self, number: int) -> None:
        """Kill a VM, restart it, and wait until it is ready."""
        with self.vm_locks[number]:
            self.expect_exit(number)
            self.vms[number].kill()
            time.sleep(RESTART_DELAY_S)
            self.start_vm(number)
        self.wait_until_ready(number)

    def restart_vm_gracefully(self, number: int) -> None:
        """Shut a VM down gracefully, restart it and wait for readiness."""
        vm = self.expect_exit(number)
        vm.terminate()
        end = time.monotonic() + SHUTDOWN_GRACE_S
        while vm.popen.poll() is None and time.monotonic() < end:
            time.sleep(RESTART_DELAY_S)
        with self.vm_locks[number]:
            if self.vms[number] is vm:
                vm.kill()
                self.start_vm(number)
        self.wait_until_ready(number)

    def wait_until_ready(self, number: int) -> None:
        """Wait until a VM reports that it is ready."""
        processes.wait_until(
            lambda: self.is_ready(self.ports[number]), READY_TIMEOUT_S
        )

    def is_ready(self, ports: list[int]) -> bool:
        """Return whether a VM accepts requests; false while it is down."""
        try:
            return super().is_ready(ports)
        except OSError:
            return False

    def read_history(self) -> history.History:
        """Return the recorded history, including the upstreams' journal."""
        if self.journal.exists():
            lines = self.journal.read_text(encoding="utf-8").splitlines()
            self.history.runs = [
                history.Run(**json.loads(line)) for line in lines
            ]
        self.history.arrivals = self._read_arrivals()
        if self.requests.exists():
            lines = self.requests.read_text(encoding="utf-8").splitlines()
            self.history.requests = [
                history.UpstreamRequest(**json.loads(line)) for line in lines
            ]
        return self.history

    def _read_arrivals(self) -> list[history.Arrival]:
        """Return what engines have written, in the order of time."""
        if not self.arrivals.exists():
            return []
        lines = self.arrivals.read_text(encoding="utf-8").splitlines()
        arrivals = [history.Arrival(**json.loads(line)) for line in lines]
        return sorted(arrivals, key=lambda arrival: arrival.at_ms)

    def _restart_crashed_engines(self) -> None:
        """Restart the engines that a part of a prompt has ended."""
        known: set[str] = set()
        while not self._stopping.wait(WATCH_INTERVAL_S):
            for arrival in self._read_arrivals():
                if arrival.crashes and arrival.instance not in known:
                    known.add(arrival.instance)
                    threading.Thread(
                        target=self._restart_engine,
                        args=(arrival,),
                        daemon=True,
                    ).start()

    def _restart_engine(self, crash: history.Arrival) -> None:
        name = crash.instance.partition("-")[0]
        window = history.FaultWindow(
            "up_crash", f"up-{name}", crash.at_ms, 1 << 62
        )
        self.history.fault_windows.append(window)
        time.sleep(ENTRY_EXPIRY_S)
        if not self._stopping.is_set():
            self.drop("servers", crash.instance)
            self.start_incarnation(name)
        window.to_ms = now_ms()

    def list_unregistered_vms(self) -> list[str]:
        """Return the VMs that have no entry in the store."""
        listed = {item["metadata"]["name"] for item in self.list_stored("vms")}
        return [
            f"vm{number}"
            for number in range(len(self.vms))
            if f"vm{number}" not in listed
        ]

    def count_held(self) -> int:
        """Return the number of requests and KV caches that engines hold."""
        names = [n for n in self.config.list_upstream_names() if n[0] != "s"]
        states = [
            processes.call(
                self.upstream_ports[name], "GET", "/standin/state"
            ).json()
            for name in names
        ]
        return sum(state["running"] + state["handles"] for state in states)

    def _start_proxy(self) -> None:
        count = len(self.vms)
        names = self.config.list_upstream_names()
        ports = iter(processes.pick_ports(1 + 2 * count + 2 * len(names)))
        self.control = next(ports)
        self.client_proxy_ports = [next(ports) for _ in range(count)]
        self.store_proxy_ports = [next(ports) for _ in range(count)]
        self.upstream_proxy_ports = {name: next(ports) for name in names}
        self.upstream_ports = {name: next(ports) for name in names}
        pairs = [
            *(
                (f"front-{n}", self.client_proxy_ports[n], self.ports[n][0])
                for n in range(count)
            ),
            *(
                (f"tie-{n}", self.store_proxy_ports[n], self.store_port)
                for n in range(count)
            ),
            *(
                (
                    f"up-{name}",
                    self.upstream_proxy_ports[name],
                    self.upstream_ports[name],
                )
                for name in names
            ),
        ]
        flags = [
            f"--pair={name}={hosted_fleet.HOST}:{listen}"
            f"={hosted_fleet.HOST}:{target}"
            for name, listen, target in pairs
        ]
        self.group.start(
            "standins.faultproxy",
            f"--port={self.control}",
            *flags,
            ports=[self.control],
        )

    def expect_exit(self, number: int) -> processes.Process:
        """Return a VM's process, whose end is not a violation any more."""
        vm = self.vms[number]
        self.expected_exits.add(vm.popen.pid)
        return vm

    def _watch_vm_exits(self) -> None:
        """Record VMs that exit unexpectedly."""
        while not self._stopping.wait(WATCH_INTERVAL_S):
            for number, vm in enumerate(self.vms):
                code = vm.popen.poll()
                if (
                    code is not None
                    and vm.popen.pid not in self.expected_exits
                ):
                    self.expected_exits.add(vm.popen.pid)
                    self.history.unexpected_exits.append(
                        f"vm-{number} (status {code})"
                    )


def parse_upstream_name(name: str) -> tuple[str, str]:
    """Return an upstream's service and phase.

    :param name: name of the upstream; its first letter selects the phase
    """
    phases = {"p": "prefill", "d": "decode"}
    phase = phases.get(name[0], "")
    return ("llm" if phase else "app"), phase
