"""Faults of one pair of the fault-injecting proxy."""

import random
import typing

__all__ = ["ProxyFaults"]


class ProxyFaults:
    """Faults between one listening port and its target.

    The direction ``up`` is towards the target, ``down`` towards the client.
    Faults apply to all connections at the time that bytes pass; only
    ``silent`` applies just to the connections that are open when it is set.

    * ``refuse``: close new connections at once
    * ``stall_up``, ``stall_down``: hold bytes of a direction until disabled
    * ``delay_ms``, ``jitter_ms``: delay bytes
    * ``drop_replies``: number of coming replies that are dropped with their
      connection, after the request has passed
    * ``hold_replies``: number of coming replies that are held until another
      connection of the pair has received its reply

    :param seed: random seed of the delays
    """

    def __init__(self, seed: int) -> None:
        self.refuse = False
        self.stall_up = False
        self.stall_down = False
        self.delay_ms = 0
        self.jitter_ms = 0
        self.drop_replies = 0
        self.hold_replies = 0
        self._rng = random.Random(seed)

    def update(self, values: dict[str, typing.Any]) -> None:
        """Set some faults and leave the others unchanged.

        :param values: new values by fault name
        :raises ValueError: if a fault does not exist
        """
        unknown = values.keys() - self.show().keys()
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

    def pick_delay_s(self) -> float:
        """Return the delay of the next bytes, in seconds."""
        if not self.delay_ms and not self.jitter_ms:
            return 0.0
        return (self.delay_ms + self._rng.random() * self.jitter_ms) / 1000

    def consume_reply_drop(self) -> bool:
        """Return whether to drop a reply, and count it."""
        if self.drop_replies > 0:
            self.drop_replies -= 1
            return True
        return False

    def consume_reply_hold(self) -> bool:
        """Return whether to hold a reply, and count it."""
        if self.hold_replies > 0:
            self.hold_replies -= 1
            return True
        return False
