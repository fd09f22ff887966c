"""Faults of the platform stand-in."""

import random
import typing

__all__ = ["Faults"]


class Faults:
    """Current faults; initially all are off.

    * ``outage``: respond with status 503, and end watches
    * ``silence``: accept calls and never respond
    * ``slow_ms``: additional delay of each response
    * ``lost_writes``: number of coming writes that take effect, but whose
      connection is reset before the response
    * ``lost_share``: probability of the same fault for each other write
    * ``stale``: serve reads from the state at the time this was enabled
    * ``silent_watches``: send nothing more on the watches open at that time;
      new watches work
    * ``kinds``: limit the faults to these kinds; empty for all

    :param seed: random seed that selects lost replies
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
        self._rng = random.Random(seed)

    def update(self, values: dict[str, typing.Any]) -> None:
        """Set some faults and leave the others unchanged.

        :param values: new values by fault name
        :raises ValueError: if a fault does not exist
        """
        known = self.show()
        unknown = values.keys() - known.keys()
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        for name, value in values.items():
            setattr(self, name, value)

    def show(self) -> dict[str, typing.Any]:
        """Return the faults by name."""
        return {
            name: value
            for name, value in vars(self).items()
            if not name.startswith("_")
        }

    def applies_to(self, kind: str) -> bool:
        """Return whether the faults apply to a kind.

        :param kind: kind of an object
        """
        return not self.kinds or kind in self.kinds

    def consume_reply_drop(self) -> bool:
        """Return whether to drop a write's reply, and count the write."""
        if self.lost_writes > 0:
            self.lost_writes -= 1
            return True
        return self._rng.random() < self.lost_share
