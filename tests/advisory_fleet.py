"""Fleets whose servers say in their answers what they want, and their load."""

import concurrent.futures
import threading
import time

from tests import hosted_fleet
from tests import processes

SERVERS = ("s0", "s1", "s2")
PHASES = ("prefill", "decode", "decode", "decode")
PLAIN_PATH = "/plain/"
STREAM_PATH = "/talk/"
SENDERS = 48
# Counted are requests from VMs that were told this long before.
TOLD_MS = 500
WINDOW_MS = 4_000


def now_ms():
    """Return the monotonic time in ms, which servers use as well."""
    return time.monotonic_ns() // 1_000_000


class Sent:
    """One request and its answer.

    :param vm: number of the VM that it was sent to
    """

    def __init__(self, vm):
        self.vm = vm
        self.at_ms = now_ms()
        self.took_ms = 0
        self.status = 0
        self.retry_after_s = None


class AdvisoryFleet(hosted_fleet.Fleet):
    """Three VMs, three servers of a plain service and four engines."""

    def __init__(self, vms=3, phases=PHASES, servers=SERVERS, **options):
        super().__init__(vms=vms, phases=phases, servers=servers, **options)

    def list_requests(self, server):
        """Return the requests to a server, in the order of their arrival."""
        port = self.upstreams[server][1]
        reply = processes.call(port, "GET", "/standin/requests")
        return reply.json()["requests"]

    def list_counted(self, server, header, told_ms=TOLD_MS):
        """Return the times of the requests from VMs that had been told.

        :param server: the server's name
        :param header: the header that has told them
        :param told_ms: how long before they had been told at least
        """
        requests = self.list_requests(server)
        told = {}
        for request in requests:
            if header in request["said"]:
                vm = find_vm(request)
                told[vm] = min(
                    told.get(vm, request["said_ms"]), request["said_ms"]
                )
        return [
            request["at_ms"]
            for request in requests
            if request["at_ms"]
            >= told.get(find_vm(request), now_ms()) + told_ms
        ]


class Load:
    """Requests that are sent at a fixed rate until it is stopped.

    :param fleet: the fleet
    :param interval_s: time between two requests in seconds
    :param path: the path of all requests
    :param pick_vm: returns the VM for a request by its number
    """

    def __init__(self, fleet, interval_s, path=PLAIN_PATH, pick_vm=None):
        self.sent = []
        self._fleet = fleet
        self._interval_s = interval_s
        self._path = path
        self._pick_vm = pick_vm or (lambda number: number % len(fleet.vms))
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *reason):
        self._stopping.set()
        self._thread.join()

    def list_since(self, begin_ms, end_ms=None):
        """Return the requests that were sent in a period."""
        return [
            one
            for one in self.sent
            if begin_ms <= one.at_ms and (end_ms is None or one.at_ms < end_ms)
        ]

    def _run(self):
        next_s = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            number = 0
            while not self._stopping.wait(max(next_s - time.monotonic(), 0)):
                next_s += self._interval_s
                pool.submit(self._send, number)
                number += 1

    def _send(self, number):
        vm = self._pick_vm(number)
        one = Sent(vm)
        self.sent.append(one)
        headers = hosted_fleet.STREAM if self._path == STREAM_PATH else None
        try:
            reply = self._fleet.send(
                vm,
                f"{self._path}{number}",
                f"{vm}-{self._path.strip('/')}-{number}",
                headers=headers,
            )
        except OSError:
            return
        one.status = reply.status
        one.took_ms = now_ms() - one.at_ms
        one.retry_after_s = reply.headers.get("Retry-After")


def find_vm(request):
    """Return the number of the VM that a request was sent to."""
    return int(request["id"].partition("-")[0])


def count_most(times, window_ms=WINDOW_MS):
    """Return the highest number of times within one window."""
    times, first, most = sorted(times), 0, 0
    for last, at_ms in enumerate(times):
        while at_ms - times[first] >= window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


def count_served(requests):
    """Return the number of requests that were answered with success."""
    return sum(one.status == 200 for one in requests)
