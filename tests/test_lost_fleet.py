"""Tests of streams that are resumed after all VMs ended at once."""

import time
import unittest

from tests import processes
from tests import version_fleet

ENGINES = (*version_fleet.OLD_ENGINES, *version_fleet.NEW_ENGINES)
# Streams of 20 events that last for 6 s.
SLOW_EVENT_MS = 300
# Time in which VMs store what they know.
STORED_S = 2.5
# At least as many as the operators ask for; the target is higher.
MIN_RESUMED_FRACTION = version_fleet.MIN_RESUMED_FRACTION


class LostFleetCase(version_fleet.TwoVersionsTest):
    event_ms = SLOW_EVENT_MS

    def lose_vms(self, before_restart=lambda: None):
        """Kill all VMs while streams run; restart them; resume the streams.

        :param before_restart: called while no VM runs
        """
        future = self.begin_in_background()
        time.sleep(STORED_S)
        for vm in self.fleet.vms:
            vm.kill()
        future.result()
        for name in ENGINES:
            self.fleet.set_fault(name, event_ms=version_fleet.EVENT_MS)
        before_restart()
        for number in range(self.vms):
            self.fleet.start_vm(number)
        for vm in self.fleet.vms:
            vm.wait_ready()
        processes.wait_until(
            lambda: all(map(self.fleet.is_ready, self.fleet.ports))
        )
        self.await_route(1)
        self.resume(1)


class LostFleetTest(LostFleetCase):
    def test_two_versions_serve(self):
        """Guards against streams that nobody can resume after a loss of all
        VMs, and against streams of two versions.
        """
        self.lose_vms()
        self.check(MIN_RESUMED_FRACTION)

    def test_servers_of_one_version_leave_meanwhile(self):
        """Guards against the version that is left where the stream's own has
        ended while no VM ran.
        """

        def leave():
            for name in version_fleet.OLD_ENGINES:
                self.fleet.kill_upstream(name)
                self.fleet.drop("servers", name)

        self.lose_vms(leave)
        self.check(0.0)
        self.check_new_version_went_on()

    def test_servers_restart_with_the_other_version(self):
        """Guards against engines that come back under their names with the
        other version while no VM runs.
        """

        def restart():
            for name in version_fleet.OLD_ENGINES:
                self.fleet.kill_upstream(name)
                self.fleet.versions[name] = version_fleet.NEW
                self.fleet.start_upstream(name, "llm", "decode")

        self.lose_vms(restart)
        self.check(0.0)
        self.check_new_version_went_on()

    def test_store_returns_from_an_older_copy(self):
        """Guards against wrong versions where the store has lost the newest
        records, or all of them.
        """
        self.fleet.copy_store()
        self.lose_vms(self.fleet.restore_store)
        self.check(0.0)

    def test_two_losses(self):
        """Guards against streams that only the first loss of all VMs leaves
        known.
        """
        self.lose_vms()
        self.check(MIN_RESUMED_FRACTION)
        for name in ENGINES:
            self.fleet.set_fault(name, event_ms=SLOW_EVENT_MS)
        self.name_prefix = "t"
        self.lose_vms()
        self.check(MIN_RESUMED_FRACTION)

    def check_new_version_went_on(self):
        begun = [
            stream
            for stream in self.streams
            if stream.events[0][1] == version_fleet.NEW
        ]
        complete = sum(stream.is_complete() for stream in begun)
        self.assertGreaterEqual(complete, MIN_RESUMED_FRACTION * len(begun))


class OneVersionTest(LostFleetCase):
    versions = (version_fleet.OLD,) * len(version_fleet.PHASES)

    def test_one_version_serves(self):
        """Guards against refusals where no other version can have begun a
        stream.
        """
        self.lose_vms()
        self.check(MIN_RESUMED_FRACTION)


if __name__ == "__main__":
    unittest.main()
