"""Collects what upstreams say of themselves, for all requests of a VM."""

import collections.abc
import logging
import threading

from mulberryway import clock
from mulberryway import logs
from mulberryway import metrics
from mulberryway import tables
from mulberryway.controllers import membership
from mulberryway.peers import gossip_messages
from mulberryway.policy import advisories
from mulberryway.policy import broadcast_queue
from mulberryway.policy import rate_limits
from mulberryway.policy import send_limits

__all__ = ["UpstreamAdvisories"]

LOG = logging.getLogger(__name__)

RATE_LIMIT = "rate_limit"
# News is repeated while a limit lasts, so it need not be kept for long.
NEWS_TTL_MS = 10_000
# Operators should look at an upstream that wants no requests for this long.
LONG_PAUSE_MS = 60_000


class UpstreamAdvisories(send_limits.SendLimits):
    """Locks a register of advisories, logs its changes and tells other VMs.

    :param register: the register
    :param members: sends news to the other VMs and receives theirs
    :param clock_: the source of the current time
    """

    def __init__(
        self,
        register: advisories.AdvisoryRegister,
        members: membership.MembershipController,
        clock_: clock.Clock,
    ) -> None:
        self._register = register
        self._members = members
        self._clock = clock_
        # Called when an upstream says for the first time that it will end.
        self.on_leaving: collections.abc.Callable[[], None] = lambda: None
        self._lock = threading.Lock()
        members.subscribe(RATE_LIMIT, self._apply_news)

    def record(self, upstream: str, advisory: advisories.Advisory) -> None:
        """Apply what a response says.

        :param upstream: the name of its upstream
        :param advisory: what it says
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            change = self._register.record_rate(upstream, advisory, now_ms)
            news = self._register.make_news(upstream, advisory, change, now_ms)
            begins_to_leave = (
                advisory.is_leaving and self._register.record_leaving(upstream)
            )
            begins_a_pause = (
                advisory.pause_ms > 0
                and self._register.pauses.record(
                    upstream, advisory.pause_ms, now_ms
                )
            )
        took_ms = now_ms - advisory.sent_ms
        if change is not None:
            _log_rate(change, took_ms=took_ms)
        if news is not None:
            self._publish(news)
        if begins_a_pause:
            _log_pause(upstream, advisory.pause_ms)
        if begins_to_leave:
            LOG.info(
                "an upstream says that it will end",
                extra=logs.make_extra(upstream=upstream, took_ms=took_ms),
            )
            self.on_leaving()

    def is_leaving(self, upstream: tables.Upstream) -> bool:
        """Return whether an upstream has said that it will end soon.

        :param upstream: the upstream
        """
        with self._lock:
            return self._register.is_leaving(upstream)

    def update_tables(self, changed: tables.Tables) -> None:
        """Forget what previous incarnations of upstreams have said.

        :param changed: the new tables
        """
        with self._lock:
            self._register.update_tables(changed)

    def has_share(self, upstream: str, now_ms: int) -> bool:
        """Return whether this VM may send to an upstream, now or soon."""
        with self._lock:
            return self._register.has_share(upstream, now_ms)

    def has_room(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream may be chosen for a request now."""
        with self._lock:
            return self._register.has_room(upstream, now_ms)

    def get_wait_ms(self, upstream: str, now_ms: int) -> int:
        """Return the time until an upstream may be chosen, in ms."""
        with self._lock:
            return self._register.get_wait_ms(upstream, now_ms)

    def record_choice(self, upstream: str, now_ms: int) -> None:
        """Count a request for which an upstream was chosen."""
        with self._lock:
            self._register.record_choice(upstream, now_ms)

    def try_send(self, upstream: str, now_ms: int) -> bool:
        """Count a request that is about to be sent, if it may be sent."""
        with self._lock:
            return self._register.try_send(upstream, now_ms)

    def report(self, metrics_: metrics.Metrics) -> None:
        """Register metrics of what upstreams say.

        :param metrics_: the process's instruments
        """
        metrics_.register_gauge(
            "upstreams.rate_limited",
            "upstreams that name a rate limit in their responses",
            self._register.rate_limits.count,
        )
        metrics_.register_gauge(
            "upstreams.leaving",
            "upstreams that say in their responses that they will end",
            self._register.count_leaving,
        )
        metrics_.register_gauge(
            "upstreams.paused",
            "upstreams that want no requests of this VM for a while",
            self._count_paused,
        )

    def _count_paused(self) -> int:
        with self._lock:
            return self._register.pauses.count(self._clock.now_ms())

    def _publish(self, news: rate_limits.RateLimitNews) -> None:
        # A key of this VM alone: VMs' clocks differ, and a message replaces
        # an older one of the same key.
        self._members.publish(
            RATE_LIMIT,
            f"{news.upstream}/{self._members.own.name}",
            gossip_messages.encode_rate_limit(news),
            NEWS_TTL_MS,
        )

    def _apply_news(self, hint: broadcast_queue.Hint) -> None:
        news = gossip_messages.decode_rate_limit(hint.payload)
        now_ms = self._clock.now_ms()
        # The message may have been forwarded by several VMs for a while.
        news.age_ms += max(NEWS_TTL_MS - (hint.until_ms - now_ms), 0)
        with self._lock:
            change = self._register.record_news(news, now_ms)
        if change is not None:
            _log_rate(change, age_ms=news.age_ms, source=hint.key)


def _log_rate(change: rate_limits.RateLimitChange, **fields: object) -> None:
    LOG.info(
        "the rate limit of an upstream has changed",
        extra=logs.make_extra(
            upstream=change.upstream,
            rate_per_s=change.rate_per_s,
            previous_per_s=change.previous_per_s,
            **fields,
        ),
    )


def _log_pause(upstream: str, pause_ms: int) -> None:
    LOG.log(
        logging.WARNING if pause_ms >= LONG_PAUSE_MS else logging.INFO,
        "an upstream wants no requests for a while",
        extra=logs.make_extra(upstream=upstream, pause_ms=pause_ms),
    )
