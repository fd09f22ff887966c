"""Tests of resumed streams while engines of two software versions serve."""

import concurrent.futures
import signal
import time
import unittest

from tests import hosted_fleet
from tests import processes
from tests import stream_callers

OLD, NEW = "v1", "v1.2"
# A prefill engine and two decode engines of each version.
PHASES = ("prefill", "decode", "decode", "decode", "decode")
VERSIONS = (OLD, OLD, OLD, NEW, NEW)
OLD_ENGINES = ("e1", "e2")
NEW_ENGINES = ("e3", "e4")
STREAMS = 60
EVENT_MS = 60
DROP_AT = 7
# Streams whose version has free capacity and that go on, as a fraction.
MIN_RESUMED_FRACTION = 0.9
LONG_MS = 14_000
PATH = "/long/"
ROUTE = hosted_fleet.make_route(
    "r-long", PATH, "llm", "streaming", 3, True
) | {"timeout_ms": LONG_MS}


class TwoVersionsTest(unittest.TestCase):
    """Base class: a fleet whose engines have two software versions."""

    vms = 3
    event_ms = EVENT_MS

    def setUp(self):
        self.fleet = hosted_fleet.Fleet(
            vms=self.vms, phases=PHASES, versions=VERSIONS
        )
        self.enterContext(self.fleet)
        self.fleet.configure(more=[ROUTE])
        for name in (*OLD_ENGINES, *NEW_ENGINES):
            self.fleet.set_fault(name, event_ms=self.event_ms)
        for number in range(self.vms):
            self.await_route(number)
        self.streams = []
        self.callers = []

    def await_route(self, number):
        processes.wait_until(
            lambda: (
                self.fleet.send(
                    number,
                    f"{PATH}a",
                    f"a-{number}",
                    headers=hosted_fleet.STREAM,
                ).status
                == 200
            )
        )

    def get_port(self, number):
        return self.fleet.ports[number][0]

    def begin(self, vm=0, drop_at=DROP_AT, count=STREAMS):
        """Begin streams on a VM; wait until they end or were dropped."""
        self.add_callers(vm, count)
        stream_callers.run_all(
            self.callers, lambda caller: caller.begin(drop_at)
        )

    def begin_in_background(self, vm=0, count=STREAMS):
        """Begin streams on a VM; return a future of their ends."""
        self.add_callers(vm, count)
        pool = concurrent.futures.ThreadPoolExecutor(1)
        self.addCleanup(pool.shutdown)
        future = pool.submit(
            stream_callers.run_all,
            self.callers,
            lambda caller: caller.begin(),
        )
        processes.wait_until(
            lambda: all(stream.has_begun() for stream in self.streams)
        )
        return future

    def add_callers(self, vm, count):
        self.streams = [
            stream_callers.ResumedStream(f"s{number}")
            for number in range(count)
        ]
        self.callers = [
            stream_callers.StreamCaller(self.get_port(vm), stream, PATH)
            for stream in self.streams
        ]

    def resume(self, vm):
        """Let all callers request the rest of their streams from a VM."""
        port = self.get_port(vm)
        stream_callers.run_all(
            self.callers, lambda caller: caller.resume(port)
        )

    def check(self, min_resumed=MIN_RESUMED_FRACTION):
        """Check that no stream is mixed and that enough of them went on."""
        report = stream_callers.describe(self.streams)
        print(f"{self.id()}: {report}")
        begun = [stream for stream in self.streams if stream.has_begun()]
        self.assertGreaterEqual(len(begun), STREAMS * MIN_RESUMED_FRACTION)
        self.assertEqual(
            [stream.events for stream in begun if stream.is_mixed()],
            [],
            report,
        )
        self.assertGreaterEqual(
            sum(stream.is_complete() for stream in begun),
            min_resumed * len(begun),
            report,
        )


class ReturnTest(TwoVersionsTest):
    """Callers drop their connections and request the rest."""

    def test_at_the_same_vm(self):
        """Guards against a resumed stream at a second software version."""
        self.begin()
        self.resume(0)
        self.check()

    def test_at_another_vm(self):
        """Guards against a second version where another VM resumes."""
        self.begin()
        self.resume(1)
        self.check()

    def test_at_another_vm_a_second_later(self):
        """Guards against a version that is forgotten within a second."""
        self.begin()
        time.sleep(1)
        self.resume(1)
        self.check()

    def test_at_a_vm_that_has_just_started(self):
        """Guards against a second version where a VM started later."""
        self.fleet.vms[2].kill()
        self.begin()
        self.fleet.start_vm(2).wait_ready()
        processes.wait_until(lambda: self.fleet.is_ready(self.fleet.ports[2]))
        self.resume(2)
        self.check()


class LostVmTest(TwoVersionsTest):
    """The VM that began the streams ends."""

    def test_killed(self):
        """Guards against a version that is lost with the VM that knew it."""
        future = self.begin_in_background()
        self.fleet.vms[0].kill()
        future.result()
        self.resume(1)
        self.check()

    def test_stopped(self):
        """Guards against a version that a stopped VM does not pass on."""
        for name in (*OLD_ENGINES, *NEW_ENGINES):
            self.fleet.set_fault(name, event_ms=LONG_MS // 20)
        future = self.begin_in_background()
        self.fleet.vms[0].send_signal(signal.SIGTERM)
        future.result()
        for name in (*OLD_ENGINES, *NEW_ENGINES):
            self.fleet.set_fault(name, event_ms=EVENT_MS)
        self.resume(1)
        self.check()


class LostEngineTest(TwoVersionsTest):
    """Engines fail and the VM continues within its response."""

    def test_one_engine_of_each_version_breaks_off(self):
        """Guards against a failover to an engine of another version."""
        for name in ("e1", "e3"):
            self.fleet.set_fault(name, cut_after=DROP_AT)
        self.begin(drop_at=stream_callers.EVENT_COUNT + 1)
        for name in ("e1", "e3"):
            self.fleet.set_fault(name, cut_after=0)
        self.resume(1)
        self.check()

    def test_one_engine_of_each_version_stalls(self):
        """Guards against replacing a stalled engine by another version."""
        for name in ("e1", "e3"):
            self.fleet.set_fault(name, pause_at=DROP_AT, pause_ms=4_000)
        self.begin(drop_at=stream_callers.EVENT_COUNT + 1)
        self.check()

    def test_all_engines_of_a_version_are_gone(self):
        """Guards against another version where none of the own is left."""
        future = self.begin_in_background()
        for name in OLD_ENGINES:
            self.fleet.kill_upstream(name)
            self.fleet.drop("servers", name)
        future.result()
        self.resume(1)
        self.check(0.0)


if __name__ == "__main__":
    unittest.main()
