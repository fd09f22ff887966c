"""Tests of the claim store and of shards' coordinators."""

import collections
import threading
import unittest
import unittest.mock

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.controllers import claim_coordination
from mulberryway.controllers import claims as controller
from mulberryway.peers.gen.claims import Claims
from mulberryway.policy import claim_coordinators
from mulberryway.policy import claim_records
from mulberryway.policy import claims
from mulberryway.policy import member
from tests import fakes
from tests import processes


class CoordinatorTest(unittest.TestCase):
    """Two VMs connected over real sockets; one writes claims for both."""

    def setUp(self):
        self.clock = clock.SystemClock()
        self.store = fakes.MemoryStore()
        self.members = []
        self.numbers = iter(range(1, 10**6))
        self.servers = {}
        self.vms = {name: self.start(name) for name in ("a1", "b1")}

    def start(self, name):
        vm = controller.ClaimStore(
            self.store,
            self.clock,
            name,
            1,
            peers=peers.PeerClient("s", self.clock),
            find_coordinator=claim_coordination.make_coordinator_finder(
                name, lambda: self.members
            ),
        )
        server = peers.PeerServer(
            processes.HOST,
            0,
            "s",
            {"Claims": Claims.Processor(vm.handler)},
            self.clock,
        )
        server.start()
        self.addCleanup(server.stop)
        self.servers[name] = server
        self.members.append(
            member.Member(name, processes.HOST, server.port, 0, "z", "r", 1)
        )
        return vm

    def begin(self, name, key, call="c"):
        deadline = clock.Deadline(self.clock.now_ms() + 5_000)
        return self.vms[name].begin("a", key, call, deadline)

    def make_key(self, coordinator):
        """Return a key in a shard whose coordinator is a given VM."""
        while True:
            key = claim_records.make_uuid7(
                self.clock.wall_ms(), next(self.numbers)
            )
            digest = claim_records.parse_claim_id("a", key).digest
            shard = claims.pick_shard(digest)
            chosen = claim_coordinators.choose_coordinator(shard, self.members)
            if chosen.name == coordinator:
                return key

    def test_coordinator_writes_for_both(self):
        key = self.make_key("b1")
        grant = self.begin("a1", key).ok
        reads = self.store.counts["claims"]
        reply = claim_records.CachedReply(201, [], b"booked")
        self.vms["a1"].end(grant, errors.ExecutionStatus.RAN, reply)
        # The completion record reaches the coordinator with the retry, before
        # any write.
        self.assertEqual(self.begin("a1", key).ok.body, b"booked")
        self.assertEqual(self.begin("b1", key).ok.body, b"booked")
        self.assertLessEqual(self.store.counts["claims"], reads + 2)

    def test_calls_run_after_a_coordinator_crash(self):
        """A coordinator crashes and membership has not detected it yet.

        Calls at other VMs must still run, exactly once.
        """
        old, fresh = self.make_key("b1"), self.make_key("b1")
        self.assertTrue(self.begin("a1", old).is_ok())
        self.servers["b1"].stop()
        self.assertIsInstance(self.begin("a1", fresh).ok, controller.Grant)
        again = self.begin("a1", old)
        self.assertEqual(again.error.run, errors.ExecutionStatus.MAY_HAVE_RUN)


class ClaimStoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.SystemClock()
        self.store = fakes.MemoryStore()
        self.a1 = self.start("a1")
        self.b1 = self.start("b1")
        self.numbers = iter(range(1, 10**6))

    def start(self, name, incarnation=1):
        return controller.ClaimStore(self.store, self.clock, name, incarnation)

    def make_key(self, ahead_ms=0):
        return claim_records.make_uuid7(
            self.clock.wall_ms() + ahead_ms, next(self.numbers)
        )

    def begin(self, vm, key, call="c", account="a", limit_ms=5_000):
        deadline = clock.Deadline(self.clock.now_ms() + limit_ms)
        return vm.begin(account, key, call, deadline)

    def check_fault(self, began, code, run):
        self.assertTrue(began.is_error(), began)
        self.assertEqual((began.error.code, began.error.run), (code, run))

    def test_retry_at_another_vm_gets_the_reply(self):
        """A caller loses the reply and retries at another VM.

        It must get the reply to the first call, and no second run.
        """
        key = self.make_key()
        grant = self.begin(self.a1, key).ok
        self.check_fault(
            self.begin(self.b1, key),
            errors.Code.DUPLICATE,
            errors.ExecutionStatus.MAY_HAVE_RUN,
        )
        reply = claim_records.CachedReply(201, [("X", "y")], b"booked")
        self.a1.end(grant, errors.ExecutionStatus.RAN, reply)
        self.assertEqual(self.begin(self.a1, key).ok.body, b"booked")
        self.a1.step()
        again = self.begin(self.b1, key).ok
        self.assertEqual((again.status, again.body), (201, b"booked"))
        self.check_fault(
            self.begin(self.b1, key, "other"),
            errors.Code.REQUEST_ID_REUSED,
            errors.ExecutionStatus.NOT_RUN,
        )
        other_account = self.begin(self.b1, key, account="b")
        self.assertIsInstance(other_account.ok, controller.Grant)

    def test_duplicate_waits_for_the_running_call(self):
        """A caller times out early and retries its slow call.

        The retry waits for the first call's reply instead of failing.
        """
        key = self.make_key()
        grant = self.begin(self.a1, key).ok
        results = []
        duplicate = threading.Thread(
            target=lambda: results.append(self.begin(self.a1, key))
        )
        duplicate.start()
        reply = claim_records.CachedReply(201, [], b"booked")
        self.a1.end(grant, errors.ExecutionStatus.RAN, reply)
        duplicate.join(10)
        self.assertEqual(results[0].ok.body, b"booked")

    def test_crash_during_a_call_is_reported(self):
        """A VM crashes while a call runs, so its outcome is unknown.

        Retries must get "may have run" from the restarted VM and from others.
        """
        key = self.make_key()
        self.assertTrue(self.begin(self.a1, key).is_ok())
        for vm in (self.start("a1", 2), self.b1):
            self.check_fault(
                self.begin(vm, key),
                errors.Code.DUPLICATE,
                errors.ExecutionStatus.MAY_HAVE_RUN,
            )

    def test_call_that_did_not_run_can_be_retried(self):
        """The service rejected the connection, so the call did not run.

        An immediate retry at another VM must be granted.
        """
        key = self.make_key()
        self.a1.end(
            self.begin(self.a1, key).ok, errors.ExecutionStatus.NOT_RUN
        )
        self.assertIsInstance(self.begin(self.b1, key).ok, controller.Grant)

    def test_outage_means_not_run(self):
        """The platform is unreachable, so no claim can be made.

        The call fails with "not run", and a retry after the outage works.
        """
        key = self.make_key()
        self.store.outage = True
        self.check_fault(
            self.begin(self.a1, key),
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.ExecutionStatus.NOT_RUN,
        )
        self.store.outage = False
        self.assertIsInstance(self.begin(self.a1, key).ok, controller.Grant)

    def test_lost_reply_to_a_claim_is_resolved_by_reading(self):
        """A claim is written but the platform's reply is lost.

        The attempt finds its own claim in the log, and the call runs once.
        """
        self.store.lose_reply = 1.0
        key = self.make_key()
        self.assertIsInstance(self.begin(self.a1, key).ok, controller.Grant)
        self.store.lose_reply = 0.0
        self.assertTrue(self.begin(self.b1, key).is_error())

    def test_claim_that_arrives_late_is_released(self):
        """A claim's write is delayed until its caller got "not run".

        When it arrives in the log, it must not block the caller's retry.
        """
        key = self.make_key()
        digest = claim_records.parse_claim_id("a", key).digest
        writer = self.a1._find_shard(digest).writer
        real = writer.log._send
        sent = []

        def lose(append):
            sent.append(append)
            self.store.outage = True
            fault = fakes.make_fault(
                errors.Code.PLATFORM_UNAVAILABLE,
                errors.ExecutionStatus.MAY_HAVE_RUN,
            )
            return expression.Error(fault)

        writer.log._send = lose
        self.check_fault(
            self.begin(self.a1, key),
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.ExecutionStatus.NOT_RUN,
        )
        self.store.outage = False
        writer.log._send = real
        self.assertTrue(real(sent[0]).is_ok())
        for _ in range(2):
            self.begin(self.a1, self.make_key_in(writer))
        self.assertIsInstance(self.begin(self.b1, key).ok, controller.Grant)

    def make_key_in(self, writer):
        while True:
            key = self.make_key()
            digest = claim_records.parse_claim_id("a", key).digest
            if self.a1._find_shard(digest).writer is writer:
                return key

    def test_invalid_ids_are_rejected(self):
        for key, code in (
            ("booking-7", errors.Code.REQUEST_ID_REQUIRED),
            (self.make_key(ahead_ms=120_000), errors.Code.BAD_REQUEST),
        ):
            self.check_fault(
                self.begin(self.a1, key), code, errors.ExecutionStatus.NOT_RUN
            )

    def test_large_reply_is_not_stored(self):
        key = self.make_key()
        grant = self.begin(self.a1, key).ok
        reply = claim_records.CachedReply(200, [], b"x" * 10_000)
        self.a1.end(grant, errors.ExecutionStatus.RAN, reply)
        self.check_fault(
            self.begin(self.a1, key),
            errors.Code.DUPLICATE,
            errors.ExecutionStatus.RAN,
        )

    def test_concurrent_duplicates_run_once(self):
        """Callers send each call to both VMs at the same time.

        Each call must be granted exactly once.
        """
        keys = [self.make_key() for _ in range(200)]
        granted = collections.Counter()
        lock = threading.Lock()

        def send(vm, part):
            for key in part:
                began = self.begin(vm, key)
                if isinstance(began.default_value(None), controller.Grant):
                    with lock:
                        granted[key] += 1

        threads = [
            threading.Thread(target=send, args=(vm, keys[start::20]))
            for vm in (self.a1, self.b1)
            for start in range(20)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        self.assertEqual(granted, collections.Counter(keys))


if __name__ == "__main__":
    unittest.main()
