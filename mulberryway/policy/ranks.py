"""Ranks of requests under overload; 0 is the highest."""

__all__ = ["DEFAULT_RANK", "LOWEST_RANK", "compute_rank"]

# The rank of requests whose route and account name none.
DEFAULT_RANK = 0
# Engines order requests by ten ranks; lower ones count as the last.
LOWEST_RANK = 9


def compute_rank(route_rank: int, account_rank: int | None) -> int:
    """Return the rank of a request.

    :param route_rank: the rank of its route
    :param account_rank: the rank of its client account, which goes first;
        none if the account has none
    :returns: 0 to ``LOWEST_RANK``
    """
    rank = route_rank if account_rank is None else account_rank
    return min(max(rank, DEFAULT_RANK), LOWEST_RANK)
