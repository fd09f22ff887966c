"""Ranks of requests under overload; 0 is the highest."""

import collections.abc
import hashlib

__all__ = [
    "DEFAULT_RANK",
    "EXPEDITED_FRACTION",
    "LOWEST_RANK",
    "PoolRanks",
    "SINGLE_RANK",
    "compute_queue_rank",
    "compute_rank",
    "compute_return_ms",
    "get_queue_fraction",
    "make_pool_ranks",
]

# The rank of requests whose route and account name none.
DEFAULT_RANK = 0
# Engines order requests by ten ranks; lower ones count as the last.
LOWEST_RANK = 9
# The fraction of a queue that every rank may fill.
MIN_QUEUE_FRACTION = 0.5
# The fraction of jobs of lower ranks that are queued with the highest one.
EXPEDITED_FRACTION = 0.3
# Width of the window in which callers that are refused together return, as a
# fraction of the shortest time, and its minimum.
RETURN_WINDOW = 0.5
MIN_RETURN_WINDOW_MS = 200
# Ranks further below the highest one share the last window.
MAX_RETURN_STEPS = 2
# Fraction of a caller's remaining time that it waits at most, as asked.
HONOURED_FRACTION = 1 / 3
HASH_BYTES = 4


class PoolRanks:
    """The highest and the lowest rank that requests to a pool can have.

    :param highest: the highest rank, the smallest number
    :param lowest: the lowest rank
    """

    __slots__ = ("highest", "lowest")

    def __init__(self, highest: int, lowest: int) -> None:
        self.highest = highest
        self.lowest = lowest

    @property
    def differ(self) -> bool:
        """Whether requests to the pool can have more than one rank."""
        return self.highest != self.lowest


SINGLE_RANK = PoolRanks(DEFAULT_RANK, DEFAULT_RANK)


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


def make_pool_ranks(priorities: collections.abc.Iterable[int]) -> PoolRanks:
    """Return the ranks of a pool.

    :param priorities: the priorities that requests to the pool can have, see
        ``Tables.list_priorities``
    :returns: ``SINGLE_RANK`` without any
    """
    found = [compute_rank(priority, None) for priority in priorities]
    return PoolRanks(min(found), max(found)) if found else SINGLE_RANK


def compute_queue_rank(
    rank: int, pool_ranks: PoolRanks, request_id: str
) -> int:
    """Return how many ranks below the pool's highest a job is queued.

    A fraction of the jobs of lower ranks is expedited, so that none of their
    kinds, accounts and sizes starves however many higher ones wait, and none
    is served more often than these.  The choice depends on the request only.

    :param rank: the rank of the job
    :param pool_ranks: the ranks of its pool
    :param request_id: identifies the request
    :returns: 0 for the highest rank and for expedited jobs
    """
    steps = max(rank - pool_ranks.highest, 0)
    if not steps or _hash_id("expedite", request_id) < EXPEDITED_FRACTION:
        return 0
    return steps


def compute_return_ms(
    wait_ms: int, steps: int, request_id: str, left_ms: int
) -> int:
    """Return after how long a refused caller should return.

    Callers that are refused together don't return together, and those of a
    higher rank return earlier, unless their deadlines are too close for that.

    :param wait_ms: the estimated time until a return is useful, in ms
    :param steps: how many ranks the job is below the pool's highest
    :param request_id: identifies the request
    :param left_ms: the time until the caller's deadline, in ms
    :returns: time in ms, at most what the caller honours
    """
    window_ms = max(wait_ms * RETURN_WINDOW, MIN_RETURN_WINDOW_MS)
    start_ms = wait_ms + window_ms * min(max(steps, 0), MAX_RETURN_STEPS)
    limit_ms = max(left_ms * HONOURED_FRACTION, 0)
    latest_ms = min(start_ms + window_ms, limit_ms)
    # A window that ends at the limit keeps some of its width.
    min_width_ms = min(window_ms, limit_ms * RETURN_WINDOW) / 2
    earliest_ms = min(start_ms, latest_ms - min_width_ms)
    spread_ms = (latest_ms - earliest_ms) * _hash_id("return", request_id)
    return int(earliest_ms + spread_ms)


def _hash_id(purpose: str, request_id: str) -> float:
    """Return a number of at least 0 and below 1 for a request."""
    digest = hashlib.blake2b(
        f"{purpose} {request_id}".encode(), digest_size=HASH_BYTES
    ).digest()
    return int.from_bytes(digest) / 256**HASH_BYTES
