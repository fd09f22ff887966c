"""Tests of callers that resume streams while two software versions serve."""

import signal
import time
import unittest

from tests import processes
from tests import version_fleet


class ReturnTest(version_fleet.TwoVersionsTest):
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

    def test_while_the_store_is_down(self):
        """Guards against refusals where VMs know a version from each other."""
        self.begin()
        self.fleet.set_store_fault("refuse")
        self.resume(1)
        self.fleet.set_store_fault("")
        self.check()

    def test_at_a_vm_that_reaches_no_other(self):
        """Guards against a guess where nobody can tell the version."""
        self.fleet.vms[2].kill()
        self.begin()
        for number in (0, 1):
            self.fleet.vms[number].send_signal(signal.SIGSTOP)
        self.fleet.start_vm(2).wait_ready()
        processes.wait_until(lambda: self.fleet.is_ready(self.fleet.ports[2]))
        self.resume(2)
        for number in (0, 1):
            self.fleet.vms[number].send_signal(signal.SIGCONT)
        self.check(0.0)
        statuses = {
            status for stream in self.streams for status in stream.statuses[1:]
        }
        self.assertEqual(statuses, {503})

    def test_stream_of_another_account(self):
        """Guards against an account that resumes another account's stream."""
        self.begin()
        self.resume(1, key="k-small")
        self.check(0.0)
        self.assertFalse(any(s.has_resumed() for s in self.streams))


class LostVmTest(version_fleet.TwoVersionsTest):
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
        for name in (*version_fleet.OLD_ENGINES, *version_fleet.NEW_ENGINES):
            self.fleet.set_fault(name, event_ms=version_fleet.LONG_MS // 20)
        future = self.begin_in_background()
        self.fleet.vms[0].send_signal(signal.SIGTERM)
        future.result()
        for name in (*version_fleet.OLD_ENGINES, *version_fleet.NEW_ENGINES):
            self.fleet.set_fault(name, event_ms=version_fleet.EVENT_MS)
        self.resume(1)
        self.check()


if __name__ == "__main__":
    unittest.main()
