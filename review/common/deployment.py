"""A small deployment on loopback: the project's programs and stand-ins."""

import http.client
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from common import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "shop.example"
ZONES = ("pokhara", "begnas", "rupa")
REGION = "gandaki"
FRONT, DIRECTORY, READY, CONTROL, PEERS, METRICS = (
    8360,
    8364,
    8365,
    8367,
    7500,
    9464,
)
STORE = 8361
KEYS = {"key-large-4f1c9a": "large", "key-small-77b0e2": "small"}
RATE = 76009
BROKEN, HELD, NOT_RUN = 1, 0, 2
START_S = 40
MAX_RUN_S = 115
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "quota_window_s": 8,
    "quota_over": 0.1,
    "quota_slack": 120000,
    "require_fence": False,
    "lease_ms": 3000,
}


class CannotRunError(Exception):
    """The case could not be played."""


class Deployment:
    """A store, some entry VMs and whatever servers a case adds.

    :param folder: the case's folder, for ``record.txt``
    :param vms: the number of entry VMs, one zone after the other
    """

    def __init__(self, folder, vms=3):
        self._record = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()
        self._processes = []
        self._temporary = tempfile.TemporaryDirectory()
        self._net = _pick_network()
        self.fronts = [f"{self._net}.{number + 1}" for number in range(vms)]
        self.store = stores.Store(f"{self._net}.200", STORE)
        self._servers = 0
        self.successes = 0

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._temporary.cleanup()
        self._record.close()
        if error is None and not self.successes:
            raise CannotRunError("no request was served")

    def record(self, line):
        """Write a line to the record."""
        at_s = time.monotonic() - self._started_s
        with self._lock:
            if not self._record.closed:
                self._record.write(f"{at_s:8.3f} {line}\n")

    def pick_server_address(self):
        """Return a loopback address for the next server."""
        self._servers += 1
        return f"{self._net}.{63 + self._servers}"

    def configure(self, routes, services, version=7, keys=KEYS, rate=RATE):
        """Write the configuration to the store.

        :param routes: its routes
        :param services: its services
        :param version: its version
        :param keys: the tenants by their keys
        :param rate: the rate and the burst of each tenant
        """
        tenants = [
            {
                "name": name,
                "api_keys": [key for key in keys if keys[key] == name],
                "priority": 1,
                "unit": "token_stream",
                "plain_tokens": 200,
                "rate_per_s": rate,
                "burst": rate,
            }
            for name in KEYS.values()
        ]
        self.store.put(
            "config",
            "main",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "header_bytes": 16384,
                    "body_bytes": 4194304,
                    "header_ms": 3000,
                    "idle_ms": 15000,
                },
                "tenants": tenants,
            },
        )

    def start(self):
        """Start the entry VMs with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        template = (ROOT / role["template"]).read_text()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        for number, address in enumerate(self.fronts):
            file = pathlib.Path(self._temporary.name) / f"vm{number}.toml"
            fields = self._make_fields(number, address)
            file.write_text(_render(template, [fields]))
            words = [
                str(file) if word.startswith("/etc/") else word
                for word in role["run"].split()
            ]
            log = file.with_suffix(".log").open("wb")
            self._processes.append(
                subprocess.Popen(
                    words,
                    cwd=ROOT,
                    env=environment | {"MULBERRYWAY_CONFIG": str(file)},
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            )
            self.record(f"start VM {number} at {address}")
        self._await_ready()

    def read_logs(self):
        """Return the logs of all VMs."""
        return "\n".join(
            file.read_text(errors="replace")
            for file in pathlib.Path(self._temporary.name).glob("*.log")
        )

    def _make_fields(self, number, address):
        zone = ZONES[number % len(ZONES)]
        return {
            "node_name": f"edge-{zone}-{number // len(ZONES) + 1}",
            "ip": address,
            "zone": zone,
            "region": REGION,
            "listen": {
                "front": f"{address}:{FRONT}",
                "ready": f"{address}:{READY}",
                "control": f"{address}:{CONTROL}",
                "directory": f"{address}:{DIRECTORY}",
            },
            "port_range": [PEERS, PEERS + 15],
            "seeds": [f"{front}:{CONTROL}" for front in self.fronts[:3]],
            "bootstrap": True,
            "limits": {"memory_mb": 300, "link_mbps": 1000.0},
            "beat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store.address},
        }

    def _await_ready(self):
        end_s = time.monotonic() + START_S
        for address in self.fronts:
            while not self._is_ready(address):
                if time.monotonic() > end_s:
                    raise CannotRunError("a VM did not become ready")
                if any(p.poll() is not None for p in self._processes):
                    raise CannotRunError("a VM ended: " + self.read_logs())
                time.sleep(0.1)
        # The VMs have found each other and the servers by then.
        time.sleep(4)
        self.record("all VMs are ready")

    def _is_ready(self, address):
        try:
            connection = http.client.HTTPConnection(address, READY, timeout=2)
            connection.request("GET", "/mulberryway/ready")
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            return False
        return status == 200


class Answer:
    """What a client got."""

    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def seal(self):
        """The server's signature; none without one."""
        return self.headers.get("Server-Seal")


def send(
    deployment,
    number,
    method,
    target,
    attempt,
    headers=(),
    body=b"",
    key=next(iter(KEYS)),
    deadline_ms=1500,
):
    """Send one client attempt on a new connection and return its answer.

    ``headers`` are pairs that are written as they are, after the usual ones.
    """
    pairs = [
        ("Host", HOST),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Token {key}"),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    deployment.record(
        f"sent {attempt} VM {number} {method} {target} {list(headers)}"
    )
    head = "\r\n".join(
        [f"{method} {target} HTTP/1.1"]
        + [f"{name}: {value}" for name, value in pairs]
        + ["", ""]
    )
    answer = _exchange(
        deployment.fronts[number], head.encode("latin-1") + body, deadline_ms
    )
    deployment.successes += answer.status == 200
    deployment.record(
        f"answer {attempt} {answer.status} seal={answer.seal} "
        f"bytes={len(answer.body)} whole={answer.is_whole}"
    )
    return answer


def _exchange(address, data, deadline_ms):
    # A little longer than the deadline, for answers that are just in time.
    timeout_s = deadline_ms / 1_000 + 0.5
    try:
        with socket.create_connection((address, FRONT), 1) as connection:
            connection.settimeout(timeout_s)
            connection.sendall(data)
            response = http.client.HTTPResponse(connection)
            response.begin()
            headers = dict(response.getheaders())
            try:
                return Answer(response.status, headers, response.read(), True)
            except http.client.IncompleteRead as cut:
                return Answer(response.status, headers, cut.partial, False)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {"error": repr(error)}, b"", False)


def make_route(name, prefix, service, kind, timeout_ms, attempts=1, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 900 if kind == "streaming" else 400,
        "priority": 1 if kind == "streaming" else 2,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        **more,
    }


def run(case):
    """Run a case and exit with its result.

    :param case: called with the case's folder and with whether to cause the
        trouble; returns whether the rule was broken
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGALRM, _end_late)
    signal.alarm(MAX_RUN_S)
    try:
        is_broken = case(folder, has_trouble)
    except Exception as error:
        # Python's own status for an exception would mean a broken rule.
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)


def _end_late(number, frame):
    raise CannotRunError("the case took too long")


def _pick_network():
    """Return a loopback /24 in which nobody listens on our ports."""
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(
            _is_free(f"{net}.{number}", port)
            for number in (1, 2, 3)
            for port in (FRONT, DIRECTORY, READY, PEERS, METRICS)
        ) and _is_free(f"{net}.200", STORE):
            return net
    raise CannotRunError("no free addresses")


def _is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def _render(text, scopes):
    """Fill in the settings template as DEPLOY.md tells."""

    def fill_section(match):
        value = _find(match[1], scopes)
        return "" if value in (None, False) else _render(match[2], scopes)

    def fill_value(match):
        value = _find(match[1], scopes)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return VALUE.sub(fill_value, SECTION.sub(fill_section, text))


def _find(path, scopes):
    value = scopes[-1]
    for word in path.split("."):
        if isinstance(value, list):
            value = value[int(word)] if int(word) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(word)
        else:
            return None
    return value
