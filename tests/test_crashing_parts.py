"""Tests of parts of prompts that end each engine that answers them."""

from tests import crash_fleet

BAD = crash_fleet.BAD_PART
SHORT_EVENT_MS = 2
RARE_SOUND_S = 0.35
LONG_S = 26.0


class CrashingPartTest(crash_fleet.CrashingPartTest):
    """Requests with one part end engines while sound ones share the rest."""

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
                crash_fleet.BAD_S,
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
