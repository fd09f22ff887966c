"""A VM's claims for calls that must run at most once, and its keepers."""

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


class KeeperTest(unittest.TestCase):
    """Two VMs that speak over real connections; one writes for both."""

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

    def make_key(self, keeper):
        """Return a key in a shard that a VM keeps."""
        while True:
            key = claim_records.make_uuid7(
                self.clock.wall_ms(), next(self.numbers)
            )
            digest = claim_records.parse_claim_id("a", key).digest
            shard = claims.pick_shard(digest)
            chosen = claim_coordinators.choose_coordinator(shard, self.members)
            if chosen.name == keeper:
                return key

    def test_keeper_writes_for_both(self):
        key = self.make_key("b1")
        grant = self.begin("a1", key).ok
        reads = self.store.counts["claims"]
        reply = claim_records.CachedReply(201, [], b"booked")
        self.vms["a1"].end(grant, errors.ExecutionStatus.RAN, reply)
        # The end reaches the keeper with the repeat, before any write.
        self.assertEqual(self.begin("a1", key).ok.body, b"booked")
        self.assertEqual(self.begin("b1", key).ok.body, b"booked")
        self.assertLessEqual(self.store.counts["claims"], reads + 2)

    def test_lost_keeper_costs_no_booking(self):
        """The VM that writes a shard dies and membership has not noticed.
        Callers of other VMs still get their bookings made, once.
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

    def test_repeat_at_another_vm_gets_the_reply(self):
        """A caller loses the reply and asks another VM.  It must get the
        booking that was made, and not a second one.
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
        mine = self.begin(self.b1, key, account="b")
        self.assertIsInstance(mine.ok, controller.Grant)

    def test_repeat_while_the_call_runs_waits_for_its_reply(self):
        """A caller gives up early and sends its slow call again.  The second
        try waits for the first one's reply instead of failing.
        """
        key = self.make_key()
        grant = self.begin(self.a1, key).ok
        found = []
        follower = threading.Thread(
            target=lambda: found.append(self.begin(self.a1, key))
        )
        follower.start()
        reply = claim_records.CachedReply(201, [], b"booked")
        self.a1.end(grant, errors.ExecutionStatus.RAN, reply)
        follower.join(10)
        self.assertEqual(found[0].ok.body, b"booked")

    def test_crash_between_claim_and_end_is_told(self):
        """The VM dies while the call runs.  Nobody can know whether it ran,
        and its successor must say just that.
        """
        key = self.make_key()
        self.assertTrue(self.begin(self.a1, key).is_ok())
        for vm in (self.start("a1", 2), self.b1):
            self.check_fault(
                self.begin(vm, key),
                errors.Code.DUPLICATE,
                errors.ExecutionStatus.MAY_HAVE_RUN,
            )

    def test_call_that_did_not_run_can_be_repeated_at_once(self):
        """The service refused the connection.  The caller was told so and
        tries again at another VM, which must not hold it back.
        """
        key = self.make_key()
        self.a1.end(
            self.begin(self.a1, key).ok, errors.ExecutionStatus.NOT_RUN
        )
        self.assertIsInstance(self.begin(self.b1, key).ok, controller.Grant)

    def test_outage_means_not_run(self):
        """The platform is down, so no claim can be made.  The caller learns
        at once that nothing ran, and the repeat afterwards works.
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

    def test_lost_reply_to_the_claim_is_settled_by_reading(self):
        """The claim is written and the platform's answer is lost.  The call
        may run, once, because the log names this attempt.
        """
        self.store.lose_reply = 1.0
        key = self.make_key()
        self.assertIsInstance(self.begin(self.a1, key).ok, controller.Grant)
        self.store.lose_reply = 0.0
        self.assertTrue(self.begin(self.b1, key).is_error())

    def test_claim_that_arrives_late_is_released(self):
        """A claim's write is held up until its caller was told "not run".
        When it turns up after all it must not block the caller's repeat.
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

    def test_ids_of_other_times_or_forms_are_refused(self):
        for key, code in (
            ("booking-7", errors.Code.REQUEST_ID_REQUIRED),
            (self.make_key(ahead_ms=120_000), errors.Code.BAD_REQUEST),
        ):
            self.check_fault(
                self.begin(self.a1, key), code, errors.ExecutionStatus.NOT_RUN
            )

    def test_large_reply_is_not_kept_but_told(self):
        key = self.make_key()
        grant = self.begin(self.a1, key).ok
        reply = claim_records.CachedReply(200, [], b"x" * 10_000)
        self.a1.end(grant, errors.ExecutionStatus.RAN, reply)
        self.check_fault(
            self.begin(self.a1, key),
            errors.Code.DUPLICATE,
            errors.ExecutionStatus.RAN,
        )

    def test_many_at_once_share_writes_and_run_once(self):
        """Callers repeat each call at both VMs at the same moment.  One of
        them runs it, and the writes are far fewer than the calls.
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
