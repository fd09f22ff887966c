"""Starts real processes for tests, and ends exactly those."""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).parent.parent
HOST = "127.0.0.1"
START_S = 30.0
STOP_S = 10.0
POLL_S = 0.02
WORKER = int(os.environ.get("MULBERRYWAY_TEST_WORKER", "0"))
FIRST_PORT = 10_000
# Below the ports that the kernel picks for outgoing connections.
PORTS = 2_000
RANGES = 11
NUMBERS = itertools.count()
# Straight to loopback, whatever proxy the environment names.
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def reserve_port_range():
    """Return the first port of a range that no other process uses.

    Two runs at once, such as a soak beside the tests, would else pick the
    same ports, each between the other's look and its use; fleets then got
    the other's servers or did not start.  The last port of a range is kept
    bound for as long as the process lives, which claims the range.
    """
    others = [number for number in reversed(range(RANGES)) if number != WORKER]
    for number in (WORKER, *others):
        first = FIRST_PORT + number * PORTS
        guard = socket.socket()
        try:
            guard.bind((HOST, first + PORTS - 1))
        except OSError:
            guard.close()
            continue
        return first, guard
    raise RuntimeError("all ranges of ports are in use")


FIRST_OWN_PORT, RANGE_GUARD = reserve_port_range()


def pick_ports(count):
    """Return ports that are free now, from this process's own range.

    Ports that the kernel picks lie above all ranges, so that neither another
    process nor an outgoing connection takes one between here and its use.
    """
    found = []
    while len(found) < count:
        port = FIRST_OWN_PORT + next(NUMBERS) % (PORTS - 1)
        with contextlib.closing(socket.socket()) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            found.append(port)
    return found


def wait_until(condition, timeout_s=START_S, poll_s=POLL_S):
    """Wait for a condition; the time limit is only a guard.

    :param condition: called until it returns something true
    :returns: what it returned, or its last answer at the limit
    """
    end = time.monotonic() + timeout_s
    while not (found := condition()) and time.monotonic() < end:
        time.sleep(poll_s)
    return found


def is_open(port):
    """Tell whether something listens on a port."""
    try:
        socket.create_connection((HOST, port), 1).close()
    except OSError:
        return False
    return True


def count_threads(pid):
    """Return how many threads a process has, by the kernel's list."""
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


class Reply:
    """An HTTP reply; a cut one has less body than its head announced."""

    def __init__(self, status, headers, body, is_cut=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_cut = is_cut

    def json(self) -> typing.Any:
        return json.loads(self.body)


def call(port, method, path, body=None, headers=None, timeout_s=10):
    """Make one HTTP call and return its reply, whatever its status."""
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}", data, headers or {}, method=method
    )
    try:
        with OPENER.open(request, timeout=timeout_s) as reply:
            try:
                return Reply(reply.status, reply.headers, reply.read())
            except http.client.IncompleteRead as cut:
                return Reply(reply.status, reply.headers, cut.partial, True)
    except urllib.error.HTTPError as error:
        with error:
            return Reply(error.code, error.headers, error.read())


class Process:
    """A running program of the project.

    :param module: what follows ``python -m``
    :param arguments: the command line
    :param ports: where it listens once it is ready
    :param log: a file that its standard output is added to
    """

    def __init__(self, module, arguments=(), ports=(), log=None):
        self.is_standin = module.startswith("standins.")
        with open(log or os.devnull, "ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
            )
        self.ports = list(ports)

    def wait_ready(self):
        """Wait until it listens on all its ports."""
        wait_until(
            lambda: (
                self.popen.poll() is not None or all(map(is_open, self.ports))
            )
        )
        if not all(map(is_open, self.ports)):
            self.stop()
            raise RuntimeError(f"{self.popen.args} did not start")
        return self

    def stop(self):
        """End it by SIGTERM, and by SIGKILL if that does not help."""
        self.terminate()
        try:
            return self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired:
            return self.kill()

    def terminate(self):
        """Send SIGTERM without waiting for the end."""
        if self.popen.poll() is None:
            self.popen.terminate()

    def kill(self):
        """End it at once, as a VM's failure does."""
        self.popen.kill()
        return self.popen.wait(STOP_S)

    def send_signal(self, number):
        """Send a signal, such as SIGSTOP and SIGCONT."""
        self.popen.send_signal(number)


class Group:
    """Processes that end together; use it as a context manager."""

    def __init__(self):
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self, module, *arguments, ports=()):
        """Start a program and wait until it listens.

        :param module: what follows ``python -m``
        :param arguments: its command line
        :param ports: where it will listen
        """
        process = Process(module, arguments, ports)
        self.processes.append(process)
        return process.wait_ready()

    def stop(self):
        """End all: the project's programs together, then the stand-ins.

        A router that stops still needs its platform.  Each gets a second
        signal, at which a router no longer waits for what runs: no test
        has anything running that matters by then.
        """
        for is_standin in (False, True):
            ending = [
                process
                for process in self.processes
                if process.is_standin is is_standin
            ]
            for process in ending:
                process.terminate()
            for process in ending:
                process.stop()


def start_engines(group, roles, *arguments):
    """Start one process of several engines.

    :param roles: each engine's role
    :param arguments: further flags
    :returns: the process and the engines' ports
    """
    ports = pick_ports(len(roles))
    flags = [
        flag
        for port, role in zip(ports, roles, strict=True)
        for flag in (f"--port={port}", f"--role={role}")
    ]
    process = group.start("standins.engine", *flags, *arguments, ports=ports)
    return process, ports


def start_standin(group, name, *arguments):
    """Start ``standins.NAME`` on a free port.

    :returns: the process and its port
    """
    (port,) = pick_ports(1)
    process = group.start(
        f"standins.{name}", f"--port={port}", *arguments, ports=[port]
    )
    return process, port
