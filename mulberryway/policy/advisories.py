"""What upstreams say of themselves in their responses; without I/O."""

from mulberryway import tables
from mulberryway.policy import cold_start
from mulberryway.policy import pauses
from mulberryway.policy import rate_limits
from mulberryway.policy import send_limits

__all__ = ["Advisory", "AdvisoryRegister"]


class Advisory:
    """What one response says of its upstream.

    :param sent_ms: when its request was sent, in ms
    :param rate_per_s: requests per second that the upstream accepts from all
        VMs together; none if it names no limit
    :param ends_limit: whether the upstream has no limit if it names none
    :param is_leaving: whether the upstream will end soon
    :param pause_ms: for how long the upstream wants no requests of this VM
    """

    __slots__ = (
        "sent_ms",
        "rate_per_s",
        "ends_limit",
        "is_leaving",
        "pause_ms",
    )

    def __init__(
        self,
        sent_ms: int,
        rate_per_s: float | None = None,
        ends_limit: bool = False,
        is_leaving: bool = False,
        pause_ms: int = 0,
    ) -> None:
        self.sent_ms = sent_ms
        self.rate_per_s = rate_per_s
        self.ends_limit = ends_limit
        self.is_leaving = is_leaving
        self.pause_ms = pause_ms


class AdvisoryRegister(send_limits.CombinedSendLimits):
    """The latest advisories of each upstream; not thread-safe.

    They belong to an incarnation.  An upstream that is missing from the tables
    may return within the same incarnation.

    :param shares: this VM's share of each rate limit
    """

    __slots__ = ("rate_limits", "pauses", "_leaving", "_started_ms", "_listed")

    def __init__(self, shares: cold_start.FleetShares | None = None) -> None:
        self.rate_limits = rate_limits.RateLimits(
            shares or cold_start.FleetShares("")
        )
        self.pauses = pauses.Pauses()
        super().__init__((self.pauses, self.rate_limits))
        # The upstreams that will end soon, the oldest first, with the start of
        # the incarnation that said so.
        self._leaving: dict[str, int] = {}
        # When the incarnations of upstreams started, by their own clocks.
        self._started_ms: dict[str, int] = {}
        # The upstreams of the active tables.
        self._listed: frozenset[str] = frozenset()

    def record_rate(
        self, upstream: str, advisory: Advisory, now_ms: int
    ) -> rate_limits.RateLimitChange | None:
        """Apply what a response says of its upstream's rate limit.

        :param upstream: the upstream's name
        :param advisory: what the response says
        :param now_ms: current time in ms
        :returns: the change of the limit, if any
        """
        if advisory.rate_per_s is None and not advisory.ends_limit:
            return None
        return self.rate_limits.record(
            upstream, advisory.rate_per_s, advisory.sent_ms, now_ms
        )

    def make_news(
        self,
        upstream: str,
        advisory: Advisory,
        change: rate_limits.RateLimitChange | None,
        now_ms: int,
    ) -> rate_limits.RateLimitNews | None:
        """Return what the other VMs should hear of a response, if anything.

        :param upstream: the name of its upstream
        :param advisory: what it says, already recorded
        :param change: the change of the rate limit, if any
        :param now_ms: current time in ms
        """
        rate = advisory.rate_per_s
        if change is None and (
            rate is None
            or not self.rate_limits.is_news(upstream, rate, now_ms)
        ):
            return None
        self.rate_limits.mark_told(upstream, now_ms)
        return rate_limits.RateLimitNews(
            upstream,
            self._started_ms.get(upstream, 0),
            rate,
            now_ms - advisory.sent_ms,
        )

    def record_news(
        self, news: rate_limits.RateLimitNews, now_ms: int
    ) -> rate_limits.RateLimitChange | None:
        """Apply what another VM has heard.

        :param news: what it has heard
        :param now_ms: current time in ms
        :returns: the change of the rate limit, if any
        """
        known_ms = self._started_ms.get(news.upstream, news.started_ms)
        if known_ms != news.started_ms:
            return None
        change = self.rate_limits.record(
            news.upstream, news.rate_per_s, now_ms - news.age_ms, now_ms
        )
        self.rate_limits.mark_told(news.upstream, now_ms)
        return change

    def record_leaving(self, upstream: str) -> bool:
        """Record that an upstream will end soon.

        :param upstream: its name
        :returns: whether it was not known
        """
        started_ms = self._started_ms.get(upstream, 0)
        if self._leaving.get(upstream) == started_ms:
            return False
        self._leaving[upstream] = started_ms
        send_limits.evict_oldest(self._leaving)
        return True

    def is_leaving(self, upstream: tables.Upstream) -> bool:
        """Return whether an upstream's incarnation has said that it will end.

        :param upstream: the upstream
        """
        return self._leaving.get(upstream.name) == upstream.started_ms

    def update_tables(self, changed: tables.Tables) -> None:
        """Forget what previous incarnations of upstreams have said.

        :param changed: the new tables
        """
        started_ms = {
            upstream.name: upstream.started_ms
            for pool in changed.pools.values()
            for upstream in pool.upstreams
        }
        for name, time_ms in started_ms.items():
            if self._started_ms.get(name, time_ms) != time_ms:
                self.rate_limits.forget(name)
                self.pauses.forget(name)
                self._leaving.pop(name, None)
        self._listed = frozenset(started_ms)
        missing = {
            name: time_ms
            for name, time_ms in self._started_ms.items()
            if name not in started_ms
        }
        self._started_ms = missing | started_ms
        send_limits.evict_oldest(self._started_ms)

    def count_leaving(self) -> int:
        """Return how many listed upstreams have said that they will end."""
        return len(self._listed.intersection(self._leaving))
