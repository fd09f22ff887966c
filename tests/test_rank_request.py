"""Tests what a model request tells engines and operators of its rank."""

from mulberryway import errors
from mulberryway import logs
from mulberryway import tables
from tests import test_replacement

RANK = 2


class RankedRequestTest(test_replacement.RequestTest):
    """The route has a rank, and another account may go before it."""

    accounts = (tables.ClientAccount("other", (), 0, 0, priority=0),)

    def make_tables(self, leaving=()):
        made = super().make_tables(leaving)
        for route in made.routes.values():
            route.priority = RANK
        for account in self.accounts:
            made.accounts[account.name] = account
        return made

    def begin(self):
        engine = self.engines["a"]
        engine.decode_replies.append(engine.accept)
        self.assign("a")
        with self.assertLogs("mulberryway.filters.model_job") as logged:
            self.assertTrue(self.request.begin().is_ok())
        (record,) = logged.records
        return engine.decodes[0].label, getattr(record, logs.FIELDS)

    def test_engines_and_logs_have_the_rank(self):
        """Guards against engines that order requests without their ranks."""
        label, fields = self.begin()
        self.assertEqual(RANK, label.urgency)
        self.assertEqual(RANK, fields["rank"])

    def test_return_without_an_engine(self):
        """Guards against callers that return together after a refusal."""
        times = set()
        for number in range(20):
            self.exchange.request_id = f"r{number}"
            fault = errors.Fault(
                errors.Code.UPSTREAM_REFUSED, errors.Step.DECODE
            )
            times.add(self.request._finalize_fault(fault).retry_after_ms)
        self.assertGreater(len(times), 5)


class SingleRankTest(RankedRequestTest):
    """All requests have the same rank."""

    accounts = ()

    def test_engines_and_logs_have_the_rank(self):
        """Guards against another order at engines without ranks."""
        label, fields = self.begin()
        self.assertIsNone(label.urgency)
        self.assertEqual(RANK, fields["rank"])

    def test_return_without_an_engine(self):
        """Guards against other times in deployments without ranks."""
        fault = errors.Fault(errors.Code.UPSTREAM_REFUSED, errors.Step.DECODE)
        self.assertEqual(
            1_000, self.request._finalize_fault(fault).retry_after_ms
        )
