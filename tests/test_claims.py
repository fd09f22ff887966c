"""Calls that must run at most once: the log, its faults, and its checker."""

import collections
import threading
import unittest
import unittest.mock

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway import peers
from mulberryway.controllers import claim_keeping
from mulberryway.controllers import claim_queue
from mulberryway.controllers import claim_writer
from mulberryway.controllers import claims as controller
from mulberryway.peers.gen.claims import Claims
from mulberryway.policy import claim_keepers
from mulberryway.policy import claim_records
from mulberryway.policy import claims
from mulberryway.policy import member
from tests import claim_history
from tests import fakes
from tests import processes

SCHEDULES = 250
STEPS = 80


class RecordsTest(unittest.TestCase):
    def test_id_binds_account_and_key(self):
        key = claim_records.make_key(1_700_000_000_123, 42)
        found = claim_records.read_id("a", key)
        self.assertEqual(found.time_ms, 1_700_000_000_123)
        same = claim_records.read_id("a", key.upper().replace("-", ""))
        self.assertEqual(same.digest, found.digest)
        other = claim_records.read_id("b", key)
        self.assertNotEqual(other.digest, found.digest)

    def test_other_ids_carry_no_time(self):
        for key in (
            "",
            "booking-7",
            "8c5b5b0e-54c1-4d0e-9d7b-6f0a1d3d7f10",
        ):
            self.assertIsNone(claim_records.read_id("a", key))

    def test_record_is_read_as_written(self):
        reply = claim_records.KeptReply(201, [("A", "b")], b"\xff")
        record = claim_records.Record(
            "d", 7, "c", "a1/1/1", claim_records.ClaimState.DONE, reply
        )
        read = claim_records.Record.decode(record.encode())
        self.assertEqual(read.encode(), record.encode())


class HistoryTest(unittest.TestCase):
    def run_all(self, count=SCHEDULES, **kwargs):
        ends = collections.Counter()
        found = []
        for seed in range(count):
            history = claim_history.History(seed, **kwargs)
            found += history.run(STEPS)
            ends += history.ends
        return found, ends

    def test_no_call_runs_twice(self):
        """VMs crash, writes get lost or arrive late, replies get lost, reads
        are old, and the caller repeats at any VM.  A booking that ran twice
        sends two boats and bills the farmer twice.
        """
        found, ends = self.run_all()
        self.assertEqual(found, [])
        for end in (
            "granted",
            "replayed",
            "duplicate may_have_run",
            "request_id_reused not_run",
            "platform_unavailable not_run",
        ):
            self.assertGreater(ends[end], SCHEDULES / 10, ends)

    def test_no_call_runs_twice_with_keepers(self):
        """VMs disagree on who writes a shard, calls between them get lost,
        and replies to such calls as well.  An attempt may then be written
        by two VMs, and must still run once.
        """
        found, ends = self.run_all(100, keepers=True)
        self.assertEqual(found, [])
        for end in ("granted", "replayed", "duplicate may_have_run"):
            self.assertGreater(ends[end], 100, ends)

    def test_checker_finds_a_keeper_that_releases_for_others(self):
        """A keeper gives up on another VM's attempt and releases its claim.
        The attempt went on by itself and runs; so does the next one.
        """

        class Meddling(claim_queue.Waiter):
            def __init__(self, request, is_own=True):
                super().__init__(request)

        with unittest.mock.patch.object(claim_keeping, "Waiter", Meddling):
            self.check_broken("two runs", 200, keepers=True)

    def check_broken(self, message, count=60, **kwargs):
        found, _ = self.run_all(count, **kwargs)
        self.assertTrue(
            [violation for violation in found if message in violation]
        )

    def test_checker_finds_a_floor_that_does_not_rise(self):
        """Old claims are overwritten and nothing remembers that there were
        some.  A late repeat would run again.
        """

        class Forgetful(claims.Shard):
            def next_floor_ms(self):
                return self.floor_ms

        self.check_broken("two runs", make_shard=lambda: Forgetful(3, 300))

    def test_checker_finds_a_write_that_is_not_conditional(self):
        """A VM whose write is refused sends the same records again with the
        new version.  It overwrites the other VM's claim.
        """

        def adapt(store):
            for writer in (shard.writer for shard in store._shards):
                writer._append = lambda append, writer=writer: force(
                    writer, append
                )

        def force(writer, append):
            writer_append = claim_writer.ClaimWriter._append
            result = writer_append(writer, append)
            if result.is_ok() or result.error.code is not errors.Code.CONFLICT:
                return result
            read = writer._store.read(writer._kind, str(append.place), "x")
            if read.is_ok():
                append.version = read.ok.version
            return writer_append(writer, append)

        self.check_broken("two runs", adapt=adapt)

    def test_checker_finds_a_lost_write_taken_for_done(self):
        """A write's reply does not come and the VM assumes the best.  The
        write never arrived, and another VM grants the same call.
        """

        def adapt(store):
            for writer in (shard.writer for shard in store._shards):
                writer._append = lambda append, writer=writer: hope(
                    writer, append
                )

        def hope(writer, append):
            result = claim_writer.ClaimWriter._append(writer, append)
            if result.is_error() and claim_writer._is_lost(result.error):
                version = (append.version or 0) + 1
                return expression.Ok(
                    claim_writer.base.StoredObject("", "", version, {})
                )
            return result

        self.check_broken("two runs", adapt=adapt)

    def test_checker_finds_slots_that_are_full_for_some(self):
        """Two releases disagree on when a slot is full.  Their VMs append
        to two slots at once, and neither sees the other's claims.
        """
        limits = iter(range(10**6))

        class Opinionated(claims.Shard):
            def __init__(self):
                super().__init__(3, 300)
                self.limit = 150 + 150 * (next(limits) % 3)

            def is_newest_full(self):
                newest = self._slots.get(self.newest_place())
                if newest is None:
                    return False
                size = sum(len(str(r.encode())) for r in newest.records)
                return size >= self.limit

            def plan_append(self, records):
                newest = self._slots.get(self.newest_place())
                if newest is not None:
                    newest.is_full = self.is_newest_full()
                return super().plan_append(records)

            def is_whole(self):
                return True

        self.check_broken("two runs", make_shard=Opinionated)

    def test_checker_finds_torn_lists(self):
        """A list's parts are of different ages, and the VM decides from it.
        It misses claims in a slot that is older than the others.
        """

        class Trusting(claims.Shard):
            def is_whole(self):
                return True

        self.check_broken("two runs", make_shard=lambda: Trusting(3, 300))

    def test_checker_finds_a_reused_incarnation(self):
        """A restarted router takes its old name and counts from one again.
        It takes its predecessor's claim for its own and runs the call.
        """

        def adapt(store):
            store._prefix = store._prefix.partition("/")[0] + "/1/"

        self.check_broken("two runs", adapt=adapt)

    def test_checker_finds_replies_to_another_body(self):
        """A caller sends another booking under an old id.  It would be told
        that this one is booked.
        """

        class Careless(claims.Shard):
            def decide(self, request, now_ms):
                record = self._records.get(request.id.digest)
                if record is not None:
                    request.call = record.call
                return super().decide(request, now_ms)

        self.check_broken(
            "a foreign reply", make_shard=lambda: Careless(3, 300)
        )


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
            find_keeper=claim_keeping.make_finder(name, lambda: self.members),
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
            key = claim_records.make_key(
                self.clock.wall_ms(), next(self.numbers)
            )
            digest = claim_records.read_id("a", key).digest
            shard = claims.pick_shard(digest)
            chosen = claim_keepers.choose_keeper(shard, self.members)
            if chosen.name == keeper:
                return key

    def test_keeper_writes_for_both(self):
        key = self.make_key("b1")
        grant = self.begin("a1", key).ok
        reads = self.store.counts["claims"]
        reply = claim_records.KeptReply(201, [], b"booked")
        self.vms["a1"].end(grant, errors.Run.RAN, reply)
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
        self.assertEqual(again.error.run, errors.Run.MAY_HAVE_RUN)


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
        return claim_records.make_key(
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
            errors.Run.MAY_HAVE_RUN,
        )
        reply = claim_records.KeptReply(201, [("X", "y")], b"booked")
        self.a1.end(grant, errors.Run.RAN, reply)
        self.assertEqual(self.begin(self.a1, key).ok.body, b"booked")
        self.a1.step()
        again = self.begin(self.b1, key).ok
        self.assertEqual((again.status, again.body), (201, b"booked"))
        self.check_fault(
            self.begin(self.b1, key, "other"),
            errors.Code.REQUEST_ID_REUSED,
            errors.Run.NOT_RUN,
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
        reply = claim_records.KeptReply(201, [], b"booked")
        self.a1.end(grant, errors.Run.RAN, reply)
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
                errors.Run.MAY_HAVE_RUN,
            )

    def test_call_that_did_not_run_can_be_repeated_at_once(self):
        """The service refused the connection.  The caller was told so and
        tries again at another VM, which must not hold it back.
        """
        key = self.make_key()
        self.a1.end(self.begin(self.a1, key).ok, errors.Run.NOT_RUN)
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
            errors.Run.NOT_RUN,
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
        digest = claim_records.read_id("a", key).digest
        writer = self.a1._find_shard(digest).writer
        real = writer._append
        sent = []

        def lose(append):
            sent.append(append)
            self.store.outage = True
            fault = fakes.make_fault(
                errors.Code.PLATFORM_UNAVAILABLE, errors.Run.MAY_HAVE_RUN
            )
            return expression.Error(fault)

        writer._append = lose
        self.check_fault(
            self.begin(self.a1, key),
            errors.Code.PLATFORM_UNAVAILABLE,
            errors.Run.NOT_RUN,
        )
        self.store.outage = False
        writer._append = real
        self.assertTrue(real(sent[0]).is_ok())
        for _ in range(2):
            self.begin(self.a1, self.make_key_in(writer))
        self.assertIsInstance(self.begin(self.b1, key).ok, controller.Grant)

    def make_key_in(self, writer):
        while True:
            key = self.make_key()
            digest = claim_records.read_id("a", key).digest
            if self.a1._find_shard(digest).writer is writer:
                return key

    def test_ids_of_other_times_or_forms_are_refused(self):
        for key, code in (
            ("booking-7", errors.Code.REQUEST_ID_REQUIRED),
            (self.make_key(ahead_ms=120_000), errors.Code.BAD_REQUEST),
        ):
            self.check_fault(
                self.begin(self.a1, key), code, errors.Run.NOT_RUN
            )

    def test_large_reply_is_not_kept_but_told(self):
        key = self.make_key()
        grant = self.begin(self.a1, key).ok
        reply = claim_records.KeptReply(200, [], b"x" * 10_000)
        self.a1.end(grant, errors.Run.RAN, reply)
        self.check_fault(
            self.begin(self.a1, key), errors.Code.DUPLICATE, errors.Run.RAN
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
