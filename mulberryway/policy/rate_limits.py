"""Rate limits that upstreams name, over all VMs; without I/O.

An upstream may name the rate of requests that it accepts from all VMs
together.  Each VM has a fixed share of it, as of the limits of cold upstreams.
VMs without a share get no responses of the upstream, so each VM tells the
others what it has heard.
"""

from mulberryway.policy import cold_start
from mulberryway.policy import request_window
from mulberryway.policy import send_limits

__all__ = ["RateLimitChange", "RateLimitNews", "RateLimits"]

WINDOW_MS = 4_000
MS_IN_S = 1_000
# VMs that hear a limit again tell the others at this interval, all together.
NEWS_INTERVAL_MS = 2_000
# If no VM has heard an upstream for this long, VMs without a share send it a
# request one after another, because its limit may have ended.  The interval
# keeps them within the limit even if they do not hear of each other's.
SILENCE_MS = 5_000
PROBE_INTERVAL_MS = 1_000


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


class RateLimits(send_limits.SendLimits):
    """The rate limits that upstreams name; not thread-safe.

    Responses may overtake one another.  One whose request was sent before the
    last advisory arrived may be older, so it can tighten a limit but neither
    raise nor end it.

    :param shares: this VM's share of each limit
    """

    __slots__ = ("_shares", "_limits")

    def __init__(self, shares: cold_start.FleetShares) -> None:
        self._shares = shares
        # By the name of the upstream, the oldest first.
        self._limits: dict[str, _RateLimit] = {}

    def record(
        self,
        upstream: str,
        rate_per_s: float | None,
        sent_ms: int,
        now_ms: int,
    ) -> RateLimitChange | None:
        """Apply the rate limit that a response names, or its absence.

        :param upstream: the name of its upstream
        :param rate_per_s: requests per second; none for no limit
        :param sent_ms: when the response's request was sent, in ms
        :param now_ms: current time in ms
        :returns: the change of the limit, if any
        """
        limit = self._limits.get(upstream)
        if limit is None:
            if rate_per_s is None:
                return None
            self._limits[upstream] = _RateLimit(rate_per_s, now_ms)
            send_limits.evict_oldest(self._limits)
            return RateLimitChange(upstream, None, rate_per_s)
        is_newer = sent_ms >= limit.heard_ms
        previous = limit.rate_per_s
        if rate_per_s is None:
            if not is_newer:
                return None
            del self._limits[upstream]
            return RateLimitChange(upstream, previous, None)
        if not is_newer and rate_per_s > previous:
            return None
        limit.rate_per_s = rate_per_s
        limit.heard_ms = now_ms
        if rate_per_s == previous:
            return None
        return RateLimitChange(upstream, previous, rate_per_s)

    def is_news(self, upstream: str, rate_per_s: float, now_ms: int) -> bool:
        """Return whether other VMs should hear again of an unchanged limit.

        :param upstream: the upstream's name
        :param rate_per_s: the rate that it has just named
        :param now_ms: current time in ms
        """
        limit = self._limits.get(upstream)
        if limit is None or rate_per_s != limit.rate_per_s:
            return False
        told_ms = limit.told_ms
        return told_ms is None or now_ms - told_ms >= NEWS_INTERVAL_MS

    def mark_told(self, upstream: str, now_ms: int) -> None:
        """Record that all VMs hear of an upstream's limit now.

        :param upstream: the upstream's name
        :param now_ms: current time in ms
        """
        limit = self._limits.get(upstream)
        if limit is not None:
            limit.told_ms = now_ms

    def forget(self, upstream: str) -> None:
        """Forget the limit of an upstream's previous incarnation.

        :param upstream: its name
        """
        self._limits.pop(upstream, None)

    def count(self) -> int:
        """Return the number of upstreams that name a limit."""
        return len(self._limits)

    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return whether this VM may send to an upstream, now or soon."""
        limit = self._limits.get(upstream)
        return limit is None or self._get_share(upstream, limit, now_ms) > 0

    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream may be chosen for a request now."""
        limit = self._limits.get(upstream)
        if limit is None:
            return True
        share = self._get_share(upstream, limit, now_ms)
        return limit.requests.count(now_ms) < share

    def get_wait_ms(self, upstream: str, now_ms: int) -> int:
        """Return the time until an upstream may be chosen, in ms."""
        limit = self._limits.get(upstream)
        if limit is None:
            return 0
        share = self._get_share(upstream, limit, now_ms)
        if not share:
            return WINDOW_MS
        return limit.requests.get_wait_ms(share, now_ms)

    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Count a request for which an upstream was chosen."""
        limit = self._limits.get(upstream)
        if limit is not None:
            limit.requests.record_choice(now_ms)

    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent."""
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
