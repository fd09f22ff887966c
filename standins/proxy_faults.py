"""The faults that one pair of the fault-injecting proxy can have."""

import random
import typing

__all__ = ["ProxyFaults"]


class ProxyFaults:
    """What goes wrong between one listening port and its target.

    Directions are ``up``, towards the target, and ``down``, towards whoever
    connected.  New connections see what is switched when bytes pass, but
    for ``silent``, which concerns the connections open at that moment.

    ``refuse`` closes new connections at once; ``stall_up`` and
    ``stall_down`` hold bytes back until switched off; ``delay_ms`` and
    ``jitter_ms`` delay bytes; ``drop_replies`` counts replies to come which
    are dropped, with the connection cut, after the request has passed;
    ``hold_replies`` counts replies to come each of which is held until
    another connection of the pair has got its own, and delivered then.
    """

    def __init__(self, seed: int) -> None:
        self.refuse = False
        self.stall_up = False
        self.stall_down = False
        self.delay_ms = 0
        self.jitter_ms = 0
        self.drop_replies = 0
        self.hold_replies = 0
        self._random = random.Random(seed)

    def change(self, values: dict[str, typing.Any]) -> None:
        """Switch faults; the others stay as they are.

        :param values: faults by name
        :raises ValueError: if there is no such fault
        """
        unknown = values.keys() - self.show().keys()
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

    def pick_delay_s(self) -> float:
        """Return the delay of the next bytes, in seconds."""
        if not self.delay_ms and not self.jitter_ms:
            return 0.0
        return (self.delay_ms + self._random.random() * self.jitter_ms) / 1000

    def consume_reply_drop(self) -> bool:
        """Decide whether a reply is dropped; counts it."""
        if self.drop_replies > 0:
            self.drop_replies -= 1
            return True
        return False

    def consume_reply_hold(self) -> bool:
        """Decide whether a reply is held; counts it."""
        if self.hold_replies > 0:
            self.hold_replies -= 1
            return True
        return False
