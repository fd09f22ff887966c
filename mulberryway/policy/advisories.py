"""What upstreams say of themselves in their responses; without I/O.

An upstream may name the rate of requests that it accepts from all VMs
together.  Each VM has a fixed share of it, as of the limits of cold upstreams.
VMs without a share get no responses of the upstream, so each VM tells the
others what it has heard.
"""

import typing

from mulberryway import tables
from mulberryway.policy import cold_start
from mulberryway.policy import request_window
from mulberryway.policy import send_limits

__all__ = [
    "Advisory",
    "AdvisoryRegister",
    "RateLimitChange",
    "RateLimitNews",
]

# Bounds the memory: the design load is 600 servers, of which few name a limit.
MAX_UPSTREAMS = 4_096
WINDOW_MS = 4_000
MS_IN_S = 1_000
# VMs that hear a limit again tell the others at this interval, all together.
NEWS_INTERVAL_MS = 2_000
# If no VM has heard an upstream for this long, VMs without a share send it a
# request one after another, because its limit may have ended.  The interval
# keeps them within the limit even if they do not hear of each other's.
SILENCE_MS = 5_000
PROBE_INTERVAL_MS = 1_000


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


class RateLimitNews:
    """What one VM has heard of an upstream's rate limit, for the others.

    :param upstream: the upstream's name
    :param started_ms: when its incarnation started, in ms of its own clock
    :param rate_per_s: requests per second; none if it has no limit
    :param age_ms: time since the request was sent whose response said so
    """

    __slots__ = ("upstream", "started_ms", "rate_per_s", "age_ms")

    def __init__(
        self,
        upstream: str,
        started_ms: int,
        rate_per_s: float | None,
        age_ms: int,
    ) -> None:
        self.upstream = upstream
        self.started_ms = started_ms
        self.rate_per_s = rate_per_s
        self.age_ms = age_ms


class _Share:
    """This VM's share of a rate limit.

    :param vms: the VMs that it was computed for
    :param rate_per_s: the rate that it was computed for
    :param requests: the requests that this VM may send in a window
    :param rank: this VM's place in the order of VMs for the upstream
    """

    __slots__ = ("vms", "rate_per_s", "requests", "rank")

    def __init__(
        self, vms: frozenset[str], rate_per_s: float, requests: int, rank: int
    ) -> None:
        self.vms = vms
        self.rate_per_s = rate_per_s
        self.requests = requests
        self.rank = rank


class _RateLimit:
    """The rate limit that an upstream names, and this VM's requests to it."""

    __slots__ = (
        "rate_per_s",
        "heard_ms",
        "told_ms",
        "probed_ms",
        "requests",
        "share",
    )

    def __init__(self, rate_per_s: float, heard_ms: int) -> None:
        self.rate_per_s = rate_per_s
        self.heard_ms = heard_ms
        # When this VM has told the others or was told; none for never.
        self.told_ms: int | None = None
        # When this VM has last sent a request without a share.
        self.probed_ms: int | None = None
        self.requests = request_window.RequestWindow(WINDOW_MS)
        self.share = _Share(frozenset(), 0.0, 0, 0)

    def compute_limit(self) -> int:
        """Return the requests that all VMs together may send in a window."""
        return max(int(self.rate_per_s * WINDOW_MS / MS_IN_S), 1)


class AdvisoryRegister(send_limits.SendLimits):
    """The latest advisories of each upstream; not thread-safe.

    Responses may overtake one another.  One whose request was sent before the
    last advisory arrived may be older, so it can tighten a limit but neither
    raise nor end it.

    :param shares: this VM's share of each limit
    """

    __slots__ = (
        "_shares",
        "_limits",
        "_leaving",
        "_paused_until_ms",
        "_started_ms",
        "_listed",
    )

    def __init__(self, shares: cold_start.FleetShares | None = None) -> None:
        self._shares = shares or cold_start.FleetShares("")
        # By the name of the upstream, the oldest first.
        self._limits: dict[str, _RateLimit] = {}
        # The upstreams that will end soon, the oldest first, with the start of
        # the incarnation that said so.
        self._leaving: dict[str, int] = {}
        # Until when upstreams want no requests of this VM.
        self._paused_until_ms: dict[str, int] = {}
        # When the incarnations of upstreams started, by their own clocks.
        self._started_ms: dict[str, int] = {}
        # The upstreams of the active tables.
        self._listed: frozenset[str] = frozenset()

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
            _evict(self._limits)
        elif is_newer or rate <= limit.rate_per_s:
            limit.rate_per_s = rate
            limit.heard_ms = now_ms
        else:
            return None
        if rate == previous:
            return None
        return RateLimitChange(upstream, previous, rate)

    def record_news(
        self, news: RateLimitNews, now_ms: int
    ) -> RateLimitChange | None:
        """Apply what another VM has heard.

        :param news: what it has heard
        :param now_ms: current time in ms
        :returns: the change of the upstream's rate limit, if any
        """
        known_ms = self._started_ms.get(news.upstream, news.started_ms)
        if known_ms != news.started_ms:
            return None
        advisory = Advisory(
            now_ms - news.age_ms,
            news.rate_per_s,
            ends_limit=news.rate_per_s is None,
        )
        change = self.record(news.upstream, advisory, now_ms)
        limit = self._limits.get(news.upstream)
        if limit is not None:
            limit.told_ms = now_ms
        return change

    def make_news(
        self,
        upstream: str,
        advisory: Advisory,
        change: RateLimitChange | None,
        now_ms: int,
    ) -> RateLimitNews | None:
        """Return what the other VMs should hear of a response, if anything.

        :param upstream: the name of its upstream
        :param advisory: what it says, already recorded
        :param change: the change that it has caused, if any
        :param now_ms: current time in ms
        """
        limit = self._limits.get(upstream)
        if change is None:
            if limit is None or advisory.rate_per_s != limit.rate_per_s:
                return None
            told_ms = limit.told_ms
            if told_ms is not None and now_ms - told_ms < NEWS_INTERVAL_MS:
                return None
        if limit is not None:
            limit.told_ms = now_ms
        return RateLimitNews(
            upstream,
            self._started_ms.get(upstream, 0),
            advisory.rate_per_s,
            now_ms - advisory.sent_ms,
        )

    def record_leaving(self, upstream: str) -> bool:
        """Record that an upstream will end soon.

        :param upstream: its name
        :returns: whether it was not known
        """
        started_ms = self._started_ms.get(upstream, 0)
        if self._leaving.get(upstream) == started_ms:
            return False
        self._leaving[upstream] = started_ms
        _evict(self._leaving)
        return True

    def record_pause(self, upstream: str, pause_ms: int, now_ms: int) -> bool:
        """Record that an upstream wants no requests of this VM for a while.

        :param upstream: its name
        :param pause_ms: for how long, in ms
        :param now_ms: current time in ms
        :returns: whether it wanted some until now
        """
        until_ms = self._paused_until_ms.pop(upstream, 0)
        self._paused_until_ms[upstream] = max(until_ms, now_ms + pause_ms)
        _evict(self._paused_until_ms)
        return until_ms <= now_ms

    def count_paused(self, now_ms: int) -> int:
        """Return the number of upstreams that want no requests of this VM.

        :param now_ms: current time in ms
        """
        return sum(
            now_ms < until_ms for until_ms in self._paused_until_ms.values()
        )

    def is_leaving(self, upstream: tables.Upstream) -> bool:
        """Return whether an upstream's incarnation has said that it will end.

        :param upstream: the upstream
        """
        return self._leaving.get(upstream.name) == upstream.started_ms

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
                self._leaving.pop(name, None)
                self._paused_until_ms.pop(name, None)
        self._listed = frozenset(started_ms)
        self._started_ms = {
            name: time_ms
            for name, time_ms in self._started_ms.items()
            if name in self._limits
            or name in self._leaving
            or name in self._paused_until_ms
        } | started_ms

    def count_leaving(self) -> int:
        """Return how many listed upstreams have said that they will end."""
        return len(self._listed.intersection(self._leaving))

    def count_limited(self) -> int:
        """Return the number of upstreams that name a rate limit."""
        return len(self._limits)

    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return whether this VM may send to an upstream, now or soon."""
        limit = self._limits.get(upstream)
        return limit is None or self._get_share(upstream, limit, now_ms) > 0

    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream may be chosen for a request now."""
        if self._get_pause_ms(upstream, now_ms):
            return False
        limit = self._limits.get(upstream)
        if limit is None:
            return True
        share = self._get_share(upstream, limit, now_ms)
        return limit.requests.count(now_ms) < share

    def get_wait_ms(self, upstream: str, now_ms: int) -> int:
        """Return the time until an upstream may be chosen, in ms."""
        pause_ms = self._get_pause_ms(upstream, now_ms)
        limit = self._limits.get(upstream)
        if limit is None:
            return pause_ms
        share = self._get_share(upstream, limit, now_ms)
        if not share:
            return max(WINDOW_MS, pause_ms)
        return max(limit.requests.get_wait_ms(share, now_ms), pause_ms)

    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Count a request for which an upstream was chosen."""
        limit = self._limits.get(upstream)
        if limit is not None:
            limit.requests.record_choice(now_ms)

    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent."""
        if self._get_pause_ms(upstream, now_ms):
            return False
        limit = self._limits.get(upstream)
        if limit is None:
            return True
        share = self._get_share(upstream, limit, now_ms)
        if limit.requests.count_sent(now_ms) >= share:
            return False
        limit.requests.record_send(now_ms)
        if not limit.share.requests:
            limit.probed_ms = now_ms
        return True

    def _get_pause_ms(self, upstream: str, now_ms: int) -> int:
        """Return for how long an upstream wants no requests of this VM."""
        return max(self._paused_until_ms.get(upstream, 0) - now_ms, 0)

    def _get_share(self, upstream: str, limit: _RateLimit, now_ms: int) -> int:
        """Return how many requests this VM may send in a window."""
        shares = self._shares
        if not shares.is_complete:
            return 0
        share = limit.share
        if share.vms is not shares.vms or share.rate_per_s != limit.rate_per_s:
            share = limit.share = _Share(
                shares.vms,
                limit.rate_per_s,
                shares.compute(limit.compute_limit(), upstream),
                shares.rank(upstream),
            )
        if share.requests:
            return share.requests
        return int(self._may_probe(limit, now_ms))

    @staticmethod
    def _may_probe(limit: _RateLimit, now_ms: int) -> bool:
        """Return whether it is this VM's turn to ask a silent upstream."""
        share = limit.share
        turn_ms = SILENCE_MS + share.rank * PROBE_INTERVAL_MS
        round_ms = SILENCE_MS + len(share.vms) * PROBE_INTERVAL_MS
        return now_ms - limit.heard_ms >= turn_ms and (
            limit.probed_ms is None or now_ms - limit.probed_ms >= round_ms
        )


def _evict(by_upstream: dict[str, typing.Any]) -> None:
    """Remove the oldest entries beyond the maximum."""
    while len(by_upstream) > MAX_UPSTREAMS:
        del by_upstream[next(iter(by_upstream))]
