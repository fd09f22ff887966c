"""Starts processes for tests and stops only the processes it started."""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import resource
import signal
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
# All ranges lie below the kernel's ephemeral ports.
PORTS = 2_000
RANGES = 11
PORT_OFFSETS = itertools.count()
# Connects directly, even if the environment configures a proxy.
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def reserve_port_range():
    """Reserve a range of ports for this process.

    Without it, concurrent runs, such as a soak and the tests, could pick the
    same ports, because a port may be taken between the check and its use.
    Fleets then connected to the other run's servers or did not start.  The
    last port of the range stays bound until the process ends, which reserves
    the range.

    :returns: the first port of the range, and the bound socket
    :raises RuntimeError: if all ranges are in use
    """
    others = [number for number in reversed(range(RANGES)) if number != WORKER]
    for number in (WORKER, *others):
        first = FIRST_PORT + number * PORTS
        lock = socket.socket()
        try:
            lock.bind((HOST, first + PORTS - 1))
        except OSError:
            lock.close()
            continue
        return first, lock
    raise RuntimeError("all ranges of ports are in use")


FIRST_OWN_PORT, RANGE_LOCK = reserve_port_range()


def pick_ports(count):
    """Return currently free ports from the range of this process.

    The kernel's ephemeral ports lie above all ranges, so neither another
    process nor an outgoing connection can take a port before it is used.
    """
    ports = []
    while len(ports) < count:
        port = FIRST_OWN_PORT + next(PORT_OFFSETS) % (PORTS - 1)
        with contextlib.closing(socket.socket()) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            ports.append(port)
    return ports


def wait_until(condition, timeout_s=START_S, poll_s=POLL_S):
    """Poll a condition until it is true or the timeout expires.

    :param condition: called until it returns a true value
    :param timeout_s: timeout in seconds
    :param poll_s: interval between calls in seconds
    :returns: the last value that the condition returned
    """
    end = time.monotonic() + timeout_s
    while not (value := condition()) and time.monotonic() < end:
        time.sleep(poll_s)
    return value


def is_open(port):
    """Return whether a server listens on a port."""
    try:
        socket.create_connection((HOST, port), 1).close()
    except OSError:
        return False
    return True


def count_threads(pid):
    """Return the number of threads of a process, as listed in /proc."""
    return len(list(pathlib.Path(f"/proc/{pid}/task").iterdir()))


class Reply:
    """An HTTP response.

    ``is_cut`` is set if the body ended before the length or the last chunk
    that its header or framing announced.
    """

    def __init__(self, status, headers, body, is_cut=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_cut = is_cut

    def json(self) -> typing.Any:
        return json.loads(self.body)


def call(port, method, path, body=None, headers=None, timeout_s=10):
    """Send an HTTP request; return the response, whatever its status."""
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
    """A child process that runs a program of the project.

    :param module: Python module to run
    :param arguments: command-line arguments
    :param ports: ports that it listens on once it is ready
    :param log: file to which its standard output is appended
    :param descriptors: limit of its open descriptors; none to inherit it
    """

    def __init__(
        self, module, arguments=(), ports=(), log=None, descriptors=None
    ):
        self.is_standin = module.startswith("standins.")
        with open(log or os.devnull, "ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
            )
        if descriptors is not None:
            resource.prlimit(
                self.popen.pid,
                resource.RLIMIT_NOFILE,
                (descriptors, descriptors),
            )
        self.ports = list(ports)

    def wait_ready(self):
        """Wait until the process listens on all its ports."""
        wait_until(
            lambda: (
                self.popen.poll() is not None or all(map(is_open, self.ports))
            )
        )
        if not all(map(is_open, self.ports)):
            self.stop()
            raise RuntimeError(f"{self.popen.args} did not open all its ports")
        return self

    def stop(self):
        """Stop the process with SIGTERM, then SIGKILL after a timeout."""
        self.terminate()
        try:
            return self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired:
            return self.kill()

    def terminate(self):
        """Send SIGTERM without waiting for the process to exit."""
        if self.popen.poll() is None:
            self.popen.terminate()

    def interrupt(self):
        """Send SIGINT without waiting for the process to exit."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGINT)

    def kill(self):
        """Kill the process, which simulates a crash of its VM."""
        self.popen.kill()
        return self.popen.wait(STOP_S)

    def send_signal(self, number):
        """Send a signal, for example SIGSTOP or SIGCONT."""
        self.popen.send_signal(number)


class Group:
    """Context manager that stops all its processes together."""

    def __init__(self):
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self, module, *arguments, ports=()):
        """Start a program and wait until it listens.

        :param module: Python module to run
        :param arguments: command-line arguments
        :param ports: ports that it will listen on
        :returns: the process
        """
        process = Process(module, arguments, ports)
        self.processes.append(process)
        return process.wait_ready()

    def stop(self):
        """Stop all programs of the project, then the stand-ins.

        The stand-ins are last because a router needs the platform to shut
        down.  Each router gets SIGINT as well, which makes it exit without
        waiting for running requests; no test needs them any more.
        """
        for is_standin in (False, True):
            selected = [
                process
                for process in self.processes
                if process.is_standin is is_standin
            ]
            for process in selected:
                process.terminate()
            for process in selected:
                if not is_standin:
                    process.interrupt()
            for process in selected:
                process.stop()


def start_engines(group, roles, *arguments):
    """Start one process that runs several engine stand-ins.

    :param group: the group to add the process to
    :param roles: each engine's role
    :param arguments: additional flags
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

    :param group: the group to add the process to
    :param name: name of the stand-in's module
    :param arguments: additional flags
    :returns: the process and its port
    """
    (port,) = pick_ports(1)
    process = group.start(
        f"standins.{name}", f"--port={port}", *arguments, ports=[port]
    )
    return process, port
