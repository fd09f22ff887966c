"""Tests of calls that run at most once, over a faulty network."""

import collections
import concurrent.futures
import contextlib
import random
import unittest

from mulberryway import clock
from mulberryway.controllers import claims
from mulberryway.objects import call_metrics
from mulberryway.objects import http
from mulberryway.policy import claim_records
from tests import processes
from tests import router_fixture

VMS = ("a1", "b1")
PLATFORM_TIMEOUT_MS = 500


class OnceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        group = processes.Group()
        cls.addClassCleanup(group.stop)
        _, cls.platform = processes.start_standin(
            group, "platform", "--writes_per_s=0", "--reads_per_s=0"
        )
        _, cls.service = processes.start_standin(
            group,
            "service",
            f"--credential={router_fixture.CREDENTIAL}",
        )
        cls.control, *ports = processes.pick_ports(3)
        cls.service_by_proxy, cls.platform_by_proxy = ports
        group.start(
            "standins.faultproxy",
            f"--port={cls.control}",
            cls.make_pair("service", cls.service_by_proxy, cls.service),
            cls.make_pair("platform", cls.platform_by_proxy, cls.platform),
            ports=[cls.control, *ports],
        )
        cls.rigs = {vm: cls.start(vm) for vm in VMS}

    @staticmethod
    def make_pair(name, port, target):
        host = processes.HOST
        return f"--pair={name}={host}:{port}={host}:{target}"

    @classmethod
    def start(cls, vm):
        clock_ = clock.SystemClock()
        store = http.HttpObjectStore(
            f"http://{processes.HOST}:{cls.platform_by_proxy}",
            PLATFORM_TIMEOUT_MS,
            clock_,
            call_metrics.InMemoryCallCounter(),
        )
        rig = router_fixture.RouterFixture(
            cls.make_tables(cls.service_by_proxy),
            claims=claims.ClaimStore(store, clock_, vm, 1, 1),
        )
        rig.__enter__()
        cls.addClassCleanup(rig.__exit__)
        return rig

    @staticmethod
    def make_tables(port):
        upstream = router_fixture.make_upstream("service", port)
        return router_fixture.make_tables((), (upstream,))

    def setUp(self):
        self.clock = clock.SystemClock()
        self.random = random.Random(self.id())

    def fault(self, pair, **faults):
        path = f"/standin/pairs/{pair}"
        reply = processes.call(self.control, "POST", path, faults)
        self.assertEqual(reply.status, 200, reply.body)

    def make_key(self):
        return claim_records.make_uuid7(
            self.clock.wall_ms(), self.random.getrandbits(70)
        )

    def book(self, vm, key, body=b'{"pen": 7}'):
        return self.rigs[vm].call(
            "POST", "/bookings", body, Idempotency_Key=key
        )

    def count_runs(self, key):
        shown = processes.call(self.service, "GET", "/standin/bookings")
        return shown.json()["by_key"].get(key, 0)

    def check_fault(self, reply, code, run):
        fault = reply.json()["error"]
        self.assertEqual((fault["code"], fault["run"]), (code, run), fault)

    def test_repeat_elsewhere_gets_the_first_reply(self):
        """A caller loses the reply and retries at another VM.

        It must get the first reply, and the booking must not be made twice.
        """
        key = self.make_key()
        first = self.book("a1", key)
        self.assertEqual(first.status, 201)
        self.rigs["a1"].claims.step()
        for vm in VMS:
            again = self.book(vm, key)
            self.assertEqual((again.status, again.body), (201, first.body))
            self.assertEqual(again.headers["Idempotency-Replayed"], "true")
        self.check_fault(
            self.book("b1", key, b'{"pen": 8}'),
            "request_id_reused",
            "not_run",
        )
        self.assertEqual(self.count_runs(key), 1)

    def test_lost_reply_of_the_service_is_told(self):
        """The service makes a booking and its reply is lost.

        The call and each retry must get "may have run".
        """
        key = self.make_key()
        self.fault("service", drop_replies=1)
        for vm in ("a1", "b1", "a1"):
            reply = self.book(vm, key)
            self.assertEqual(reply.json()["error"]["run"], "may_have_run")
        self.assertEqual(self.count_runs(key), 1)

    def test_unreachable_service_leaves_the_call_free(self):
        """No server accepts the connection.

        The call gets "not run", and the same key works when a server is back.
        """
        key = self.make_key()
        (closed,) = processes.pick_ports(1)
        source = self.rigs["a1"].source
        source.change(self.make_tables(closed))
        refused = self.book("a1", key).json()["error"]
        source.change(self.make_tables(self.service_by_proxy))
        self.assertEqual(refused["run"], "not_run")
        self.assertEqual(self.book("b1", key).status, 201)
        self.assertEqual(self.count_runs(key), 1)

    def test_outage_of_the_platform_means_not_run(self):
        """The platform is unreachable, so a booking cannot be claimed.

        The call must get "not run" and the booking must not be made.
        """
        key = self.make_key()
        self.set_platform(outage=True)
        self.check_fault(
            self.book("a1", key), "platform_unavailable", "not_run"
        )
        self.set_platform(outage=False)
        self.assertEqual(self.count_runs(key), 0)
        self.assertEqual(self.book("b1", key).status, 201)

    def set_platform(self, **faults):
        processes.call(self.platform, "POST", "/standin/faults", faults)

    def test_silent_platform_connections_are_left(self):
        """Open connections to the platform stall while new ones work.

        Bookings must work again after one timeout.
        """
        self.assertEqual(self.book("a1", self.make_key()).status, 201)
        self.fault("platform", silent=["up", "down"])
        key = self.make_key()
        replies = [self.book("a1", key) for _ in range(3)]
        self.assertEqual(replies[-1].status, 201, replies[-1].body)
        self.assertEqual(self.count_runs(key), 1)

    def test_random_faults_never_run_a_call_twice(self):
        """Replies get lost, connections break and callers retry at both VMs.

        No call may run twice.
        """
        keys = [self.make_key() for _ in range(60)]
        done = collections.Counter()

        def send(number):
            key = keys[number % len(keys)]
            vm = VMS[number // len(keys) % len(VMS)]
            with contextlib.suppress(OSError):
                reply = self.book(vm, key)
                done[key, reply.status == 201] += 1

        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            sent = [
                pool.submit(send, number) for number in range(4 * len(keys))
            ]
            for _ in range(10):
                pair = self.random.choice(("service", "platform"))
                self.fault(pair, drop_replies=2)
                self.fault(pair, cut=self.random.random() < 0.3)
                concurrent.futures.wait(sent, 0.05)
            for one in sent:
                one.result()
        self.fault("service", drop_replies=0)
        self.fault("platform", drop_replies=0)
        runs = [self.count_runs(key) for key in keys]
        self.assertLessEqual(max(runs), 1)
        for key, ran in zip(keys, runs, strict=True):
            if done[key, True]:
                self.assertEqual(ran, 1)
        self.assertGreater(sum(runs), len(keys) / 2)

    def test_call_without_a_claim_store_is_refused(self):
        rig = router_fixture.RouterFixture(self.make_tables(self.service))
        with rig:
            key = self.make_key()
            reply = rig.call("POST", "/bookings", b"{}", Idempotency_Key=key)
        self.check_fault(reply, "platform_unavailable", "not_run")
        self.assertEqual(self.count_runs(key), 0)


if __name__ == "__main__":
    unittest.main()
