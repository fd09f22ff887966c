"""Reads what an upstream says of itself in response headers."""

import collections.abc
import email.utils
import http
import logging
import math

from mulberryway import clock
from mulberryway import logs
from mulberryway.platform import wire
from mulberryway.policy import advisories

__all__ = ["AdvisoryReader", "Listener", "ignore"]

LOG = logging.getLogger(__name__)

IS_LEAVING = "1"
MS_IN_S = 1_000
MAX_PAUSE_MS = 3_600_000
# A higher limit limits nothing, and sums of it must stay finite.
MAX_RATE_PER_S = 1e9
PAUSE_STATUSES = (
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
)

Headers = collections.abc.Sequence[tuple[str, str]]
# Called with the name of an upstream and with what its response says.
Listener = collections.abc.Callable[[str, advisories.Advisory], None]


def ignore(upstream: str, advisory: advisories.Advisory) -> None:
    """Ignore what a response says.

    :param upstream: the name of its upstream
    :param advisory: what it says
    """


class AdvisoryReader:
    """Passes on what the responses of one upstream say.

    :param upstream: the upstream's name
    :param listener: called for each response of the upstream
    :param clock_: the clock, for dates
    """

    __slots__ = ("_upstream", "_listener", "_clock", "_has_warned")

    def __init__(
        self, upstream: str, listener: Listener, clock_: clock.Clock
    ) -> None:
        self._clock = clock_
        self._upstream = upstream
        self._listener = listener
        self._has_warned = False

    def read(
        self,
        status: int,
        headers: Headers,
        sent_ms: int,
        is_request: bool = True,
    ) -> None:
        """Read a response.

        :param status: its HTTP status
        :param headers: its headers, as pairs of name and value
        :param sent_ms: when its request was sent, in ms
        :param is_request: whether it answers a caller's request and not a
            call of the router itself
        """
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            # Another incarnation has responded.
            return
        values = _list_values(headers, wire.RATE_LIMIT)
        rate_per_s = None
        try:
            rate_per_s = min(map(_parse_rate, values), default=None)
        except ValueError:
            self._warn(wire.RATE_LIMIT, values)
        pause_ms = 0
        if status in PAUSE_STATUSES:
            pause_ms = self._read_pause_ms(headers)
        has_run = http.HTTPStatus.OK <= status < http.HTTPStatus.BAD_REQUEST
        self._listener(
            self._upstream,
            advisories.Advisory(
                sent_ms,
                rate_per_s,
                ends_limit=is_request and has_run and not values,
                is_leaving=IS_LEAVING in _list_values(headers, wire.LEAVING),
                pause_ms=pause_ms,
            ),
        )

    def _read_pause_ms(self, headers: Headers) -> int:
        """Return for how long the upstream wants no requests, in ms."""
        values = _list_values(headers, wire.RETRY_AFTER)
        wall_ms = self._clock.wall_ms()
        try:
            pauses_ms = [_parse_pause_ms(value, wall_ms) for value in values]
        except ValueError:
            self._warn(wire.RETRY_AFTER, values)
            return 0
        return max(pauses_ms, default=0)

    def _warn(self, header: str, values: list[str]) -> None:
        if self._has_warned:
            return
        self._has_warned = True
        LOG.warning(
            "a response header is malformed and ignored",
            extra=logs.make_extra(
                upstream=self._upstream,
                header=header,
                value=", ".join(values)[: wire.MAX_LOGGED_LENGTH],
            ),
        )


def _list_values(headers: Headers, name: str) -> list[str]:
    return [
        value.strip() for key, value in headers if key.lower() == name.lower()
    ]


def _parse_rate(value: str) -> float:
    """Return a rate in requests per second, at most ``MAX_RATE_PER_S``.

    :param value: the header's value
    :raises ValueError: if it is not a finite number of at least 0
    """
    rate = float(value)
    if not 0 <= rate < math.inf:
        raise ValueError("expected a finite number of at least 0")
    return min(rate, MAX_RATE_PER_S)


def _parse_pause_ms(value: str, wall_ms: int) -> int:
    """Return the time of a ``Retry-After`` in ms, at most ``MAX_PAUSE_MS``.

    :param value: the header's value: seconds or a date
    :param wall_ms: the current time of day in ms
    :raises ValueError: if it is neither a date nor a number of at least 0
    """
    try:
        pause_ms = float(value) * MS_IN_S
    except ValueError:
        pause_ms = max(_parse_date_ms(value) - wall_ms, 0.0)
    if not pause_ms >= 0:
        raise ValueError("expected a number of at least 0")
    return int(min(pause_ms, MAX_PAUSE_MS))


def _parse_date_ms(value: str) -> float:
    """Return a date in ms of the wall clock.

    :param value: the date
    :raises ValueError: if it is none, or out of the range of dates
    """
    try:
        date = email.utils.parsedate_to_datetime(value)
        return date.timestamp() * MS_IN_S
    except (OverflowError, OSError) as error:
        raise ValueError("expected a date in range") from error
