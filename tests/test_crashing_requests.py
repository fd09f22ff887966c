"""Tests of how requests with a crashing part may come."""

import itertools

from tests import crash_fleet

BAD = crash_fleet.BAD_PART
OTHER_BAD = crash_fleet.OTHER_BAD_PART


class CrashingRequestTest(crash_fleet.CrashingPartTest):
    """Several parts, several at once, and several client accounts."""

    def test_two_parts_by_turns(self):
        """Guards against blaming what two crashing parts have in common."""
        self.start(crash_parts=(BAD, OTHER_BAD))
        self.warm_up()
        parts = itertools.cycle((BAD, OTHER_BAD))
        self.play(
            self.make_loads()[0],
            crash_fleet.Load(
                crash_fleet.BAD_S,
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
                crash_fleet.BAD_S,
                self.make_bad_parts,
                key=lambda number: next(keys),
            ),
        )
        self.check(BAD)

    def test_answers_without_framing(self):
        """Guards against a broken stream that proves its parts sound."""
        self.start(is_unframed=True)
        self.warm_up()
        self.play(*self.make_loads())
        self.check(BAD)
