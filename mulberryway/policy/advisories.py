"""What upstreams say of themselves in their responses; without I/O."""

from mulberryway import tables

__all__ = ["Advisory", "AdvisoryRegister", "RateLimitChange"]

# Bounds the memory: the design load is 600 servers, of which few name a limit.
MAX_UPSTREAMS = 4_096


class Advisory:
    """What one response says of its upstream.

    :param sent_ms: when its request was sent, in ms
    :param rate_per_s: requests per second that the upstream accepts from all
        VMs together; none if it names no limit
    :param ends_limit: whether the upstream has no limit if it names none
    """

    __slots__ = ("sent_ms", "rate_per_s", "ends_limit")

    def __init__(
        self,
        sent_ms: int,
        rate_per_s: float | None = None,
        ends_limit: bool = False,
    ) -> None:
        self.sent_ms = sent_ms
        self.rate_per_s = rate_per_s
        self.ends_limit = ends_limit


class RateLimitChange:
    """A change of the rate limit of an upstream.

    :param upstream: the upstream's name
    :param previous_per_s: requests per second before; none for no limit
    :param rate_per_s: requests per second now; none for no limit
    """

    __slots__ = ("upstream", "previous_per_s", "rate_per_s")

    def __init__(
        self,
        upstream: str,
        previous_per_s: float | None,
        rate_per_s: float | None,
    ) -> None:
        self.upstream = upstream
        self.previous_per_s = previous_per_s
        self.rate_per_s = rate_per_s


class _RateLimit:
    """The rate limit that an upstream names."""

    __slots__ = ("rate_per_s", "heard_ms")

    def __init__(self, rate_per_s: float, heard_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self.heard_ms = heard_ms


class AdvisoryRegister:
    """The latest advisories of each upstream; not thread-safe.

    Responses may overtake one another.  One whose request was sent before the
    last advisory arrived may be older, so it can tighten a limit but neither
    raise nor end it.
    """

    __slots__ = ("_limits", "_started_ms")

    def __init__(self) -> None:
        # By the name of the upstream, the oldest first.
        self._limits: dict[str, _RateLimit] = {}
        self._started_ms: dict[str, int] = {}

    def record(
        self, upstream: str, advisory: Advisory, now_ms: int
    ) -> RateLimitChange | None:
        """Apply what a response says.

        :param upstream: the name of its upstream
        :param advisory: what it says
        :param now_ms: current time in ms
        :returns: the change of the upstream's rate limit, if any
        """
        limit = self._limits.get(upstream)
        previous = None if limit is None else limit.rate_per_s
        is_newer = limit is None or advisory.sent_ms >= limit.heard_ms
        rate = advisory.rate_per_s
        if rate is None:
            if previous is None or not (is_newer and advisory.ends_limit):
                return None
            del self._limits[upstream]
            return RateLimitChange(upstream, previous, None)
        if limit is None:
            self._limits[upstream] = _RateLimit(rate, now_ms)
            self._evict()
        elif is_newer or rate <= limit.rate_per_s:
            limit.rate_per_s = rate
            limit.heard_ms = now_ms
        else:
            return None
        if rate == previous:
            return None
        return RateLimitChange(upstream, previous, rate)

    def update_tables(self, changed: tables.Tables) -> None:
        """Forget what previous incarnations of upstreams have said.

        An upstream that is missing may return within the same incarnation.

        :param changed: the new tables
        """
        started_ms = {
            upstream.name: upstream.started_ms
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        for name, time_ms in started_ms.items():
            if self._started_ms.get(name, time_ms) != time_ms:
                self._limits.pop(name, None)
        self._started_ms = {
            name: time_ms
            for name, time_ms in self._started_ms.items()
            if name in self._limits
        } | started_ms

    def count_limited(self) -> int:
        """Return the number of upstreams that name a rate limit."""
        return len(self._limits)

    def _evict(self) -> None:
        while len(self._limits) > MAX_UPSTREAMS:
            del self._limits[next(iter(self._limits))]
