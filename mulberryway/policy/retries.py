"""A budget for repeats, so that they do not multiply load."""

__all__ = ["RetryBudget"]

# Load: saturation, or an upstream that dies with about twenty requests.
# Harm: each refused or failed request comes again and costs another prefill,
# so that load grows just when there is least room.  One repeat for ten first
# attempts keeps the added load under a tenth; the most that may be saved up
# is what two dying engines of twenty slots set free at once.
REPEATS_PER_FIRST = 0.1
MOST_SAVED = 40.0


class RetryBudget:
    """Earned by first attempts, spent by repeats."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MOST_SAVED

    def earn(self) -> None:
        """Count a first attempt."""
        self._saved = min(self._saved + REPEATS_PER_FIRST, MOST_SAVED)

    def spend(self) -> bool:
        """Take one repeat out.

        :returns: false if none is left; the repeat must not run
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
