"""Tests of the entries by which VMs find each other in the store."""

import unittest
from unittest import mock

import expression

from mulberryway import clock
from mulberryway import errors
from mulberryway.controllers import registration
from mulberryway.policy import member
from tests import fakes

VMS = 410
# The store's writes per second for the largest fleets.
WRITES_PER_S = 1_200


class RegistrationTest(unittest.TestCase):
    def setUp(self):
        self.store = mock.Mock()
        self.store.create.return_value = expression.Ok(None)
        self.store.list_vms.return_value = expression.Ok([])

    def make(self, number=0):
        own = member.Member(f"vm{number}", "10.0.0.1", 1, 2, "a", "r", 1)
        return registration.RegistrationController(
            own, self.store, clock.ManualClock()
        )

    def test_entry_is_written_once(self):
        controller = self.make()
        controller.step()
        controller.step()
        self.assertEqual(self.store.create.call_count, 1)
        self.assertEqual(controller.renewals, 0)

    def test_lost_entry_is_written_again(self):
        """Guards against a VM that others do not find in the store."""
        controller = self.make()
        controller.step()
        controller.renew()
        controller.step()
        self.assertEqual(self.store.create.call_count, 1)
        controller.step()
        self.assertEqual(self.store.create.call_count, 2)
        self.assertEqual(controller.renewals, 1)
        self.assertEqual(self.store.list_vms.call_count, 1)

    def test_entry_of_the_copy_is_no_renewal(self):
        """Guards against a count of entries that were not lost."""
        controller = self.make()
        controller.step()
        controller.renew()
        self.store.create.return_value = expression.Error(
            fakes.make_fault(errors.Code.CONFLICT)
        )
        controller.step()
        controller.step()
        self.assertEqual(controller.renewals, 0)
        self.assertEqual(
            controller.period_ms, registration.REGISTERED_PERIOD_MS
        )

    def test_failed_renewal_is_repeated(self):
        """Guards against a renewal that the store's outage ends."""
        controller = self.make()
        controller.step()
        controller.renew()
        controller.step()
        self.store.create.return_value = expression.Error(
            fakes.make_fault(errors.Code.PLATFORM_UNAVAILABLE)
        )
        controller.step()
        self.assertEqual(controller.period_ms, registration.RETRY_MS)
        self.store.create.return_value = expression.Ok(None)
        controller.step()
        self.assertEqual(controller.renewals, 1)

    def test_vms_do_not_register_again_at_once(self):
        """Guards against renewals that use up the store's writes."""
        delays = []
        for number in range(VMS):
            controller = self.make(number)
            controller.step()
            controller.renew()
            controller.step()
            delays.append(controller.period_ms)
        busiest = max(
            sum(begin <= delay < begin + 100 for delay in delays)
            for begin in range(0, max(delays), 100)
        )
        self.assertLess(busiest * 10, WRITES_PER_S)
