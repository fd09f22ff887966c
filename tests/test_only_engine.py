"""Tests of a first decode for which no other engine exists."""

from tests import test_replacement

LATE_MS = test_replacement.TIMEOUT_MS * 6 // 10


class OnlyEngineTest(test_replacement.RequestTest):
    """A pool whose other decode engines are draining."""

    def make_tables(self, leaving=()):
        return super().make_tables(("b", "c"))

    def reply_late(self, label, timeout_ms):
        engine = self.engines["a"]
        if timeout_ms < LATE_MS:
            return engine.time_out(label, timeout_ms)
        self.clock.advance_ms(LATE_MS)
        return engine.accept(label, timeout_ms)

    def test_only_engine_has_the_whole_time(self):
        """Guards against leaving the only engine at half of its time."""
        self.engines["a"].decode_replies.append(self.reply_late)
        self.assign("a")
        self.assertTrue(self.request.begin().is_ok())


class OtherEngineTest(OnlyEngineTest):
    """A pool with another decode engine."""

    def make_tables(self, leaving=()):
        return test_replacement.RequestTest.make_tables(self, ("c",))

    def test_only_engine_has_the_whole_time(self):
        """Guards against a silent engine that leaves no time for another."""
        b = self.engines["b"]
        self.engines["a"].decode_replies.append(self.reply_late)
        b.decode_replies.append(b.accept)
        self.assign("a")
        self.assign("b")
        self.assertTrue(self.request.begin().is_ok())
        self.assertEqual(len(b.decodes), 1)
