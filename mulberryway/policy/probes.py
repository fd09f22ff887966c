"""Ejected upstreams that need an active probe."""

__all__ = ["EjectedUpstream"]


class EjectedUpstream:
    """An ejected upstream, and whether to probe it now.

    :param pool: the pool's name
    :param upstream: the upstream's name
    :param is_due: whether a probe is due
    :param reported_by: the other VM that last reported a failure there; empty
        if none did
    """

    __slots__ = ("pool", "upstream", "is_due", "reported_by")

    def __init__(
        self, pool: str, upstream: str, is_due: bool, reported_by: str = ""
    ) -> None:
        self.pool = pool
        self.upstream = upstream
        self.is_due = is_due
        self.reported_by = reported_by
