"""The processes of a soak: entry VMs, upstreams, the store, and proxies."""

import json
import pathlib
import signal
import threading
import time

from soak import history
from soak import plan
from tests import hosted_fleet
from tests import processes

__all__ = ["OVER_PART", "OVER_TOKENS", "RATE", "SoakCluster", "now_ms"]

HANDLE_MS = 500
RATE = 2_000
# As the fleet's settings have them.
OVER_PART = 0.1
OVER_TOKENS = 2_000
READY_S = 15.0
DOWN_S = 0.2
# Entries of upstreams that died lapse after about three heartbeats.
ENTRY_EXPIRY_S = 2.5
# The platform kills a VM that goes on after its grace.
GRACE_S = 5.0
WATCH_S = 0.1


def now_ms() -> int:
    """Return the machine's steady time, which stand-ins use as well."""
    return time.monotonic_ns() // 1_000_000


class SoakCluster(hosted_fleet.Fleet):
    """Everything that runs, with a proxy at each edge.

    :param shape: the size

    Callers reach a VM by ``front-N``, a VM the store by ``tie-N``, and VMs
    an upstream by ``up-NAME``; what VMs tell one another is not disturbed.
    """

    def __init__(self, shape: plan.SoakConfig) -> None:
        super().__init__(shape.vms, rate=RATE)
        self.shape = shape
        self.keys = {"k-large": "large", "k-small": "small", "k-0": "large"}
        self.seen = history.History(dict(self.keys), shape.vms)
        self.journal = pathlib.Path(self.folder.name) / "runs.jsonl"
        self.lock = threading.RLock()
        self.vm_locks = [threading.Lock() for _ in self.vms]
        # One fault may start an upstream while another one ends it.
        self.upstream_locks = {
            name: threading.RLock() for name in shape.list_upstream_names()
        }
        self.expected_exits: set[int] = set()
        self.routes: list[dict] = []
        self.instances: dict[str, str] = {}
        self.incarnation_counts: dict[str, int] = {}
        self._ending = threading.Event()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._start_proxy()

    def __enter__(self) -> "SoakCluster":
        for name in self.shape.list_upstream_names():
            self.start_incarnation(name)
        self.start_vms()
        self._watcher.start()
        return self

    def __exit__(self, *reason: object) -> None:
        self._ending.set()
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
        super().__exit__(*reason)

    def start_vm(
        self, number: int, store_port: int | None = None
    ) -> processes.Process:
        """Start an entry VM that reaches the store by its tie."""
        return super().start_vm(number, self.store_proxy_ports[number])

    def configure(self, keys=None, more=()) -> None:  # noqa: ANN001
        """Write a new version with the keys and routes of this moment."""
        with self.lock:
            super().configure(self.keys, self.routes)

    def compact(self) -> None:
        """Let the store forget its history."""
        processes.call(self.store_port, "POST", "/standin/compact", {})

    def set_proxy_faults(self, name: str, **faults: object) -> None:
        """Switch faults of a proxy.

        :param name: the pair
        :param faults: see ``standins.proxy_faults``
        """
        processes.call(self.control, "POST", f"/standin/pairs/{name}", faults)

    def start_incarnation(self, name: str) -> None:
        """Start an upstream's next life, unless it lives, and register it."""
        with self.upstream_locks[name]:
            if self.is_alive(name):
                return
            self._start_life(name)

    def is_alive(self, name: str) -> bool:
        """Tell whether an upstream's process runs."""
        with self.upstream_locks[name]:
            instance = self.instances.get(name)
            return (
                instance is not None
                and self.upstreams[instance][0].popen.poll() is None
            )

    def _start_life(self, name: str) -> None:
        number = self.incarnation_counts[name] = (
            self.incarnation_counts.get(name, 0) + 1
        )
        instance = f"{name}-life{number}"
        service, phase = parse_upstream_name(name)
        self.seen.services[instance] = service
        port = self.upstream_ports[name]
        process = self.group.start(
            "standins.hosted_upstreams",
            f"--port={port}",
            f"--instance={instance}",
            f"--phase={phase}",
            f"--journal={self.journal}",
            f"--handle_ms={HANDLE_MS}",
            ports=[port],
        )
        front = self.upstream_proxy_ports[name]
        self.upstreams[instance] = (process, front, service, phase)
        self.instances[name] = instance
        self.register(instance)

    def kill_incarnation(self, name: str) -> str:
        """Kill an upstream; its entry stays.

        :param name: the upstream
        :returns: the incarnation that has ended
        """
        with self.upstream_locks[name]:
            instance = self.instances[name]
            self.upstreams[instance][0].kill()
        return instance

    def find_process(self, name: str) -> processes.Process:
        """Return the process of an upstream's present life."""
        with self.upstream_locks[name]:
            return self.upstreams[self.instances[name]][0]

    def set_upstream_fault(self, name: str, **faults: int) -> None:
        """Switch faults of an upstream itself, not through its proxy."""
        try:
            processes.call(
                self.upstream_ports[name], "POST", "/standin/faults", faults
            )
        except OSError:
            # It is down at this moment; its next life has no faults.
            return

    def kill_and_restart_vm(self, number: int) -> None:
        """Kill a VM and start it again, and wait until it serves."""
        with self.vm_locks[number]:
            self._tell_to_end(number)
            self.vms[number].kill()
            time.sleep(DOWN_S)
            self.start_vm(number)
        self.wait_until_ready(number)

    def restart_vm_gracefully(self, number: int) -> None:
        """Stop a VM as planned and start it again."""
        vm = self._tell_to_end(number)
        vm.terminate()
        end = time.monotonic() + GRACE_S
        while vm.popen.poll() is None and time.monotonic() < end:
            time.sleep(DOWN_S)
        with self.vm_locks[number]:
            if self.vms[number] is vm:
                vm.kill()
                self.start_vm(number)
        self.wait_until_ready(number)

    def wait_until_ready(self, number: int) -> None:
        """Wait until a VM says that it is ready."""
        processes.wait_until(
            lambda: self.is_ready(self.ports[number]), READY_S
        )

    def is_ready(self, ports: list[int]) -> bool:
        """Tell whether a VM takes callers; false while it is down."""
        try:
            return super().is_ready(ports)
        except OSError:
            return False

    def read_history(self) -> history.History:
        """Return what was seen, with the upstreams' own records."""
        if self.journal.exists():
            lines = self.journal.read_text(encoding="utf-8").splitlines()
            self.seen.runs = [
                history.Run(**json.loads(line)) for line in lines
            ]
        return self.seen

    def count_held(self) -> int:
        """Return how many runs and KV caches engines hold now."""
        names = [n for n in self.shape.list_upstream_names() if n[0] != "s"]
        states = [
            processes.call(
                self.upstream_ports[name], "GET", "/standin/state"
            ).json()
            for name in names
        ]
        return sum(state["running"] + state["handles"] for state in states)

    def _start_proxy(self) -> None:
        count = len(self.vms)
        names = self.shape.list_upstream_names()
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

    def _tell_to_end(self, number: int) -> processes.Process:
        vm = self.vms[number]
        self.expected_exits.add(vm.popen.pid)
        return vm

    def _watch(self) -> None:
        """Note VMs that end by themselves."""
        while not self._ending.wait(WATCH_S):
            for number, vm in enumerate(self.vms):
                code = vm.popen.poll()
                if (
                    code is not None
                    and vm.popen.pid not in self.expected_exits
                ):
                    self.expected_exits.add(vm.popen.pid)
                    self.seen.unexpected_exits.append(
                        f"vm-{number} (status {code})"
                    )


def parse_upstream_name(name: str) -> tuple[str, str]:
    """Return an upstream's service and phase.

    :param name: its name, whose first letter tells
    """
    phases = {"p": "prefill", "d": "decode"}
    phase = phases.get(name[0], "")
    return ("llm" if phase else "app"), phase
