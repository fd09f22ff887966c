"""Starts a small deployment for the cases of this review.

Entry machines are started with the command and the settings template of
deploy/system.toml; the store, servers and clients are the stand-ins beside
this file.  All addresses are loopback addresses.
"""

import contextlib
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

COMMON = pathlib.Path(__file__).resolve().parent
ROOT = COMMON.parent.parent
SITE = "site.example"
KEY = "3d3zji9n73hh2b9wu3fe"
TENANT = "huka270"
BEAT_MS = 1_200
GRACE_S = 8
LIMITS = {
    "header_bytes": 16384,
    "body_bytes": 4194304,
    "header_ms": 3000,
    "idle_ms": 15000,
}
PORTS = {"front": 8360, "ready": 8365, "control": 8367, "directory": 8364}


class SetupError(Exception):
    """The case can't run."""


def render(text, values):
    """Fill in a template as DEPLOY.md tells, as far as ours needs it."""

    def find(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill_section(match):
        is_present = find(match[2]) not in (None, False, [], {})
        return match[3] if is_present == (match[1] == "#") else ""

    def fill_value(match):
        path, _, form = match[1].partition("|")
        value = find(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(
        r"{{([#^])([\w.]+)}}(.*?){{/\2}}", fill_section, text, flags=re.DOTALL
    )
    return re.sub(r"{{([\w.]+(?:\|json)?)}}", fill_value, text)


def pick_block():
    """Return the first three bytes of a free block of loopback addresses."""
    number = os.getpid()
    for _ in range(200):
        number = (number * 7919 + 12347) % 64_000
        block = f"127.{20 + number // 256 % 200}.{number % 256}"
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((f"{block}.1", 8361))
            except OSError:
                continue
            return block
    raise SetupError("no free addresses")


def wait_until(condition, timeout_s=30.0):
    """Poll until a condition holds."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise SetupError(f"timed out: {condition}")


class Fleet:
    """A deployment in a temporary folder; a context manager."""

    def __init__(self, case, machines=2, memory_mb=300):
        self.case = pathlib.Path(case)
        self.block = pick_block()
        self.machines = [f"{self.block}.{10 + n}" for n in range(machines)]
        self.store = (f"{self.block}.1", 8361)
        self.memory_mb = memory_mb
        self.folder = None
        self.processes = []
        self.vms = {}
        self.servers = {}
        self.entries = {}
        self.store_process = None
        self.lock = threading.Lock()
        self.record_file = None
        self.stopping = threading.Event()
        self.version = 3
        self.beats = []

    def __enter__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = open(
            self.case / "record.txt", "w", encoding="utf-8"
        )
        try:
            self.store_process = self.start_standin(
                COMMON / "store.py", *map(str, self.store)
            )
            wait_until(lambda: is_open(*self.store))
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for beat in self.beats:
            beat.join(5)
        for process in reversed(self.processes):
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for file in self.folder.iterdir():
            file.unlink()
        self.folder.rmdir()
        self.record_file.close()

    def note(self, text):
        """Write a line to the record of the case."""
        with self.lock:
            self.record_file.write(f"{time.time():.3f} {text}\n")
            self.record_file.flush()

    def start_standin(self, script, *arguments):
        """Start a stand-in as a process of its own."""
        process = subprocess.Popen(
            [sys.executable, str(script), *map(str, arguments)],
            cwd=COMMON,
            stdin=subprocess.DEVNULL,
        )
        self.processes.append(process)
        return process

    def put(self, kind, name, spec):
        """Write an object to the store, as the operator or a server does."""
        base = "/mulberryway/objects/" + kind
        body = {"metadata": {"name": name}, "spec": spec}
        status, value = self.call_store("PUT", f"{base}/{name}", body)
        if status == 404:
            status, value = self.call_store("POST", base, body)
        if status != 200:
            raise SetupError(f"the store answers {status} to {kind}/{name}")
        return value["metadata"]["revision"]

    def call_store(self, method, path, body=None):
        connection = http.client.HTTPConnection(*self.store, timeout=1)
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data)
        reply = connection.getresponse()
        value = json.loads(reply.read() or b"{}")
        connection.close()
        return reply.status, value

    def start_server(
        self, name, service, script, *arguments, phase="", version="v1"
    ):
        """Start a server, and let it register itself with a beat."""
        number = len(self.servers)
        host, port = f"{self.block}.{100 + number}", 8080
        file = self.folder / f"{name}.jsonl"
        file.touch()
        entry = {
            "service": service,
            "address": f"{host}:{port}",
            "zone": "pokhara",
            "version": version,
            "slots": 48 if phase else 6,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": 0,
        }
        if phase:
            entry["phase"] = phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.servers[name] = (None, host, port, file)
        self.entries[name] = (entry, script)
        self.run_server(name, *arguments)
        beat = threading.Thread(target=self._beat, args=(name,))
        beat.start()
        self.beats.append(beat)

    def run_server(self, name, *arguments, **changes):
        """Start a server's process, again under its id if it has ended.

        :param changes: what its entry says otherwise than before
        """
        _, host, port, file = self.servers[name]
        entry, script = self.entries[name]
        process = self.start_standin(
            script, host, port, name, file, *arguments
        )
        wait_until(lambda: is_open(host, port))
        entry = entry | changes
        entry |= {"born": int(time.time() * 1000), "sequence": 1}
        self.entries[name] = (entry, script)
        self.servers[name] = (process, host, port, file)
        self._register(name)

    def _beat(self, name):
        while not self.stopping.wait(BEAT_MS / 1000):
            if self.servers[name][0].poll() is None:
                self.entries[name][0]["sequence"] += 1
                self._register(name)

    def _register(self, name):
        """Write a server's entry, unless the store doesn't answer."""
        try:
            self.put("servers", name, self.entries[name][0])
        except (OSError, http.client.HTTPException) as error:
            self.note(f"server {name} could not register: {error!r}")

    def configure(self, routes, services, tenants=None):
        """Write a configuration as the operator does."""
        self.version += 4
        self.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
                "tenants": [make_tenant(TENANT, KEY)]
                if tenants is None
                else tenants,
            },
        )

    def write_settings(self, number, bootstrap=True):
        """Write the settings file of a machine; return its path."""
        ip = self.machines[number]
        values = {
            "node_name": f"edge-pokhara-{number + 1}",
            "role": "entry",
            "class": "edge",
            "serves": ["edge", "directory", "control_plane"],
            "ip": ip,
            "zone": "pokhara",
            "region": "gandaki",
            "zones": {"pokhara": "gandaki"},
            "listen": {name: f"{ip}:{port}" for name, port in PORTS.items()},
            "port_range": [7500, 7515],
            "seeds": [f"{vm}:{PORTS['control']}" for vm in self.machines[:3]],
            "bootstrap": bootstrap,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": self.memory_mb,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "beat_ms": BEAT_MS,
            "bounds": {
                "drain_ms": 2000,
                "grace_s": GRACE_S,
                "retry_ratio": 0.2,
                "budget_window_s": 10,
                "retry_slack": 58,
                "quota_window_s": 8,
                "quota_over": 0.1,
                "quota_slack": 120000,
            },
            "platform": {"address": f"{self.store[0]}:{self.store[1]}"},
        }
        role = self._read_role()
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        text = render(template, values)
        tomllib.loads(text)
        file = self.folder / f"vm{number}.toml"
        draft = file.with_suffix(".draft")
        draft.write_text(text, encoding="utf-8")
        draft.rename(file)
        return file

    @staticmethod
    def _read_role():
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        return deploy["roles"]["entry"]

    def start_vm(self, number, bootstrap=True):
        """Start an entry machine with the command of the deploy file."""
        file = self.write_settings(number, bootstrap)
        words = self._read_role()["run"].split()
        words = [
            str(file) if word == "/etc/mulberryway/boot.json" else word
            for word in words
        ]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MULBERRYWAY_CONFIG": str(file),
        }
        log = open(self.folder / f"vm{number}.log", "ab")
        process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self.vms[number] = process
        return process

    def start_vms(self):
        """Start all machines, and wait until they are ready."""
        for number in range(len(self.machines)):
            self.start_vm(number)
        for ip in self.machines:
            wait_until(lambda ip=ip: is_ready(ip))
        for ip in self.machines:
            wait_until(lambda ip=ip: len(resolve(ip)) == len(self.machines))

    def read_log(self, number):
        """Return what a machine has logged."""
        return (self.folder / f"vm{number}.log").read_text(errors="replace")

    def read_server(self, name):
        """Return what has arrived at a server."""
        text = self.servers[name][3].read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]

    def connect(self, number, timeout_s=20.0):
        """Open a client's connection to a machine."""
        return http.client.HTTPConnection(
            self.machines[number], PORTS["front"], timeout=timeout_s
        )


def make_route(name, prefix, service, kind, attempts, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": SITE,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
    } | more


def make_stream_route(name, prefix, service, attempts, is_resumable):
    """Return a streaming route of the configuration."""
    return make_route(
        name,
        prefix,
        service,
        "streaming",
        attempts,
        timeout_ms=14000,
        target_latency_ms=900,
        affinity=True,
        resumable=is_resumable,
        target_gap_ms=300,
    )


def make_engine_service(name):
    """Return a service of model servers of the configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 310,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 48,
            "kv_capacity": 76160,
            "kv_bytes": 163840,
            "link_mbps": 4800000.0,
            "moves": True,
            "backups": True,
            "stride": 77,
            "most": 12,
            "handle_ttl_s": 0.5,
            "swap_s": 6.0,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "models": [{"name": "m"}],
        },
    }


class StreamResult:
    """What a client got of a stream."""

    def __init__(self, status=0):
        self.status = status
        self.body = b""
        self.is_complete = False

    @property
    def ids(self):
        """The ids of the events."""
        return [
            int(found) for found in re.findall(rb"(?m)^id: ?(\d+)$", self.body)
        ]


def read_stream(connection, path, attempt, deadline_ms=14000, key=KEY, **more):
    """Send a streaming request and read its answer to the end."""
    prompt = {
        "Model": "m",
        "Token-Counts": "300,40",
        "Prompt-Prefix": "5c1e07a2:100,91bd3f06:200",
    }
    headers = make_headers(attempt, deadline_ms, key, **(prompt | more))
    result = StreamResult()
    try:
        connection.request("POST", path, b"{}", headers)
        reply = connection.getresponse()
        result.status = reply.status
        while piece := reply.read1(65536):
            result.body += piece
        # Reading past the end raises unless the last chunk has arrived.
        result.is_complete = result.status == 200
    except (OSError, http.client.HTTPException):
        result.is_complete = False
    finally:
        connection.close()
    return result


def make_tenant(name, *keys, rate=0):
    """Return a client account of the configuration.

    :param rate: its rate and burst in tokens; 0 for no limit
    """
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "unit": "token_stream",
        "plain_tokens": 200,
        "rate_per_s": rate,
        "burst": rate,
    }


def make_headers(attempt, deadline_ms=4000, key=KEY, **more):
    """Return the headers of a client's request."""
    return {
        "Host": SITE,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {key}",
    } | more


def is_open(host, port):
    """Return whether an address accepts connections."""
    try:
        socket.create_connection((host, port), 1).close()
    except OSError:
        return False
    return True


def get(host, port, path, timeout_s=2.0):
    """Return the status and the body of a GET."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request("GET", path)
        reply = connection.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def is_ready(ip):
    """Return whether a machine says that it is ready."""
    return get(ip, PORTS["ready"], "/mulberryway/ready")[0] == 200


def resolve(ip):
    """Return the addresses that a machine's directory names."""
    status, body = get(
        ip,
        PORTS["directory"],
        f"/mulberryway/resolve?name={SITE}&region=gandaki&zone=pokhara",
    )
    return json.loads(body)["addrs"] if status == 200 else []


def run_case(main):
    """Run a case's ``main(trouble)`` and exit as issue 81 says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # So that a case that is ended early ends its processes as well.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        is_broken = main(trouble)
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("broken" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
