"""Tells since when a VM has followed every change of the store's objects.

A copy that is current now may have missed what came and went while its VM was
out of touch.
"""

from mulberryway.objects import position

__all__ = ["FollowedHistory"]

# A listing shows no object that came and went since the last answer, so one
# that follows it later than this begins a new history.  It is the longest
# time between two answers of a store that is in reach.
MAX_LISTING_GAP_MS = 3_000


class FollowedHistory:
    """The part of the store's history that a VM has read without a gap.

    Not thread-safe.

    ``position`` is where the part ends, ``since_ms`` when it began; none
    before the first listing.  ``until_ms`` is the last time for which the
    store has confirmed that it is complete.
    """

    __slots__ = ("position", "since_ms", "until_ms")

    def __init__(self) -> None:
        self.position = position.ORIGIN
        self.since_ms: int | None = None
        self.until_ms = 0

    def record_listing(
        self, position_: position.Position, asked_ms: int
    ) -> None:
        """Record a listing.

        :param position_: the listing's position
        :param asked_ms: when the store was called, in ms
        """
        if (
            self.since_ms is None
            or asked_ms - self.until_ms > MAX_LISTING_GAP_MS
        ):
            self.restart(position_, asked_ms)
            return
        self.position = position_
        self.until_ms = max(self.until_ms, asked_ms)

    def record_changes(
        self,
        asked: position.Position,
        position_: position.Position,
        asked_ms: int,
    ) -> None:
        """Record changes; those after a later position leave a gap.

        :param asked: the position after which they were read
        :param position_: the position up to which they are complete
        :param asked_ms: when the store was called, in ms
        """
        if asked.era != self.position.era or asked > self.position:
            return
        self.position = max(self.position, position_)
        self.until_ms = max(self.until_ms, asked_ms)

    def restart(self, position_: position.Position, now_ms: int) -> None:
        """Begin a new history, as changes before it were missed.

        :param position_: the position up to which the VM's copy is complete
        :param now_ms: current time in ms
        """
        self.position = position_
        self.since_ms = self.until_ms = now_ms
