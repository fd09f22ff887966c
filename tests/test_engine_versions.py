"""Tests of engines that fail or leave while two software versions serve."""

import time
import unittest

from tests import stream_callers
from tests import version_fleet


class LostEngineTest(version_fleet.TwoVersionsTest):
    """Engines fail and the VM continues within its response."""

    def test_one_engine_of_each_version_breaks_off(self):
        """Guards against a failover to an engine of another version."""
        for name in ("e1", "e3"):
            self.fleet.set_fault(name, cut_after=version_fleet.DROP_AT)
        self.begin(drop_at=stream_callers.EVENT_COUNT + 1)
        for name in ("e1", "e3"):
            self.fleet.set_fault(name, cut_after=0)
        self.resume(1)
        self.check()

    def test_one_engine_of_each_version_stalls(self):
        """Guards against replacing a stalled engine by another version."""
        for name in ("e1", "e3"):
            self.fleet.set_fault(
                name, pause_at=version_fleet.DROP_AT, pause_ms=4_000
            )
        self.begin(drop_at=stream_callers.EVENT_COUNT + 1)
        self.check()

    def test_all_engines_of_a_version_are_gone(self):
        """Guards against another version where none of the own is left."""
        future = self.begin_in_background()
        for name in version_fleet.OLD_ENGINES:
            self.fleet.kill_upstream(name)
            self.fleet.drop("servers", name)
        future.result()
        self.resume(1)
        self.check(0.0)

    def test_all_engines_of_a_version_leave(self):
        """Guards against another version once the own one is draining."""
        self.begin()
        for name in version_fleet.OLD_ENGINES:
            self.fleet.register(name, "draining")
        time.sleep(version_fleet.SETTLE_S)
        self.resume(1)
        self.check(0.0)
        self.check_new_version_went_on()

    def test_all_engines_of_a_version_are_full(self):
        """Guards against another version while the own one is full."""
        self.begin()
        for name in version_fleet.OLD_ENGINES:
            self.fleet.set_fault(name, full=1)
        self.resume(1)
        self.check(0.0)
        self.check_new_version_went_on()

    def test_engines_restart_with_another_version(self):
        """Guards against an engine that comes back under its own name with
        another version.
        """
        future = self.begin_in_background()
        for name in version_fleet.OLD_ENGINES:
            self.fleet.kill_upstream(name)
            self.fleet.versions[name] = version_fleet.NEW
            self.fleet.start_upstream(name, "llm", "decode")
            self.fleet.set_fault(name, event_ms=version_fleet.EVENT_MS)
        future.result()
        self.resume(1)
        self.check(0.0)
        self.check_new_version_went_on()

    def check_new_version_went_on(self):
        begun = [
            s for s in self.streams if s.events[0][1] == version_fleet.NEW
        ]
        complete = sum(stream.is_complete() for stream in begun)
        self.assertGreaterEqual(
            complete, version_fleet.MIN_RESUMED_FRACTION * len(begun)
        )


class OneVersionTest(version_fleet.TwoVersionsTest):
    """All engines have the same version."""

    versions = (version_fleet.OLD,) * len(version_fleet.PHASES)
    # As long as streams of the route may return.
    watch_s = 8
    route_ms = 4_000

    def test_unknown_streams(self):
        """Guards against refusals where one version alone has served."""
        time.sleep(self.watch_s + version_fleet.SETTLE_S)
        self.add_callers(0, version_fleet.STREAMS)
        for stream in self.streams:
            stream.events = [(1, version_fleet.OLD)]
            stream.resumes = f"unknown-{stream.name}"
        self.resume(1)
        self.check()


if __name__ == "__main__":
    unittest.main()
