"""Spreads the calls of many VMs over servers by expected completion."""

import collections.abc
import itertools
import math

__all__ = ["ServerState", "choose", "compute_queue", "compute_shares"]

# Calls that arrive at random wait for one another above this utilisation.
MAX_UTILISATION = 0.7
# Completions that differ by less are the same: the distance between zones.
LEVEL_MS = 2.0
# Part of a queue's difference that is corrected within one horizon. The news
# of the effect arrives later, so more would overshoot.
CORRECTION = 0.5
# Service times that differ by less are the same, for they are learnt from
# calls of varying length.
SERVICE_TOLERANCE = 1.25


class ServerState:
    """What a VM expects of one server.

    :param name: the server's name
    :param in_flight: calls of all VMs that it has
    :param concurrency: calls that it runs at once
    :param service_ms: duration of a call that does not wait, in milliseconds
    :param extra_ms: what makes the server less attractive beside its queue:
        distance and failures, in milliseconds
    """

    __slots__ = (
        "name",
        "in_flight",
        "concurrency",
        "service_ms",
        "extra_ms",
    )

    def __init__(
        self,
        name: str,
        in_flight: float,
        concurrency: float,
        service_ms: float,
        extra_ms: float = 0.0,
    ) -> None:
        self.name = name
        self.in_flight = in_flight
        self.concurrency = concurrency
        self.service_ms = service_ms
        self.extra_ms = extra_ms

    @property
    def free(self) -> float:
        """Calls that it can run at once beyond those that it has."""
        return self.concurrency - self.in_flight

    @property
    def calls_per_ms(self) -> float:
        """Calls that it finishes in a millisecond while it is busy."""
        return self.concurrency / self.service_ms

    @property
    def wait_ms(self) -> float:
        """Expected time until it has answered another call."""
        queue = compute_queue(self.in_flight + 1, self.concurrency)
        return self.service_ms + queue / self.calls_per_ms


def compute_queue(in_flight: float, concurrency: float) -> float:
    """Return the expected number of calls that wait at a server.

    The number of calls is an estimate, which deviates like a Poisson variable.

    :param in_flight: the estimated number of calls
    :param concurrency: calls that it runs at once
    """
    excess = in_flight - concurrency
    deviation = math.sqrt(max(in_flight, 1.0))
    ratio = excess / deviation
    density = math.exp(-ratio * ratio / 2.0) / math.sqrt(2.0 * math.pi)
    below = (1.0 + math.erf(ratio / math.sqrt(2.0))) / 2.0
    return max(excess * below + deviation * density, 0.0)


class _Basin:
    """A server as a basin that fills with calls.

    Up to ``step`` calls leave its completion at ``level_ms``, because it
    finishes them meanwhile; each further one raises it.
    """

    __slots__ = ("name", "level_ms", "step", "calls_per_ms")

    def __init__(
        self, server: ServerState, horizon_ms: float, fastest_ms: float
    ) -> None:
        ended = server.calls_per_ms * horizon_ms * MAX_UTILISATION
        in_flight = max(server.in_flight + 1 - ended, 0.0)
        queue = compute_queue(in_flight, server.concurrency)
        service_ms = server.service_ms
        if service_ms < SERVICE_TOLERANCE * fastest_ms:
            service_ms = fastest_ms
        start_ms = service_ms + server.extra_ms + queue / server.calls_per_ms
        self.name = server.name
        self.level_ms = LEVEL_MS * round(start_ms / LEVEL_MS)
        self.step = max(ended + CORRECTION * min(server.free, 0.0), 0.0)
        self.calls_per_ms = server.calls_per_ms


def compute_shares(
    servers: collections.abc.Sequence[ServerState],
    calls: float,
    horizon_ms: float,
) -> dict[str, float]:
    """Return each server's part of the calls that will soon be made.

    The parts make the servers' expected completions equal.  The calls are
    poured into the servers as water into basins, the lowest first.

    :param servers: the servers; not empty
    :param calls: calls that all VMs will make within the horizon
    :param horizon_ms: time until the VMs know more, in milliseconds
    :returns: parts by name, whose sum is 1
    """
    fastest_ms = min(server.service_ms for server in servers)
    basins = sorted(
        (_Basin(server, horizon_ms, fastest_ms) for server in servers),
        key=lambda basin: basin.level_ms,
    )
    filled: dict[str, float] = {}
    open_: list[_Basin] = []
    left = max(calls, 1.0)
    level_ms = basins[0].level_ms
    for next_ms, group in itertools.groupby(
        basins, key=lambda basin: basin.level_ms
    ):
        rate = sum(basin.calls_per_ms for basin in open_)
        raised_ms = min(next_ms - level_ms, left / rate) if rate else 0.0
        _raise(filled, open_, raised_ms)
        left -= raised_ms * rate
        if left <= 0.0 or (rate and raised_ms < next_ms - level_ms):
            return _normalise(filled)
        level_ms = next_ms
        entered = list(group)
        step = sum(basin.step for basin in entered)
        part = min(left / step, 1.0) if step else 0.0
        for basin in entered:
            filled[basin.name] = part * basin.step
        left -= part * step
        if left <= 0.0:
            return _normalise(filled)
        open_ += entered
    rate = sum(basin.calls_per_ms for basin in open_)
    _raise(filled, open_, left / rate)
    return _normalise(filled)


def choose(shares: dict[str, float], draw: float) -> str:
    """Return the server that a random number falls on.

    :param shares: parts by name
    :param draw: a random number, at least 0 and below 1
    """
    for name, part in shares.items():
        draw -= part
        if draw < 0.0:
            return name
    # The parts may add up to slightly less than 1.
    return next(reversed(shares))


def _raise(
    filled: dict[str, float], basins: list[_Basin], by_ms: float
) -> None:
    for basin in basins:
        filled[basin.name] += by_ms * basin.calls_per_ms


def _normalise(filled: dict[str, float]) -> dict[str, float]:
    total = sum(filled.values())
    return {name: part / total for name, part in filled.items()}
