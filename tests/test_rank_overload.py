"""Tests decisions by rank of one VM and of fleets, without a network."""

import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import scheduling
from mulberryway.policy import hints
from mulberryway.policy import jobs
from mulberryway.policy import peer_ranks
from mulberryway.policy import pool_scheduler
from mulberryway.policy import pool_stats
from mulberryway.policy import rank_headroom
from mulberryway.policy import ranks
from mulberryway.policy import retries
from mulberryway.policy import scheduler
from tests import policy_cases as cases
from tests import rank_fleet

URGENT, LIGHT = 0, 2
BOTH = ranks.PoolRanks(URGENT, LIGHT)
# Identify requests of a lower rank that are and are not expedited.
EXPEDITED = next(
    name
    for name in map("e{}".format, range(100))
    if ranks.compute_queue_rank(LIGHT, BOTH, name) == 0
)
PLAIN = [
    name
    for name in map("p{}".format, range(200))
    if ranks.compute_queue_rank(LIGHT, BOTH, name)
]


def make_rank_job(name, rank, account="a", now_ms=0, **values):
    """Return a job of a pool with both ranks that may wait for long."""
    values = {
        "within_ms": 60_000,
        "first_token_target_ms": now_ms + 50_000,
        "pool_ranks": BOTH,
    } | values
    return cases.make_job(f"{name}-0", account, now_ms, rank=rank, **values)


class Rig:
    """One VM's scheduler of a pool with few slots."""

    def __init__(self, vm="vm1", slots=2, **limits):
        self.scheduler = scheduler.FairScheduler(
            vm, seed=1, budget=retries.UnlimitedRetryBudget, **limits
        )
        pool = cases.make_pool(prefills=2, decodes=1, slots=slots)
        self.scheduler.change_pools({"lm": pool}, 0)
        self.pool = self.scheduler._pools["lm"]

    def submit(self, name, rank, now_ms=0, account="a", **values):
        job = make_rank_job(name, rank, account, now_ms, **values)
        return self.scheduler.submit(job, now_ms)

    def start(self, now_ms=0):
        found = self.scheduler.dispatch(now_ms)
        return [one.job_id[:-2] for one in found.assignments]

    def finish(self, name, now_ms):
        self.scheduler.finish(f"{name}-0", jobs.JobOutcome.DONE, "", now_ms)

    def fill(self):
        for name in ("f0", "f1"):
            self.submit(name, URGENT)
        return self.start()


class OrderTest(unittest.TestCase):
    def test_higher_rank_goes_first(self):
        """Light jobs wait when urgent ones arrive."""
        rig = Rig()
        rig.fill()
        rig.submit(PLAIN[0], LIGHT)
        rig.submit("u", URGENT, 10)
        rig.finish("f0", 20)
        self.assertEqual(["u"], rig.start(20))

    def test_expedited_job_is_equal(self):
        """Long overload by urgent jobs: some light ones precede them."""
        rig = Rig()
        rig.fill()
        rig.submit(EXPEDITED, LIGHT)
        rig.submit("u", URGENT, 10)
        rig.finish("f0", 20)
        self.assertEqual([EXPEDITED], rig.start(20))

    def test_account_rank(self):
        """An account whose requests are urgent on a route that is not."""
        rig = Rig()
        rig.fill()
        rig.submit(PLAIN[0], LIGHT)
        rig.submit(PLAIN[1], ranks.compute_rank(LIGHT, URGENT), 10, "b")
        rig.finish("f0", 20)
        self.assertEqual([PLAIN[1]], rig.start(20))

    def test_accounts_stay_fair_within_a_rank(self):
        """One account sends most of the light jobs."""
        rig = Rig()
        rig.fill()
        for name in PLAIN[:4]:
            rig.submit(name, LIGHT)
        rig.submit(PLAIN[4], LIGHT, 1, "b")
        rig.finish("f0", 10_000)
        rig.finish("f1", 10_000)
        rig.start(10_000)
        rig.start(30_000)
        self.assertEqual(0, rig.pool.queue.count_waiting("b"))
        self.assertEqual(3, rig.pool.queue.count_waiting("a"))

    def test_account_waits_with_two_ranks(self):
        """Guards against a queue that loses count of such an account."""
        rig = Rig()
        rig.fill()
        queue = rig.pool.queue
        rig.submit(PLAIN[0], LIGHT, weight=2)
        rig.submit("u", URGENT, weight=3)
        self.assertEqual(3, queue.weight_waiting)
        self.assertEqual([0, LIGHT], queue.list_ranks())
        queue.charge("a", 3, 100.0)
        for name in (PLAIN[0], "u"):
            self.assertTrue(rig.scheduler.cancel(f"{name}-0", 1))
        self.assertEqual(0, queue.weight_waiting)
        self.assertEqual([], queue.list_ranks())


class FullQueueTest(unittest.TestCase):
    def test_urgent_job_takes_the_place_of_the_latest_light_one(self):
        """Light jobs have filled the queue when an urgent one arrives."""
        rig = Rig(max_entries=4)
        rig.fill()
        accounts = ["a", "a", "b", "c"]
        for number, account in enumerate(accounts):
            rig.submit(PLAIN[number], LIGHT, number, account)
        self.assertTrue(rig.submit("late", LIGHT, 5, "d").is_error())
        self.assertTrue(rig.submit("u", URGENT, 6, "d").is_ok())
        (refusal,) = rig.scheduler.dispatch(6).refusals
        self.assertEqual(f"{PLAIN[3]}-0", refusal.job_id)
        self.assertIs(errors.Code.OVERLOADED, refusal.fault.code)
        self.assertIs(errors.ExecutionStatus.NOT_RUN, refusal.fault.run)
        self.assertTrue(refusal.fault.retry_after_ms)
        self.assertEqual(4, len(rig.pool.queue))
        self.assertEqual([], rig.scheduler.dispatch(7).refusals)

    def test_account_displaces_its_own(self):
        """An account's light jobs fill its half when its urgent ones come."""
        rig = Rig(max_entries=4)
        rig.fill()
        rig.submit(PLAIN[0], LIGHT, 0, "b")
        rig.submit(PLAIN[1], LIGHT, 1)
        rig.submit(PLAIN[2], LIGHT, 2)
        self.assertTrue(rig.submit("u", URGENT, 3).is_ok())
        (refusal,) = rig.scheduler.dispatch(3).refusals
        self.assertEqual(f"{PLAIN[2]}-0", refusal.job_id)

    def test_bodies(self):
        """A few long light requests have filled the queue's memory."""
        rig = Rig(max_bytes=8_000)
        rig.fill()
        for number, account in enumerate("bcde"):
            rig.submit(PLAIN[number], LIGHT, number, account)
        taken = rig.submit("u", URGENT, 5, body_bytes=4_000)
        self.assertTrue(taken.is_ok())
        self.assertEqual(2, len(rig.scheduler.dispatch(5).refusals))
        self.assertEqual(8_000, rig.pool.queue.bytes)

    def test_equal_ranks_displace_nothing(self):
        """A burst of urgent jobs has filled the queue."""
        rig = Rig(max_entries=2)
        rig.fill()
        rig.submit("u", URGENT, 0, "a")
        rig.submit("v", URGENT, 0, "b")
        self.assertTrue(rig.submit("w", URGENT, 1, "c").is_error())
        self.assertTrue(rig.submit(PLAIN[0], LIGHT, 1, "c").is_error())
        self.assertEqual([], rig.scheduler.dispatch(1).refusals)


class AdmissionTest(unittest.TestCase):
    def test_what_waits_behind_does_not_count(self):
        """Light jobs wait for longer than an urgent one may wait."""
        rig = Rig()
        rig.fill()
        for number in range(30):
            rig.submit(PLAIN[number], LIGHT, account=f"a{number}")
        self.assertTrue(rig.submit("u", URGENT, 1, within_ms=4_000).is_ok())

    def test_what_goes_before_counts(self):
        """Urgent jobs wait for longer than a light one may wait."""
        rig = Rig()
        rig.fill()
        for number in range(30):
            rig.submit(f"u{number}", URGENT, account=f"a{number}")
        fault = rig.submit(PLAIN[0], LIGHT, 1, within_ms=4_000).error
        self.assertIs(errors.ExecutionStatus.NOT_RUN, fault.run)
        self.assertEqual(LIGHT, fault.inputs["rank"])

    def test_light_job_is_refused_at_once_if_others_wait_long(self):
        """Urgent traffic leaves too little for light jobs, for seconds."""
        rig = Rig()
        rig.fill()
        rig.submit(PLAIN[0], LIGHT)
        for name, now_ms, is_refused in (
            (PLAIN[1], 900, False),
            (PLAIN[2], 1_100, True),
            (EXPEDITED, 1_100, False),
        ):
            taken = rig.submit(
                name, LIGHT, now_ms, first_token_target_ms=now_ms + 2_000
            )
            self.assertEqual(is_refused, taken.is_error(), name)

    def test_nothing_is_refused_beside_free_slots(self):
        """A peer's light job waits for reasons of its own."""
        rig = Rig()
        note = hints.Note(
            "vm2",
            1,
            1,
            [],
            [hints.AccountNote("lm", "b", 1, 0, 1, 5_000)],
            [],
            [hints.RankNote("lm", LIGHT, 1, 5_000)],
        )
        rig.scheduler.apply_hints(note, 0)
        taken = rig.submit(PLAIN[0], LIGHT, first_token_target_ms=2_000)
        self.assertTrue(taken.is_ok())
        rig.start(0)
        self.assertEqual(1, len(rig.start(0)) + len(rig.scheduler._running))

    def test_refusals_are_spread_and_in_the_order_of_ranks(self):
        """Both ranks are refused in the same moment."""
        rig = Rig()
        rig.fill()
        for number in range(60):
            rig.submit(f"w{number}", URGENT)
        times = {
            rank: [
                rig.submit(name, rank, 1, within_ms=3_000).error.retry_after_ms
                for name in names
            ]
            for rank, names in ((URGENT, map(str, range(9))), (LIGHT, PLAIN))
        }
        self.assertGreater(len(set(times[URGENT])), 5)
        self.assertLessEqual(max(times[URGENT]), 1_000)
        self.assertLessEqual(max(times[LIGHT]), 1_000)


class MetricsTest(unittest.TestCase):
    def test_waiting_and_rejected_by_rank(self):
        """Guards against an overload of which operators see no rank."""
        rig = Rig(max_entries=4)
        controller = scheduling.SchedulingController(
            rig.scheduler, clock.ManualClock()
        )
        for number in range(4):
            rank = (URGENT, URGENT, LIGHT, LIGHT)[number]
            controller.submit(make_rank_job(PLAIN[number], rank, str(number)))
        light, urgent = ({"pool": "lm", "rank": n} for n in (LIGHT, URGENT))
        waiting = controller.count_waiting_by_rank
        self.assertEqual([(light, 2)], waiting())
        for number in range(4, 8):
            controller.submit(make_rank_job(f"u{number}", URGENT, str(number)))
        self.assertEqual([(urgent, 4)], waiting())
        self.assertEqual([(light, 2)], controller.count_rejected_by_rank())
        controller.submit(make_rank_job("u8", URGENT, "8"))
        self.assertEqual(
            [(urgent, 1), (light, 2)], controller.count_rejected_by_rank()
        )


class HeadroomTest(unittest.TestCase):
    def setUp(self):
        self.headroom = rank_headroom.RankHeadroom()

    def test_as_many_as_have_waited(self):
        """Urgent jobs find all slots taken by light ones again and again."""
        for count, now_ms in ((0, 0), (3, 100), (1, 200)):
            self.headroom.record_waiting(count, 2_000, now_ms)
        self.assertEqual(3, self.headroom.get_slots(64, 200))
        self.assertEqual(0, self.headroom.get_slots(64, 2_100))

    def test_bound(self):
        """A burst of urgent jobs is over, and light ones have the pool."""
        self.headroom.record_waiting(500, 2_000, 0)
        self.assertEqual(8, self.headroom.get_slots(64, 0))
        self.assertEqual(0, self.headroom.get_slots(4, 0))

    def test_light_jobs_leave_slots_free(self):
        """An urgent job has waited, and slots become free in a lull."""
        rig = Rig(slots=16)
        for number in range(18):
            rig.submit(f"u{number}", URGENT, account=f"a{number}")
        started = rig.start(0)
        self.assertEqual(2, len(rig.pool.queue))
        for name in started[:8]:
            rig.finish(name, 1_000)
        rig.start(1_000)
        for number in range(8):
            rig.submit(PLAIN[number], LIGHT, 1_100, f"b{number}")
            rig.start(1_100)
        self.assertEqual(2, rig.pool.placer.estimate_free_slots(1_100))
        rig.submit("u", URGENT, 1_200, "c")
        self.assertEqual(["u"], rig.start(1_200))
        later_ms = 1_001 + int(pool_stats.INITIAL_SLOT_TIME_MS)
        self.assertEqual(1, len(rig.start(later_ms)))


class PeerTest(unittest.TestCase):
    """Tests what a VM does with its view of the others' waiting jobs."""

    def setUp(self):
        self.peer, self.rig = Rig("vm2"), Rig("vm1")
        self.peer.fill()
        self.tell(0)

    def tell(self, now_ms):
        note = self.peer.scheduler.drain_hints(now_ms)
        if note is not None:
            self.rig.scheduler.apply_hints(note, now_ms)
        return note

    def wait_at_peer(self, name, rank, now_ms):
        self.peer.submit(name, rank, now_ms, "b")
        return self.tell(now_ms + 100)

    def free_slot(self, now_ms):
        """Let a slot become free for the VM's own light job."""
        self.rig.submit(PLAIN[0], LIGHT, now_ms - 1)
        self.assertEqual([], self.rig.start(now_ms - 1))
        self.peer.finish("f0", now_ms)
        self.tell(now_ms)

    def test_slot_is_left_to_a_higher_rank(self):
        """Urgent jobs wait at one VM, light ones at the others."""
        note = self.wait_at_peer("u", URGENT, 0)
        self.assertEqual([], note.ranks)
        self.free_slot(200)
        self.assertEqual([], self.rig.start(200))
        late_ms = 200 + pool_scheduler.MAX_YIELD_MS + 1
        self.assertEqual([PLAIN[0]], self.rig.start(late_ms))

    def test_slot_is_not_left_to_a_lower_rank(self):
        """Light jobs of a small account wait elsewhere."""
        note = self.wait_at_peer(PLAIN[1], LIGHT, 0)
        self.assertEqual([LIGHT], [item.rank for item in note.ranks])
        self.rig.submit("u", URGENT, 150)
        self.rig.start(150)
        self.peer.finish("f0", 200)
        self.tell(200)
        self.assertEqual(["u"], self.rig.start(200))

    def test_old_news_expires(self):
        """Guards against slots that stay free for a VM behind a lost link."""
        self.wait_at_peer("u", URGENT, 0)
        accounts = self.rig.pool.peer_accounts
        self.assertEqual(1, accounts.count_above(LIGHT, 100))
        late_ms = 101 + peer_ranks.WAITING_FRESH_MS
        self.assertEqual(0, accounts.count_above(LIGHT, late_ms))

    def test_waiting_jobs_of_a_dead_vm_vanish(self):
        """Guards against slots that are kept for callers that have gone."""
        self.wait_at_peer(PLAIN[1], LIGHT, 0)
        waiting = self.rig.pool.peer_ranks
        self.assertEqual(1, waiting.count_at("vm2", LIGHT, 100))
        self.rig.start(4_000)
        self.assertEqual({}, waiting._waiting)

    def test_restarted_vm(self):
        """Guards against waiting jobs of a VM's previous incarnation."""
        self.wait_at_peer(PLAIN[1], LIGHT, 0)
        self.rig.scheduler.apply_hints(
            hints.Note("vm2", 7, 1, [], [], []), 110
        )
        self.assertFalse(self.rig.pool.peer_ranks.has_report("vm2", 110))

    def test_started_jobs_vanish(self):
        """Guards against slots kept for jobs that run or were refused."""
        self.wait_at_peer(PLAIN[1], LIGHT, 0)
        self.peer.scheduler.cancel(f"{PLAIN[1]}-0", 150)
        note = self.tell(250)
        self.assertEqual([0], [item.waiting for item in note.ranks])
        self.assertFalse(self.rig.pool.peer_ranks.has_report("vm2", 250))
        self.peer.submit("u", URGENT, 260)
        self.assertEqual([], self.tell(400).ranks)

    def test_vm_of_the_previous_version(self):
        """Its notes have no ranks; its jobs count as of the highest."""
        waiting = hints.AccountNote("lm", "b", 1, 0, 2, 40, 10)
        self.rig.scheduler.apply_hints(
            hints.Note("vm3", 1, 1, [], [waiting], []), 50
        )
        self.assertEqual(2, self.rig.pool.peer_accounts.count_above(1, 50))
        self.assertEqual(0, self.rig.pool.peer_accounts.count_above(0, 50))

    def test_malformed_report_keeps_the_last_one(self):
        """Guards against reports of a VM whose memory is damaged."""
        self.wait_at_peer(PLAIN[1], LIGHT, 0)
        malformed = [
            hints.RankNote("lm", LIGHT, -3, 0),
            hints.RankNote("lm", -1, 3, 0),
            hints.RankNote("lm", 10, 3, 0),
            hints.RankNote("lm", LIGHT, 3, -5),
            hints.RankNote("none", LIGHT, 3, 5),
        ]
        note = hints.Note("vm2", 0, 99, [], [], [], malformed)
        controller = scheduling.SchedulingController(
            self.rig.scheduler, clock.ManualClock(120)
        )
        with self.assertLogs(level="ERROR") as logged:
            controller.apply_hints([note])
        self.assertEqual(1, len(logged.output))
        waiting = self.rig.pool.peer_ranks
        self.assertEqual(1, waiting.count_at("vm2", LIGHT, 120))
        self.assertEqual(120, waiting.get_oldest_ms(LIGHT, 120))
        self.assertEqual(0, waiting.get_oldest_ms(LIGHT, 500))

    def test_all_vms_start(self):
        """Nothing is known of others: light jobs are admitted and start."""
        rig = Rig("vm9")
        self.assertTrue(rig.submit(PLAIN[0], LIGHT).is_ok())
        self.assertEqual([PLAIN[0]], rig.start())

    def test_single_rank(self):
        """Guards against new messages in deployments without ranks."""
        rig = Rig("vm9")
        single = {"pool_ranks": ranks.SINGLE_RANK}
        for number in range(6):
            job = make_rank_job(f"j{number}", 2, **single)
            rig.scheduler.submit(job, 0)
        rig.start()
        self.assertEqual([], rig.scheduler.drain_hints(100).ranks)
        self.assertFalse(rig.pool._has_ranks)


class FleetTest(unittest.TestCase):
    """Ten or six decode engines instead of the sheet's twenty-three, so that
    twelve times the light kind's traffic saturates them; with six, both kinds
    have six tenths of their traffic.
    """

    def play(self, vms, decodes, scale, has_ranks=True):
        urgent = rank_fleet.Kind(URGENT, 15.2 * scale)
        light = rank_fleet.Kind(LIGHT, 8.0 * scale, 2_000)
        for seed in range(3):
            fleet = rank_fleet.Fleet(vms, 3, decodes, has_ranks, seed)
            fleet.run([urgent, light], 16_000)
        return urgent, light

    def check(self, urgent, light):
        self.assertGreaterEqual(urgent.in_time, 0.95)
        served = urgent.on_time + urgent.late + light.on_time + light.late
        all_served = served / (urgent.asked + light.asked)
        self.assertGreaterEqual(light.served, all_served / 4)
        self.assertLessEqual(light.served, urgent.served)
        self.assertEqual(0, urgent.refused_beside_room)
        self.assertEqual(0, light.refused_beside_room)

    def test_light_burst_at_six_vms(self):
        """Light jobs come at twelve times their rate for long."""
        self.check(*self.play(6, 10, 1.0))
        urgent, light = self.play(6, 10, 1.0, has_ranks=False)
        self.assertLess(urgent.in_time, light.in_time)

    def test_light_burst_at_many_vms(self):
        """The same in a fleet in which a VM sees one job in four seconds."""
        self.check(*self.play(91, 6, 0.6))

    def test_urgent_burst_alone(self):
        """Urgent jobs come at twice what the pool can run."""
        fleet = rank_fleet.Fleet(6, 3, 10)
        burst = rank_fleet.Kind(URGENT, 40, 1_000, 6_000)
        fleet.run([rank_fleet.Kind(URGENT, 5), burst], 8_000)
        self.assertEqual(0, burst.refused_beside_room)
        self.assertGreater(burst.refused, 0)

    def test_urgent_overload_starves_no_light_jobs(self):
        """Urgent jobs alone would fill the pool twice, for long."""
        fleet = rank_fleet.Fleet(6, 3, 10)
        urgent = rank_fleet.Kind(URGENT, 40)
        light = rank_fleet.Kind(LIGHT, 4)
        fleet.run([urgent, light], 16_000)
        self.assertGreater(light.served, urgent.served / 4)
        self.assertLess(light.served, urgent.served)
