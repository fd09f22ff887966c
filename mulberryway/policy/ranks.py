"""Ranks of requests under overload; 0 is the highest."""

__all__ = [
    "DEFAULT_RANK",
    "LOWEST_RANK",
    "compute_rank",
    "get_queue_fraction",
]

# The rank of requests whose route and account name none.
DEFAULT_RANK = 0
# Engines order requests by ten ranks; lower ones count as the last.
LOWEST_RANK = 9
# The fraction of a queue that every rank may fill.
MIN_QUEUE_FRACTION = 0.5


def compute_rank(route_rank: int, account_rank: int | None) -> int:
    """Return the rank of a request.

    :param route_rank: the rank of its route
    :param account_rank: the rank of its client account, which goes first;
        none if the account has none
    :returns: 0 to ``LOWEST_RANK``
    """
    rank = route_rank if account_rank is None else account_rank
    return min(max(rank, DEFAULT_RANK), LOWEST_RANK)


def get_queue_fraction(rank: int, highest_rank: int) -> float:
    """Return the fraction of a queue that jobs of a rank may fill.

    The rest stays free for higher ranks, so that a burst of lower ones never
    fills the queue before them.  With a single rank in use it is all.

    :param rank: the rank
    :param highest_rank: the highest rank in use, its smallest number
    :returns: 1.0 for the highest rank, less with each lower one, always more
        than ``MIN_QUEUE_FRACTION``
    """
    steps = max(rank - highest_rank, 0)
    return MIN_QUEUE_FRACTION + (1.0 - MIN_QUEUE_FRACTION) / 2.0**steps
