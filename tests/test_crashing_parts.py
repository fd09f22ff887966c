"""Tests of parts of prompts that end each engine that answers them."""

import itertools

from tests import crash_fleet

BAD = crash_fleet.BAD_PART
OTHER_BAD = crash_fleet.OTHER_BAD_PART
FIRST = crash_fleet.FIRST_PART
SOUND_S = 1 / 12
RARE_SOUND_S = 0.35
LONG_S = 20.0
BAD_S = 0.3
SLOW_BAD_S = 1.2
SHORT_EVENT_MS = 2


class CrashingPartTest(crash_fleet.CrashingPartTest):
    """Requests with one part end engines while sound ones share the rest."""

    def make_bad_parts(self, number, part=BAD):
        return (*self.make_sound_parts(number), part)

    def make_loads(self, bad_s=BAD_S, sound_s=SOUND_S):
        return (
            crash_fleet.Load(sound_s, self.make_sound_parts),
            crash_fleet.Load(bad_s, self.make_bad_parts),
        )

    def warm_up(self):
        """Send sound requests alone, which shows that their parts are."""
        length_s, self.length_s = self.length_s, 2.5
        self.play(crash_fleet.Load(SOUND_S, self.make_sound_parts))
        self.length_s = length_s

    def test_part_in_the_middle(self):
        """Guards against crashes by requests that share one part."""
        self.start()
        self.warm_up()
        self.play(*self.make_loads())
        self.check(BAD)

    def test_part_is_the_first(self):
        """Guards against crashes by requests that share their first part."""
        self.start()
        self.warm_up()
        self.play(
            self.make_loads()[0],
            crash_fleet.Load(
                BAD_S,
                lambda number: (
                    BAD,
                    self.rng.choice(crash_fleet.MIDDLE_PARTS),
                ),
            ),
        )
        self.check(BAD)

    def test_answers_end_before_their_engine(self):
        """Guards against taking a whole answer for a proof of soundness."""
        self.start(event_ms=SHORT_EVENT_MS)
        self.warm_up()
        self.play(*self.make_loads())
        self.check(BAD)

    def test_no_history(self):
        """Guards against blaming the shared parts before any has ended."""
        self.length_s = LONG_S
        self.start()
        self.play(*self.make_loads(sound_s=RARE_SOUND_S))
        self.check(BAD)

    def test_two_parts_by_turns(self):
        """Guards against blaming what two crashing parts have in common."""
        self.start(crash_parts=(BAD, OTHER_BAD))
        self.warm_up()
        parts = itertools.cycle((BAD, OTHER_BAD))
        self.play(
            self.make_loads()[0],
            crash_fleet.Load(
                BAD_S,
                lambda number: self.make_bad_parts(number, next(parts)),
            ),
        )
        self.check(BAD, OTHER_BAD)

    def test_several_at_once(self):
        """Guards against crashes by requests that come at one moment."""
        self.start()
        self.warm_up()
        self.play(
            self.make_loads()[0],
            crash_fleet.Load(0.9, self.make_bad_parts, copies=3),
        )
        self.check(BAD)

    def test_two_accounts(self):
        """Guards against counting each account's crashes by themselves."""
        self.start()
        self.warm_up()
        keys = itertools.cycle(("k-large", "k-small"))
        self.play(
            self.make_loads()[0],
            crash_fleet.Load(
                BAD_S, self.make_bad_parts, key=lambda number: next(keys)
            ),
        )
        self.check(BAD)

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
