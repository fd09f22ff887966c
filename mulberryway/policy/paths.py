"""This VM's network paths to upstreams, by its own connects; without I/O.

A failed connect says nothing about where the fault is: the upstream may be
down, or only the path from this VM may be cut.  So a failure makes the path
suspect, and the VM probes the path itself until a connect succeeds.
"""

import collections.abc
import random

__all__ = ["PathTable"]

# With this many paths lost since the last successful connect, the VM considers
# itself cut off from all upstreams.
MIN_LOST_PATHS = 2
# Interval of the probes of one suspect path, which doubles up to the maximum.
MIN_PROBE_INTERVAL_MS = 200
MAX_PROBE_INTERVAL_MS = 1_000
# Bounds the rate of a VM's probes, whatever the number of upstreams.
PROBE_GAP_MS = 50
# Spreads the probes of VMs that were cut off together.
JITTER = 0.25


class _Path:
    """The path to one upstream.

    ``lost_ms`` is when connects began to fail, or None.  An inferred loss was
    not observed on this path: the VM seems cut off from all upstreams.
    """

    __slots__ = (
        "lost_ms",
        "is_inferred",
        "probe_ms",
        "probe_interval_ms",
        "epoch",
    )

    def __init__(self) -> None:
        self.lost_ms: int | None = None
        self.is_inferred = False
        self.probe_ms: int | None = None
        self.probe_interval_ms = MIN_PROBE_INTERVAL_MS
        self.epoch = 0

    def lose(self, is_inferred: bool, now_ms: int) -> None:
        if self.lost_ms is None:
            self.lost_ms = now_ms
            self.epoch += 1
            self.probe_interval_ms = MIN_PROBE_INTERVAL_MS
            self.is_inferred = is_inferred
        self.is_inferred = self.is_inferred and is_inferred

    def schedule_probe(self, now_ms: int, random_: random.Random) -> None:
        factor = 1.0 + JITTER * random_.random()
        self.probe_ms = now_ms + int(self.probe_interval_ms * factor)
        self.probe_interval_ms = min(
            self.probe_interval_ms * 2, MAX_PROBE_INTERVAL_MS
        )

    def hasten_probe(self, now_ms: int) -> None:
        self.probe_ms = now_ms
        self.probe_interval_ms = MIN_PROBE_INTERVAL_MS

    def restore(self) -> None:
        if self.lost_ms is not None:
            self.epoch += 1
        self.lost_ms = None
        self.is_inferred = False
        self.probe_ms = None


class PathTable:
    """The paths to all upstreams of the tables; not thread-safe.

    :param random_: source of the probes' jitter
    """

    def __init__(self, random_: random.Random) -> None:
        self._random = random_
        self._paths: dict[str, _Path] = {}
        # The paths that are lost or have a probe due, of thousands.
        self._watched: dict[str, _Path] = {}
        self._reached_ms: int | None = None
        self._probed_ms: int | None = None
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM seems to reach no upstream."""
        return self._is_cut_off

    def retain(
        self, addresses: collections.abc.Iterable[str], now_ms: int
    ) -> None:
        """Replace the set of known upstreams.

        :param addresses: their addresses, ``host:port``
        :param now_ms: current time in ms
        """
        self._paths = {
            address: self._paths.get(address) or _Path()
            for address in addresses
        }
        self._watched = {
            address: path
            for address, path in self._watched.items()
            if address in self._paths
        }
        if self._is_cut_off:
            self._infer_losses(now_ms)
        self._update_cut_off(now_ms)

    def is_suspect(self, address: str) -> bool:
        """Return whether connects to an upstream would probably fail.

        :param address: ``host:port``; unknown ones are not suspect
        """
        path = self._watched.get(address)
        return path is not None and path.lost_ms is not None

    def has_failed(self, address: str) -> bool:
        """Return whether a connect to an upstream has failed.

        False if its path is suspect only because those of others were lost.

        :param address: ``host:port``
        """
        path = self._watched.get(address)
        return (
            path is not None
            and path.lost_ms is not None
            and not path.is_inferred
        )

    def get_epoch(self, address: str) -> int:
        """Return a number that changes when the path is lost or restored.

        :param address: ``host:port``
        """
        path = self._paths.get(address)
        return 0 if path is None else path.epoch

    def list_suspect(self) -> list[str]:
        """Return the upstreams to which connects have failed."""
        return sorted(filter(self.has_failed, self._watched))

    def has_reached_since(self, since_ms: int) -> bool:
        """Return whether a connect to any upstream succeeded.

        :param since_ms: the time from which on successes count, in ms
        """
        return self._reached_ms is not None and self._reached_ms >= since_ms

    def record_success(self, address: str, now_ms: int) -> None:
        """Record that a connect succeeded.

        :param address: ``host:port``
        :param now_ms: current time in ms
        """
        self._reached_ms = now_ms
        self._restore(address)
        self._update_cut_off(now_ms)

    def record_failure(self, address: str, now_ms: int) -> None:
        """Record that a connect failed or timed out.

        :param address: ``host:port``
        :param now_ms: current time in ms
        """
        path = self._paths.get(address)
        if path is None:
            return
        self._lose(address, path, False, now_ms)
        self._update_cut_off(now_ms)

    def record_upstream_down(self, address: str, now_ms: int) -> None:
        """Record that a VM which reaches others cannot reach an upstream.

        :param address: ``host:port``
        :param now_ms: current time in ms
        """
        self._restore(address)
        self._update_cut_off(now_ms)

    def request_probe(self, address: str, now_ms: int) -> None:
        """Probe a path soon, because a call on an open connection failed.

        :param address: ``host:port``
        :param now_ms: current time in ms
        """
        path = self._paths.get(address)
        if path is not None and path.probe_ms is None:
            path.probe_ms = now_ms
            self._watched[address] = path

    def choose_probe(self, now_ms: int) -> str | None:
        """Return the upstream to probe now.

        The outcome has to be recorded; the next probe depends on it.

        :param now_ms: current time in ms
        :returns: ``host:port``, or None if no probe is due
        """
        due_ms = self.get_probe_ms()
        if due_ms is None or due_ms > now_ms:
            return None
        _, address = min(self._list_probes())
        self._probed_ms = now_ms
        self._paths[address].probe_ms = None
        return address

    def get_probe_ms(self) -> int | None:
        """Return when the next probe is due, in ms; None if none is."""
        due_ms, _ = min(self._list_probes(), default=(None, ""))
        if due_ms is None or self._probed_ms is None:
            return due_ms
        return max(due_ms, self._probed_ms + PROBE_GAP_MS)

    def _list_probes(self) -> list[tuple[int, str]]:
        return [
            (path.probe_ms, address)
            for address, path in self._watched.items()
            if path.probe_ms is not None
        ]

    def _lose(
        self, address: str, path: _Path, is_inferred: bool, now_ms: int
    ) -> None:
        path.lose(is_inferred, now_ms)
        path.schedule_probe(now_ms, self._random)
        self._watched[address] = path

    def _restore(self, address: str) -> None:
        path = self._watched.pop(address, None)
        if path is not None:
            path.restore()

    def _update_cut_off(self, now_ms: int) -> None:
        was_cut_off = self._is_cut_off
        self._is_cut_off = self._count_lost() >= MIN_LOST_PATHS
        if self._is_cut_off and not was_cut_off:
            self._infer_losses(now_ms)
        elif was_cut_off and not self._is_cut_off:
            self._end_inferred_losses(now_ms)

    def _infer_losses(self, now_ms: int) -> None:
        inferred = [
            path for path in self._paths.values() if path.lost_ms is None
        ]
        for address, path in self._paths.items():
            if path.lost_ms is None:
                self._lose(address, path, True, now_ms)
        if inferred:
            # Several upstreams may have crashed while no path is cut, which a
            # connect to any other one shows.
            self._random.choice(inferred).hasten_probe(now_ms)

    def _end_inferred_losses(self, now_ms: int) -> None:
        for address, path in list(self._watched.items()):
            if path.is_inferred:
                self._restore(address)
            elif path.lost_ms is not None:
                path.hasten_probe(now_ms)

    def _count_lost(self) -> int:
        """Return how many paths were lost since the last success."""
        return sum(
            path.lost_ms is not None
            and not path.is_inferred
            and (self._reached_ms is None or path.lost_ms > self._reached_ms)
            for path in self._watched.values()
        )
