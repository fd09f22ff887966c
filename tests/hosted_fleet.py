"""Entry VMs as processes, with stand-ins of the operators' platform."""

import http.client
import pathlib
import socket
import tempfile
import time
import urllib.parse

import tomli_w

from standins import partitioned_vm
from tests import processes

HOST = "127.0.0.1"
SITE = "site.example"
VERSION = "v1"
KEYS = {"k-large": "large", "k-small": "small"}
LIMITS = {
    "header_bytes": 16384,
    "body_bytes": 4194304,
    "header_ms": 3000,
    "idle_ms": 15000,
}
# Interval of the events on the slow route: a stream takes 16 s, unless the
# engine is told to send the rest faster.
SLOW_EVENT_MS = 800
FAST_EVENT_MS = 10
SLOW_DEADLINE_MS = 30_000
STREAM = {"Model": "m", "Token-Counts": "100,20", "Length-Hint": "20"}


class Fleet:
    """A store, engines, services and entry VMs; a context manager.

    :param vms: the number of entry VMs
    :param rate: the rate of the account ``small`` in tokens per second
    :param phases: the phase of each engine
    :param engine_tokens: the capacity of an engine's KV cache in tokens
    :param router: settings of the VMs' routers that replace the defaults
    :param program: module that runs an entry VM
    :param versions: the software version of each engine; all the same by
        default
    :param zones: the availability zones of servers by name; the VMs' zone by
        default
    :param cold_per_s: requests per second that a cold server tolerates; 0 if
        they are not limited
    :param servers: names of the plain service's servers
    :param memory_mb: the memory of each VM
    :param descriptors: limit of each VM's open descriptors; none by default
    """

    def __init__(
        self,
        vms=2,
        rate=1_000_000,
        phases=("prefill", "decode"),
        engine_tokens=96_693,
        router=None,
        program="mulberryway.commands.entry",
        versions=(),
        zones=None,
        cold_per_s=0.0,
        servers=("s0", "s1"),
        memory_mb=128,
        descriptors=None,
    ):
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.servers = servers
        self.kv_capacity_tokens = engine_tokens
        self.group = processes.Group()
        self.folder = tempfile.TemporaryDirectory()
        self.store, self.store_port = processes.start_standin(
            self.group, "hosted_store"
        )
        self.rate = rate
        self.router = router or {}
        self.program = program
        self.version = 0
        self.limits = LIMITS
        self.upstreams = {}
        self.versions = {
            f"e{number}": version for number, version in enumerate(versions)
        }
        self.zones = zones or {}
        self.cold_per_s = cold_per_s
        self.phases = phases
        ports = processes.pick_ports(vms * 5)
        self.ports = [ports[number::vms] for number in range(vms)]
        self.vms = [None] * vms

    def __enter__(self):
        for number, phase in enumerate(self.phases):
            self.start_upstream(f"e{number}", "llm", phase)
        for name in self.servers:
            self.start_upstream(name, "app")
        self.start_vms()
        return self

    def start_vms(self):
        """Configure and start all VMs; wait until discovery lists them."""
        self.configure()
        for number in range(len(self.vms)):
            self.start_vm(number)
        for vm in self.vms:
            vm.wait_ready()
        processes.wait_until(lambda: all(map(self.is_ready, self.ports)))
        processes.wait_until(lambda: self.list_resolved() == self.fronts())

    def __exit__(self, kind=None, error=None, traceback=None):
        for vm in filter(None, self.vms):
            vm.kill()
        if error is not None and (logs := self.read_logs()) not in str(error):
            error.add_note(logs)
        self.group.stop()
        self.folder.cleanup()

    def start_upstream(self, name, service, phase=""):
        """Start a server and register it."""
        process, port = processes.start_standin(
            self.group,
            "hosted_upstreams",
            f"--instance={name}",
            f"--phase={phase}",
            f"--version={self.versions.get(name, VERSION)}",
        )
        self.upstreams[name] = (process, port, service, phase)
        self.register(name)

    def register(self, name, state="ready", cold_left_ms=0, sequence=1):
        """Write a server's entry to the store."""
        _, port, service, phase = self.upstreams[name]
        entry = {
            "service": service,
            "address": f"{HOST}:{port}",
            "zone": self.zones.get(name, "kandy-a"),
            "version": self.versions.get(name, VERSION),
            "slots": 64,
            "state": state,
            "cold_left_ms": cold_left_ms,
            "sequence": sequence,
        }
        if phase:
            entry["phase"] = phase
        self.put("servers", name, entry)

    def put(self, kind, name, value):
        path = f"/standin/put/{kind}/{name}"
        processes.call(self.store_port, "POST", path, value)

    def put_text(self, kind, name, text):
        """Write an object whose content is any bytes."""
        path = f"/standin/text/{kind}/{name}"
        body = {"text": text.decode("latin-1")}
        processes.call(self.store_port, "POST", path, body)

    def drop(self, kind, name):
        path = f"/standin/drop/{kind}/{name}"
        processes.call(self.store_port, "POST", path, {})

    def set_store_fault(self, fault):
        processes.call(
            self.store_port, "POST", "/standin/fault", {"fault": fault}
        )

    def drop_all(self, kind):
        """Remove all objects of a kind from the store."""
        for item in self.list_stored(kind):
            self.drop(kind, item["metadata"]["name"])

    def list_stored(self, kind):
        """Return the objects of a kind in the store."""
        path = f"/mulberryway/objects/{kind}"
        return processes.call(self.store_port, "GET", path).json()["items"]

    def set_era_header(self, header):
        """Replace the header with the store's era.

        :param header: its value; empty for none, None for the store's era
        """
        processes.call(
            self.store_port, "POST", "/standin/era", {"header": header}
        )

    def copy_store(self):
        """Make a backup of the store."""
        processes.call(self.store_port, "POST", "/standin/copy", {})

    def restore_store(self, away_s=0.0):
        """Return the store to its backup after an outage.

        :param away_s: duration of the outage in seconds
        """
        self.set_store_fault("refuse")
        time.sleep(away_s)
        processes.call(self.store_port, "POST", "/standin/restore", {})
        self.set_store_fault("")

    def compact_store(self):
        """Discard the store's history, and cut waiting watches."""
        processes.call(
            self.store_port, "POST", "/standin/compact", {"cut": True}
        )

    def count_store_calls(self):
        """Return the number of calls to the store."""
        reply = processes.call(self.store_port, "GET", "/standin/calls")
        return reply.json()["calls"]

    def kill_upstream(self, name):
        """Kill a server without removing its entry."""
        self.upstreams[name][0].kill()

    def set_fault(self, upstream, **faults):
        port = self.upstreams[upstream][1]
        processes.call(port, "POST", "/standin/faults", faults)

    def read_state(self, upstream):
        port = self.upstreams[upstream][1]
        return processes.call(port, "GET", "/standin/state").json()

    def list_runs(self, upstream):
        port = self.upstreams[upstream][1]
        return processes.call(port, "GET", "/standin/runs").json()["runs"]

    def count_seen(self, needle):
        """Return the number of received requests that contain a text."""
        query = urllib.parse.urlencode({"needle": needle})
        return sum(
            processes.call(port, "GET", f"/standin/seen?{query}").json()[
                "count"
            ]
            for _, port, _, _ in self.upstreams.values()
        )

    def configure(self, keys=None, more=()):
        """Write a new version of the configuration to the store."""
        self.version += 3
        keys = KEYS if keys is None else keys
        cold = {"cold_s": 3.0, "cold_per_s": self.cold_per_s}
        engine = {
            "slots": 64,
            "kv_capacity": self.kv_capacity_tokens,
            "kv_bytes": 163840,
            "link_mbps": 5400000.0,
            "handle_ttl_s": 0.5,
            "swap_s": 6.0,
            "hold_ms": 2000.0,
            "models": [{"name": "m"}],
        }
        value = {
            "version": self.version,
            "routes": [
                make_route("r-plain", "/plain/", "app", "idempotent", 2),
                make_route("r-book", "/book/", "app", "non_idempotent", 1),
                make_route("r-talk", "/talk/", "llm", "streaming", 1),
                make_route(
                    "r-digest", "/digest/", "llm", "streaming", 2, True
                ),
                *more,
            ],
            "services": [
                {"name": "llm", "health_path": "/h", "engine": engine} | cold,
                {"name": "app", "health_path": "/h"} | cold,
            ],
            "limits": self.limits,
            "tenants": [
                {
                    "name": name,
                    "api_keys": [
                        key for key, owner in keys.items() if owner == name
                    ],
                    "unit": "token_stream",
                    "plain_tokens": 200,
                    "rate_per_s": self.rate if name == "small" else 0,
                    "burst": self.rate if name == "small" else 0,
                }
                for name in ("large", "small")
            ],
        }
        self.put("config", "main", value)

    def slow_down_streams(self, engine="e1"):
        """Add a route whose streams run for seconds, on a busy machine too.

        :param engine: the only engine that decodes
        """
        route = make_route("r-slow", "/slow/", "llm", "streaming", 1)
        slow = {"timeout_ms": SLOW_DEADLINE_MS, "target_gap_ms": 1_000}
        self.configure(more=[route | slow])
        for number in range(len(self.vms)):
            processes.wait_until(
                lambda n=number: self.send_slow(n, f"slow-{n}").status == 200
            )
        self.set_fault(engine, event_ms=SLOW_EVENT_MS)

    def send_slow(self, number, attempt, **options):
        """Send one stream on the slow route and return its reply."""
        return self.send(
            number,
            "/slow/a",
            attempt,
            headers=STREAM,
            deadline_ms=SLOW_DEADLINE_MS,
            **options,
        )

    def start_vm(self, number, store_port=None):
        """Start an entry VM and return it without waiting for it to listen."""
        file = self.write_settings(number, store_port)
        self.vms[number] = processes.Process(
            self.program,
            [f"--settings={file}"],
            self.ports[number],
            self.find_log(number),
            self.descriptors,
        )
        self.group.processes.append(self.vms[number])
        return self.vms[number]

    def partition(self, number, mode=None, names=None):
        """Cut a VM from upstreams; it must run ``standins.partitioned_vm``.

        :param mode: how connections fail; None ends the partition
        :param names: the upstreams; None for all
        """
        names = self.upstreams if names is None else names
        ports = [self.upstreams[name][1] for name in names]
        self.write_partition(number, mode, ports)

    def cut_off(self, number, mode=None):
        """Cut a VM from the other VMs and the store, not from upstreams.

        All VMs must run ``standins.partitioned_vm``.

        :param mode: how connections fail; None ends the cut
        """
        peers = [ports[3] for ports in self.ports]
        for other in range(len(self.vms)):
            if other != number:
                self.write_partition(other, mode, [peers[number]])
        ports = [port for port in peers if port != peers[number]]
        self.write_partition(number, mode, [*ports, self.store_port])

    def write_partition(self, number, mode=None, ports=()):
        """Cut a VM from some ports; without a mode, from none."""
        words = [mode.value, *map(str, ports)] if mode else []
        settings_file = pathlib.Path(self.folder.name) / f"vm{number}.toml"
        file = partitioned_vm.find_file(settings_file)
        # Renamed into place, so that the VM never reads a part of it.
        draft = file.with_suffix(".draft")
        draft.write_text(" ".join(words), encoding="utf-8")
        draft.rename(file)

    def write_settings(self, number, store_port=None):
        """Write a VM's settings file and return its path."""
        front, ready, directory, peers, metrics = self.ports[number]
        value = {
            "vm": {
                "name": f"vm{number}",
                "address": HOST,
                "zone": "kandy-a",
                "region": "lk",
                "memory_mb": self.memory_mb,
            },
            "router": {
                "address": f"{HOST}:{front}",
                "ready_address": f"{HOST}:{ready}",
                "directory_address": f"{HOST}:{directory}",
                "threads": 32,
                "entry_ttl_ms": 300,
                "entry_lives": 3,
                "grace_s": 4,
            }
            | self.router,
            "peers": {
                "port": peers,
                "secret": "s",
                "seeds": [f"{HOST}:{ports[3]}" for ports in self.ports],
                "period_ms": 200,
            },
            "platform": {
                "url": f"http://{HOST}:{store_port or self.store_port}",
                "timeout_ms": 500,
            },
            "allowances": {"over_part": 0.1, "over_tokens": 2000},
            "cold_start": {"over_part": 1.5, "slack": 2},
            "policy": {"prefill_us": 18},
            "telemetry": {"metrics_address": f"{HOST}:{metrics}"},
        }
        file = pathlib.Path(self.folder.name) / f"vm{number}.toml"
        file.write_text(tomli_w.dumps(value), encoding="utf-8")
        return file

    def find_log(self, number):
        """Return the path of a VM's log file."""
        return pathlib.Path(self.folder.name) / f"vm{number}.log"

    def read_logs(self):
        """Return the complete logs of all VMs, for failed tests."""
        return "\n".join(
            self.find_log(number).read_text()
            for number in range(len(self.vms))
            if self.find_log(number).exists()
        )

    def fronts(self):
        return {f"{HOST}:{ports[0]}" for ports in self.ports}

    def is_ready(self, ports):
        return processes.is_open(ports[1]) and (
            processes.call(ports[1], "GET", "/mulberryway/ready").status == 200
        )

    def list_resolved(self, number=0):
        """Return the entry addresses in a VM's discovery response."""
        path = f"/mulberryway/resolve?name={SITE}&region=lk&zone=kandy-a"
        reply = processes.call(self.ports[number][2], "GET", path)
        return set(reply.json()["addrs"])

    def send(self, number, path, attempt, **options):
        """Send one request to a VM and return its reply."""
        return send(self.ports[number][0], path, attempt, **options)


class StoreProxy:
    """A proxy in front of a fleet's store that can cut off its VMs.

    :param fleet: the fleet
    """

    def __init__(self, fleet):
        self.port, self._control = processes.pick_ports(2)
        fleet.group.start(
            "standins.faultproxy",
            f"--port={self._control}",
            f"--pair=store={HOST}:{self.port}={HOST}:{fleet.store_port}",
            ports=[self.port, self._control],
        )

    def cut_off(self):
        """Refuse connections and stall the open ones."""
        processes.call(
            self._control,
            "POST",
            "/standin/pairs/store",
            {"refuse": True, "stall_down": True},
        )


def make_route(name, prefix, service, kind, attempts, resumable=False):
    return {
        "name": name,
        "host": SITE,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "resumable": resumable,
        "target_gap_ms": 300 if kind == "streaming" else 0,
    }


def send(
    port,
    path,
    attempt,
    key="k-large",
    method="POST",
    body=b"{}",
    headers=None,
    deadline_ms=4000,
    kept=None,
):
    """Send one request; ``is_cut`` is set in the reply if it was cut off.

    :param kept: an open connection to send it on, instead of a new one
    """
    sent = {
        "Host": SITE,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {key}",
        **(headers or {}),
    }
    connection = kept or connect(port)
    try:
        connection.request(method, path, body, sent)
        reply = connection.getresponse()
        try:
            return processes.Reply(reply.status, reply.headers, reply.read())
        except http.client.IncompleteRead as cut:
            return processes.Reply(
                reply.status, reply.headers, cut.partial, True
            )
    finally:
        if not kept:
            connection.close()


def connect(port):
    """Return a connection that can be kept for several requests."""
    return http.client.HTTPConnection(HOST, port, timeout=10)


def open_stream(port, path, attempt):
    """Send a streaming request and return its socket without reading."""
    headers = {
        "Host": SITE,
        "Attempt-Id": attempt,
        "Deadline-Ms": "4000",
        "Authorization": "Token k-large",
        "Content-Length": "2",
        **STREAM,
    }
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    connection = socket.create_connection((HOST, port), 5)
    connection.sendall("\r\n".join([*lines, "", "{}"]).encode())
    return connection


def list_ids(body):
    """Return the ids of a stream's events."""
    return [
        int(line.partition(b":")[2])
        for line in body.splitlines()
        if line.startswith(b"id:")
    ]
