"""What a row of docs/CAPACITY.md's tables holds, and the size it is for."""

import collections.abc

__all__ = ["Row", "Target"]


class Target:
    """The size of two years on, from the users' letter."""

    VMS = 410
    SERVERS = 600
    ENGINES = 4_800
    REQUESTS_PER_S = 8_900
    TOKENS_PER_S = 2_600_000
    ACCOUNTS = 2_200
    EDITS_PER_DAY = 1_800
    RESTARTS_PER_DAY = 288
    ZONE_VMS = 68
    ZONE_SERVERS = 100
    SECONDS_PER_DAY = 86_400

    REQUESTS_PER_VM = REQUESTS_PER_S / VMS
    TOKENS_PER_VM = TOKENS_PER_S / VMS
    EDITS_PER_S = EDITS_PER_DAY / SECONDS_PER_DAY


class Row:
    """One row of a table: a quantity at the target's size.

    :param role: which process or part
    :param quantity: what is told, with its unit
    :param names: the measurements behind it
    :param size: the size, in the first measurement's unit, it is worked
        out at
    :param compute: turns the fits into the figure
    :param limit: what the letter or the platform allows, in words
    :param mechanism: what carries it
    """

    __slots__ = (
        "role",
        "quantity",
        "names",
        "size",
        "compute",
        "limit",
        "mechanism",
    )

    def __init__(
        self,
        role: str,
        quantity: str,
        names: tuple[str, ...],
        size: float,
        compute: collections.abc.Callable[..., float],
        limit: str,
        mechanism: str,
    ) -> None:
        self.role = role
        self.quantity = quantity
        self.names = names
        self.size = size
        self.compute = compute
        self.limit = limit
        self.mechanism = mechanism
