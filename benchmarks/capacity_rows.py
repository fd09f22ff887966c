"""Row type and target size of the tables in docs/CAPACITY.md."""

import collections.abc

__all__ = ["Row", "Target"]


class Target:
    """The required size two years from now, as stated by the users."""

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
    """One row of a table: a quantity extrapolated to the target size.

    :param role: the process or component
    :param quantity: description of the quantity, with its unit
    :param names: names of the measured series it is computed from
    :param size: the size at which it is evaluated, in the x unit of the
        first series
    :param compute: computes the quantity from the fitted lines
    :param limit: the limit set by the users or the platform, as text
    :param mechanism: the mechanism that bounds the quantity
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
