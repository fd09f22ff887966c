"""Tests of claim records, and of claims under random faults."""

import collections
import unittest
import unittest.mock

import expression

from mulberryway import errors
from mulberryway.controllers import claim_coordination
from mulberryway.controllers import claim_log
from mulberryway.controllers import claim_queue
from mulberryway.controllers import claim_writer
from mulberryway.objects import base
from mulberryway.policy import claim_records
from mulberryway.policy import claims
from tests import claim_history

SCHEDULES = 250
STEPS = 80


class RecordsTest(unittest.TestCase):
    def test_id_binds_account_and_key(self):
        key = claim_records.make_uuid7(1_700_000_000_123, 42)
        found = claim_records.parse_claim_id("a", key)
        self.assertEqual(found.time_ms, 1_700_000_000_123)
        same = claim_records.parse_claim_id("a", key.upper().replace("-", ""))
        self.assertEqual(same.digest, found.digest)
        other = claim_records.parse_claim_id("b", key)
        self.assertNotEqual(other.digest, found.digest)

    def test_other_ids_carry_no_time(self):
        for key in (
            "",
            "booking-7",
            "8c5b5b0e-54c1-4d0e-9d7b-6f0a1d3d7f10",
        ):
            self.assertIsNone(claim_records.parse_claim_id("a", key))

    def test_record_round_trip(self):
        reply = claim_records.CachedReply(201, [("A", "b")], b"\xff")
        record = claim_records.Record(
            "d", 7, "c", "a1/1/1", claim_records.ClaimState.DONE, reply
        )
        read = claim_records.Record.decode(record.encode())
        self.assertEqual(read.encode(), record.encode())


class HistoryTest(unittest.TestCase):
    def run_all(self, count=SCHEDULES, **kwargs):
        ends = collections.Counter()
        violations = []
        for seed in range(count):
            history = claim_history.History(seed, **kwargs)
            violations += history.run(STEPS)
            ends += history.ends
        return violations, ends

    def test_no_call_runs_twice(self):
        """Claims hold under crashes, lost or late writes and stale reads.

        Replies get lost too, and callers retry at any VM.  A call that runs
        twice would make and bill the same booking twice.
        """
        violations, ends = self.run_all()
        self.assertEqual(violations, [])
        for end in (
            "granted",
            "replayed",
            "duplicate may_have_run",
            "request_id_reused not_run",
            "platform_unavailable not_run",
        ):
            self.assertGreater(ends[end], SCHEDULES / 10, ends)

    def test_no_call_runs_twice_with_coordinators(self):
        """VMs disagree on a shard's coordinator and their calls get lost.

        Two VMs may then write the claim of one attempt, which must still run
        only once.
        """
        violations, ends = self.run_all(100, coordinators=True)
        self.assertEqual(violations, [])
        for end in ("granted", "replayed", "duplicate may_have_run"):
            self.assertGreater(ends[end], 100, ends)

    def test_checker_finds_a_coordinator_that_releases_for_others(self):
        """A coordinator times out and releases another VM's claim.

        The attempt got its claim from another writer and runs, and so does
        the next attempt.
        """

        class ReleasingClaim(claim_queue.PendingClaim):
            def __init__(self, request, is_own=True):
                super().__init__(request)

        with unittest.mock.patch.object(
            claim_coordination, "PendingClaim", ReleasingClaim
        ):
            self.check_broken("two runs", 200, coordinators=True)

    def check_broken(self, message, count=60, **kwargs):
        violations, _ = self.run_all(count, **kwargs)
        self.assertTrue(
            [violation for violation in violations if message in violation]
        )

    def test_checker_finds_a_constant_low_watermark(self):
        """Old claims are overwritten without raising the low-watermark.

        A late retry would run again.
        """

        class ConstantFloorShard(claims.Shard):
            def next_floor_ms(self):
                return self.floor_ms

        self.check_broken(
            "two runs", make_shard=lambda: ConstantFloorShard(3, 300)
        )

    def test_checker_finds_an_unconditional_write(self):
        """A VM retries a rejected write with the new version.

        It overwrites the other VM's claim.
        """

        def adapt(store):
            for log in (shard.writer.log for shard in store._shards):
                log._send = lambda append, log=log: write_unconditionally(
                    log, append
                )

        def write_unconditionally(log, append):
            result = claim_log.ClaimLog._send(log, append)
            if result.is_ok() or result.error.code is not errors.Code.CONFLICT:
                return result
            read = log._store.read(log._kind, str(append.slot_index), "x")
            if read.is_ok():
                append.version = read.ok.version
            return claim_log.ClaimLog._send(log, append)

        self.check_broken("two runs", adapt=adapt)

    def test_checker_finds_a_lost_write_treated_as_done(self):
        """A VM treats a write without a reply as successful.

        The write never arrived, and another VM grants the same call.
        """

        def adapt(store):
            for log in (shard.writer.log for shard in store._shards):
                log._send = lambda append, log=log: assume_success(log, append)

        def assume_success(log, append):
            result = claim_log.ClaimLog._send(log, append)
            if result.is_error() and claim_writer._may_have_run(result.error):
                version = (append.version or 0) + 1
                return expression.Ok(base.StoredObject("", "", version, {}))
            return result

        self.check_broken("two runs", adapt=adapt)

    def test_checker_finds_different_slot_limits(self):
        """Two releases use different limits for a full slot.

        Their VMs append to two slots at the same time and do not see each
        other's claims.
        """
        limits = iter(range(10**6))

        class VaryingLimitShard(claims.Shard):
            def __init__(self):
                super().__init__(3, 300)
                self.limit = 150 + 150 * (next(limits) % 3)

            def is_newest_full(self):
                newest = self._slots.get(self.newest_index())
                if newest is None:
                    return False
                size = sum(len(str(r.encode())) for r in newest.records)
                return size >= self.limit

            def plan_append(self, records):
                newest = self._slots.get(self.newest_index())
                if newest is not None:
                    newest.is_full = self.is_newest_full()
                return super().plan_append(records)

            def is_whole(self):
                return True

        self.check_broken("two runs", make_shard=VaryingLimitShard)

    def test_checker_finds_torn_lists(self):
        """A VM decides from a list whose items have different ages.

        It misses claims in a slot that is older than the others.
        """

        class UncheckedShard(claims.Shard):
            def is_whole(self):
                return True

        self.check_broken(
            "two runs", make_shard=lambda: UncheckedShard(3, 300)
        )

    def test_checker_finds_a_reused_incarnation(self):
        """A restarted router reuses its incarnation and attempt numbers.

        It takes the previous incarnation's claim for its own and runs the
        call.
        """

        def adapt(store):
            store._prefix = store._prefix.partition("/")[0] + "/1/"

        self.check_broken("two runs", adapt=adapt)

    def test_checker_finds_replies_to_another_body(self):
        """A caller sends another call under a used id.

        It would get the reply to the first call.
        """

        class UncheckedCallShard(claims.Shard):
            def decide(self, request, now_ms):
                record = self._records.get(request.id.digest)
                if record is not None:
                    request.call = record.call
                return super().decide(request, now_ms)

        self.check_broken(
            "a foreign reply", make_shard=lambda: UncheckedCallShard(3, 300)
        )


if __name__ == "__main__":
    unittest.main()
