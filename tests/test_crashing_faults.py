"""Tests of crashing parts beside other faults."""

from tests import crash_fleet

BAD = crash_fleet.BAD_PART
SLOW_BAD_S = 1.2


class CrashingFaultTest(crash_fleet.CrashingPartTest):
    """Engines and VMs end for other reasons, too."""

    def test_restarted_vm(self):
        """Guards against a VM that starts without knowledge of crashes."""
        self.start()
        self.warm_up()
        self.play(*self.make_loads(), actions=[(5.0, self.restart_first_vm)])
        self.check(BAD)

    def restart_first_vm(self):
        self.fleet.vms[0].kill()
        self.fleet.start_vm(0)

    def test_ordinary_crashes_beside(self):
        """Guards against confusing ordinary crashes with those of a part."""
        self.start()
        self.warm_up()
        self.play(
            *self.make_loads(SLOW_BAD_S),
            actions=[
                (at_s, lambda: self.kill_engines(1))
                for at_s in (1.0, 3.0, 6.0, 9.0, 12.0)
            ],
        )
        self.check(BAD)

    def test_half_of_the_engines_end_at_once(self):
        """Guards against blaming parts for a loss of power."""
        self.start()
        self.warm_up()
        self.play(
            *self.make_loads(SLOW_BAD_S),
            actions=[(at_s, lambda: self.kill_engines(3)) for at_s in (2, 8)],
        )
        self.check(BAD)

    def kill_engines(self, count):
        for name in self.fleet.list_engines()[:count]:
            self.fleet.kill_upstream(name)
