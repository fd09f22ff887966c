"""The faults that the platform stand-in can be switched to."""

import random
import typing

__all__ = ["Faults"]


class Faults:
    """What goes wrong at present; everything off at first.

    ``outage`` answers 503; ``silence`` takes calls and never answers;
    ``slow_ms`` delays each answer; ``lost_writes`` counts writes to come
    that take effect and whose connection is then cut; ``lost_share`` does
    so to a seeded share; ``stale`` lets reads answer from the state of the
    moment it was switched on; ``silent_watches`` silences for good the
    watches that are open at that moment, while new ones work; ``kinds``
    limits all this to some kinds.
    """

    def __init__(self, seed: int) -> None:
        self.outage = False
        self.silence = False
        self.slow_ms = 0
        self.lost_writes = 0
        self.lost_share = 0.0
        self.stale = False
        self.silent_watches = False
        self.kinds: list[str] = []
        self._random = random.Random(seed)

    def change(self, values: dict[str, typing.Any]) -> None:
        """Switch faults on or off; the others stay as they are.

        :param values: faults by name
        :raises ValueError: if there is no such fault
        """
        known = self.show()
        unknown = values.keys() - known.keys()
        if unknown:
            raise ValueError(f"unknown: {sorted(unknown)}")
        for name, value in values.items():
            setattr(self, name, value)

    def show(self) -> dict[str, typing.Any]:
        """Return the faults by name."""
        return {
            name: value
            for name, value in vars(self).items()
            if not name.startswith("_")
        }

    def hits(self, kind: str) -> bool:
        """Tell whether a kind is among those that faults concern.

        :param kind: the kind
        """
        return not self.kinds or kind in self.kinds

    def consume_reply_drop(self) -> bool:
        """Decide whether a write's reply is lost; counts the write."""
        if self.lost_writes > 0:
            self.lost_writes -= 1
            return True
        return self._random.random() < self.lost_share
