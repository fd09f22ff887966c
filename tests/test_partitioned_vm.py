"""Tests of VMs that cannot reach upstreams which other VMs do reach."""

import concurrent.futures
import itertools
import time
import unittest

from standins import partitioned_vm
from tests import hosted_fleet

# Callers of a partitioned VM must be served from this long after the cut on.
CONTACT_S = 3.0
# The aim; the rule's floor is two thirds.
SERVED_FRACTION = 0.9
REQUESTS = 30
CALLERS = 6
PATHS = ("/plain/x", "/book/x", "/talk/x")


class PartitionedVmTest(unittest.TestCase):
    """Fleets of three VMs, of which one loses its paths to upstreams."""

    def setUp(self):
        self.fleet = hosted_fleet.Fleet(
            vms=3,
            phases=("prefill", "decode", "decode"),
            program=partitioned_vm.__name__,
        )
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        self.attempts = itertools.count()
        self.assertEqual(self.count_served(0), REQUESTS)

    def count_served(self, number):
        """Return how many first attempts of a mix of requests succeed."""
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            statuses = pool.map(
                lambda index: self.send(number, PATHS[index % len(PATHS)]),
                range(REQUESTS),
            )
            return sum(status == 200 for status in statuses)

    def send(self, number, path):
        """Return the status of one attempt; 0 if its connection broke."""
        attempt = f"p-{next(self.attempts)}"
        try:
            reply = self.fleet.send(
                number, path, attempt, headers=hosted_fleet.STREAM
            )
        except OSError:
            return 0
        return 0 if reply.is_cut else reply.status

    def check_partition(self, mode, upstreams=None):
        """Cut a VM from upstreams and compare its callers with the others."""
        self.fleet.partition(0, mode, upstreams)
        end = time.monotonic() + CONTACT_S
        while time.monotonic() < end:
            self.send(0, PATHS[0])
            self.send(0, PATHS[1])
        served = {number: self.count_served(number) for number in range(3)}
        self.assertGreaterEqual(served[0], SERVED_FRACTION * REQUESTS, served)
        self.assertGreaterEqual(
            served[1] + served[2], SERVED_FRACTION * 2 * REQUESTS, served
        )

    def test_served_while_paths_to_all_upstreams_are_silent(self):
        """A VM loses all packets to upstreams, and refuses its callers."""
        self.check_partition(partitioned_vm.Mode.SILENT)

    def test_served_while_connections_to_all_upstreams_are_reset(self):
        """Upstreams reset a VM's connections, and it refuses its callers."""
        self.check_partition(partitioned_vm.Mode.RESET)

    def test_served_while_new_connections_are_refused(self):
        """Only a VM's new connections fail; it refuses its callers."""
        self.check_partition(partitioned_vm.Mode.REFUSE)

    def test_served_while_one_service_is_unreachable(self):
        """A VM loses the paths to one service and refuses its calls."""
        self.check_partition(partitioned_vm.Mode.SILENT, ("s0", "s1"))
