"""Static rate limiter, the baseline for allowances."""

import unittest

from mulberryway import clock
from mulberryway import errors
from mulberryway import tables
from mulberryway.policy import static_allowances


class FakeSource(tables.TableSource):
    def __init__(self, current=None):
        self.current = current
        self.on_change = []

    def get_tables(self):
        return self.current

    def subscribe(self, on_change):
        self.on_change.append(on_change)

    def put(self, revision, rate, burst):
        account = tables.ClientAccount("tea", (), rate, burst)
        self.current = tables.Tables(revision, (), (), (account,))
        for callback in self.on_change:
            callback(self.current)


class StaticAllowancesTest(unittest.TestCase):
    def setUp(self):
        self.clock = clock.ManualClock()
        self.source = FakeSource()
        self.allowances = static_allowances.StaticAllowances(
            self.source, self.clock, 4
        )
        self.source.put(1, 400, 4_000)

    def test_fraction_of_rate_and_burst(self):
        self.assertFalse(self.allowances.reserve("tea", 1).is_ok())
        self.clock.advance_ms(1_002)
        self.assertTrue(self.allowances.reserve("tea", 100).is_ok())
        rejected = self.allowances.reserve("tea", 50)
        self.assertIs(rejected.error.code, errors.Code.OVER_ALLOWANCE)
        self.assertEqual(rejected.error.retry_after_ms, 500)

    def test_settle_refunds(self):
        self.clock.advance_ms(1_002)
        reserved = self.allowances.reserve("tea", 100)
        self.allowances.settle(reserved.ok, 30)
        self.assertTrue(self.allowances.reserve("tea", 70).is_ok())
        self.assertFalse(self.allowances.reserve("tea", 1).is_ok())

    def test_unknown_and_removed_accounts_get_nothing(self):
        self.assertFalse(self.allowances.reserve("nobody", 1).is_ok())
        self.clock.advance_ms(1_000)
        self.source.current = tables.Tables(2, (), (), ())
        for callback in self.source.on_change:
            callback(self.source.current)
        self.assertFalse(self.allowances.reserve("tea", 1).is_ok())
