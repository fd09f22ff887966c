"""Tests of the processor time that an idle VM uses."""

import os
import threading
import time
import unittest
from unittest import mock

import expression

from mulberryway import clock
from mulberryway.controllers import cancelling
from mulberryway.controllers import dissemination
from mulberryway.controllers import fleet_allowances
from mulberryway.objects import base as objects
from mulberryway.policy import member
from mulberryway.policy import usage
from mulberryway.relay import loop

GUARD_S = 10
# Shorter than the loop's own sleep.
WAKE_TIMEOUT_S = 1
SETTLE_S = 0.1


def make_member(number):
    return member.Member(
        f"a{number}", f"10.0.0.{number}", 7, 8, "zone", "region", 1
    )


class LoopTest(unittest.TestCase):
    def setUp(self):
        self.is_needed = False
        self.ticked = threading.Event()
        self.loop = loop.EventLoop("test", clock.SystemClock())
        self.loop.add_periodic(self.ticked.set, lambda: self.is_needed)
        self.loop.start()
        self.addCleanup(self.loop.stop)

    def test_no_tick_while_none_is_needed(self):
        """An idle relay must not wake twenty times a second."""
        self.assertFalse(self.ticked.wait(3 * loop.TICK_MS / 1_000))

    def test_ticks_start_when_needed(self):
        """Without ticks the timeouts of a stream would not be checked."""
        time.sleep(2 * loop.TICK_MS / 1_000)

        def need():
            self.is_needed = True

        self.loop.post(need)
        self.assertTrue(self.ticked.wait(GUARD_S))


class WakeTest(unittest.TestCase):
    def test_callback_posted_during_a_wake_up_hides_no_later_one(self):
        """A wake-up of the loop is read together with the previous one.

        If it were lost, streams would stall.
        """
        loop_ = loop.EventLoop("test", clock.SystemClock())
        first, second, third = (threading.Event() for _ in range(3))
        read = os.eventfd_read

        def read_late(fd):
            if not second.is_set():
                loop_.post(second.set)
            return read(fd)

        with mock.patch.object(os, "eventfd_read", read_late):
            loop_.start()
            self.addCleanup(loop_.stop)
            loop_.post(first.set)
            self.assertTrue(second.wait(GUARD_S))
            # Wait until the loop sleeps again.
            time.sleep(SETTLE_S)
            loop_.post(third.set)
            self.assertTrue(third.wait(WAKE_TIMEOUT_S))


class CancellingTest(unittest.TestCase):
    def test_sleeps_without_pending_cancels(self):
        """An idle thread must not wake ten times a second."""
        controller = cancelling.CancelController(
            clock.ManualClock(), mock.Mock()
        )
        self.addCleanup(controller.stop)
        controller.step()
        self.assertEqual(controller.period_ms, cancelling.IDLE_MS)

    def test_failed_cancel_is_retried_soon(self):
        """An engine must not continue an abandoned request for seconds."""
        engine = mock.Mock()
        engine.cancel.side_effect = [
            expression.Error(mock.Mock()),
            expression.Ok(True),
        ]
        controller = cancelling.CancelController(
            clock.SystemClock(), mock.Mock()
        )
        controller.start()
        self.addCleanup(controller.stop)
        controller.cancel(engine, mock.Mock())
        end_s = time.monotonic() + GUARD_S
        while controller.open and time.monotonic() < end_s:
            time.sleep(0.01)
        self.assertEqual(engine.cancel.call_count, 2)
        self.assertLess(GUARD_S - (end_s - time.monotonic()), 1)


class AllowancesTest(unittest.TestCase):
    def make(self):
        self.sent = []
        self.clock = clock.ManualClock(10_000)
        book = usage.ReplicatedRateLimiter(
            "a1", 1, usage.Margin(8_000, 0.1, 100), 10_000, True
        )
        controller = fleet_allowances.FleetAllowances(
            book, dict, lambda: True, self.clock
        )
        controller.broadcast = lambda payload, is_urgent: self.sent.append(
            payload
        )
        return controller

    def test_sleeps_until_the_next_heartbeat(self):
        """An idle thread must not wake sixteen times a second."""
        controller = self.make()
        controller.step()
        self.assertEqual(len(self.sent), 1)
        self.assertEqual(controller.period_ms, fleet_allowances.IDLE_MS)
        self.clock.advance_ms(controller.period_ms)
        controller.step()
        self.assertLessEqual(
            controller.period_ms, usage.HEARTBEAT_MS - fleet_allowances.IDLE_MS
        )

    def test_wakes_for_reserved_tokens(self):
        """Other VMs must learn of reserved tokens without delay."""
        controller = self.make()
        controller.step()
        controller.wake = mock.Mock()
        controller.reserve("a", 1)
        controller.wake.assert_called()

    def test_steps_keep_the_minimum_interval(self):
        """Without a minimum interval each request would cause a broadcast."""
        controller = self.make()
        controller.step()
        before_ms = self.clock.now_ms()
        controller.step()
        self.assertEqual(
            self.clock.now_ms() - before_ms, fleet_allowances.PERIOD_MS
        )


class ListedReceiversTest(unittest.TestCase):
    """Pattern: all VMs of a fleet start at once and know only the list that
    the store has of them.
    """

    def setUp(self):
        self.clock = clock.ManualClock()
        self.controller = dissemination.DisseminationController(
            make_member(0), self.clock
        )
        self.controller.datagrams = mock.Mock()
        self.controller.add_listed(
            [
                objects.ListedVm(f"listed{n}", f"10.0.0.{n}:1", "a", False)
                for n in range(3)
            ]
        )

    def publish(self):
        """Return the addresses that an item is sent to."""
        self.controller.datagrams.send.reset_mock()
        self.controller.publish(b"x")
        calls = self.controller.datagrams.send.call_args_list
        return {call.args[0] for call in calls}

    def test_listed_vms_get_items_before_membership_knows_them(self):
        """Guards against VMs that hear nobody for seconds after a restart,
        because the others do not know yet that they are alive.
        """
        self.assertEqual(3, len(self.publish()))
        self.controller.update_members([make_member(0), make_member(1)])
        self.assertEqual(4, len(self.publish()))

    def test_only_members_get_items_later(self):
        """Guards against datagrams to VMs that were removed long ago, whose
        entries the store keeps.
        """
        self.controller.update_members([make_member(0), make_member(1)])
        self.clock.advance_ms(dissemination.LISTED_TTL_MS)
        self.controller.step()
        self.assertEqual(1, len(self.publish()))


class ReceiveBatchTest(unittest.TestCase):
    def make(self):
        controller = dissemination.DisseminationController(
            make_member(0), clock.ManualClock()
        )
        controller.datagrams = mock.Mock()
        return controller

    def test_large_fleet_batches_datagrams(self):
        """A hundred datagrams a second must not cause a wake-up each."""
        controller = self.make()
        controller.update_members([make_member(n) for n in range(79)])
        self.assertEqual(
            controller.datagrams.batch_delay_ms, dissemination.RECEIVE_BATCH_MS
        )

    def test_small_fleet_does_not_batch(self):
        """In a small fleet batching would only delay scheduler state."""
        controller = self.make()
        controller.update_members([make_member(n) for n in range(9)])
        self.assertEqual(controller.datagrams.batch_delay_ms, 0)
