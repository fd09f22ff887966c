"""The calls of all VMs to plain servers, as this VM knows them."""

import collections
import itertools
import math

from mulberryway.policy import call_admission
from mulberryway.policy import server_estimates
from mulberryway.policy import server_loads

__all__ = [
    "PEER_TTL_MS",
    "ServerLoadBook",
    "compute_interval_ms",
]

# About the time in which a burst fills a server's queue.
MIN_INTERVAL_MS = 100
# Reports that a VM receives, over all senders.
MAX_REPORTS_PER_S = 200
MS_IN_S = 1_000
# Entries of one report; equal to the limit of ``peers.gossip_messages``.
MAX_LOADS = 64
# A VM whose calls last repeats its counts, or it would seem to have ended.
REPEAT_MS = 1_000
# A VM that is silent for this long has no calls, or none are known.
PEER_TTL_MS = 3_000
# The rate of calls is measured over about this time.
RATE_WINDOW_MS = 250
# Larger counts are errors of the sender.
MAX_COUNT = 1_000_000

ServerKey = tuple[str, str]


def compute_interval_ms(vms: int) -> int:
    """Return the interval between two reports of one VM, in milliseconds.

    :param vms: the number of VMs
    """
    return max(MIN_INTERVAL_MS, vms * MS_IN_S // MAX_REPORTS_PER_S)


class _Rate:
    """An exponentially decaying count."""

    __slots__ = ("_value", "_updated_ms")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = 0

    def add(self, count: float, now_ms: int) -> None:
        self._value = self._decay(now_ms) + count
        self._updated_ms = now_ms

    def get_per_ms(self, now_ms: int) -> float:
        return self._decay(now_ms) / RATE_WINDOW_MS

    def _decay(self, now_ms: int) -> float:
        age_ms = max(now_ms - self._updated_ms, 0)
        return self._value * math.exp(-age_ms / RATE_WINDOW_MS)


class _OwnCalls:
    """This VM's calls to one server since its last report."""

    __slots__ = ("in_flight", "completed", "rejected", "busy_ms", "reported")

    def __init__(self) -> None:
        self.in_flight = 0
        self.completed = 0
        self.rejected = 0
        self.busy_ms = 0
        self.reported = 0

    def has_changed(self) -> bool:
        return bool(
            self.completed or self.rejected or self.in_flight != self.reported
        )

    def take(self, key: ServerKey) -> server_loads.ServerLoad:
        load = server_loads.ServerLoad(
            *key, self.in_flight, self.completed, self.rejected, self.busy_ms
        )
        self.reported = self.in_flight
        self.completed = self.rejected = self.busy_ms = 0
        return load


class _Peer:
    """Another VM's last counts, each with the time of its arrival."""

    __slots__ = ("incarnation", "sequence", "heard_ms", "in_flight")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.heard_ms = 0
        self.in_flight: dict[ServerKey, tuple[int, int]] = {}


class ServerLoadBook:
    """Counts calls by server; not thread-safe.

    :param vm: this VM's name
    :param incarnation: its incarnation
    """

    __slots__ = (
        "interval_ms",
        "ignored",
        "refused",
        "_vm",
        "_incarnation",
        "_sequences",
        "_own",
        "_unreported",
        "_peers",
        "_estimates",
        "_rates",
        "_reported_ms",
        "_heard_ms",
        "_totals",
        "_totals_ms",
    )

    def __init__(self, vm: str, incarnation: int) -> None:
        self.interval_ms = MIN_INTERVAL_MS
        # Reports that were late, duplicate or malformed.
        self.ignored = 0
        self._vm = vm
        self._incarnation = incarnation
        self._sequences = itertools.count(1)
        self._own: dict[ServerKey, _OwnCalls] = {}
        # Calls of this VM that were refused early, by pool and rank.
        self.refused: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._unreported: collections.Counter[str] = collections.Counter()
        self._peers: dict[str, _Peer] = {}
        self._estimates: dict[ServerKey, server_estimates.ServerEstimate] = {}
        self._rates: dict[str, tuple[_Rate, _Rate]] = {}
        self._reported_ms = 0
        self._heard_ms: int | None = None
        self._totals: dict[ServerKey, float] = {}
        self._totals_ms: int | None = None

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs, on which the interval depends.

        :param count: the number of VMs, including this one
        """
        self.interval_ms = compute_interval_ms(count)

    def get_estimate(
        self, pool: str, server: str, slots: int = 0
    ) -> server_estimates.ServerEstimate:
        """Return the estimate of a server.

        :param pool: the pool's name
        :param server: the server's name
        :param slots: calls that it runs at once; 0 if unknown
        """
        key = pool, server
        if key not in self._estimates:
            self._estimates[key] = server_estimates.ServerEstimate(slots)
        estimate = self._estimates[key]
        estimate.slots = slots or estimate.slots
        return estimate

    def begin(self, pool: str, server: str, now_ms: int) -> None:
        """Count a call that is sent to a server.

        :param pool: the pool's name
        :param server: the server's name
        :param now_ms: current time in milliseconds
        """
        self._find_own(pool, server).in_flight += 1
        self._find_rates(pool)[0].add(1, now_ms)

    def finish(
        self,
        pool: str,
        server: str,
        took_ms: int | None,
        is_rejected: bool,
        now_ms: int,
    ) -> None:
        """Record the end of a call.

        :param pool: the pool's name
        :param server: the server's name
        :param took_ms: its duration in milliseconds; none if it says nothing
            of the server's speed
        :param is_rejected: whether the server turned it away
        :param now_ms: current time in milliseconds
        """
        own = self._find_own(pool, server)
        own.in_flight = max(own.in_flight - 1, 0)
        if is_rejected:
            own.rejected += 1
            self.get_estimate(pool, server).record_rejections(now_ms)
        elif took_ms is not None:
            own.completed += 1
            own.busy_ms += took_ms
            self.get_estimate(pool, server).record_calls(1, took_ms, now_ms)

    def record_refusal(self, pool: str, rank: int, now_ms: int) -> None:
        """Count a call that this VM refused.

        :param pool: the pool's name
        :param rank: the call's rank
        :param now_ms: current time in milliseconds
        """
        self.refused[pool, rank] += 1
        self._unreported[pool] += 1
        self._find_rates(pool)[1].add(1, now_ms)

    def make_report(self, now_ms: int) -> server_loads.ServerLoadReport | None:
        """Return what the other VMs should know, or none if nothing changed.

        :param now_ms: current time in milliseconds
        """
        self._forget_silent(now_ms)
        is_repeat = now_ms - self._reported_ms >= REPEAT_MS
        # An entry without a server tells the calls that this VM refused.
        loads = [
            server_loads.ServerLoad(pool, "", 0, 0, count)
            for pool, count in self._unreported.items()
        ]
        self._unreported.clear()
        changed = (
            (key, own)
            for key, own in self._own.items()
            if own.has_changed() or (is_repeat and own.in_flight)
        )
        loads += [
            own.take(key)
            for key, own in itertools.islice(changed, MAX_LOADS - len(loads))
        ]
        if not loads:
            return None
        self._reported_ms = now_ms
        return server_loads.ServerLoadReport(
            self._vm, self._incarnation, next(self._sequences), loads
        )

    def record_report(
        self, report: server_loads.ServerLoadReport, now_ms: int
    ) -> bool:
        """Apply another VM's report.

        :param report: the report
        :param now_ms: current time in milliseconds
        :returns: false if it is malformed; late ones are ignored silently
        """
        if not all(map(_is_valid, report.loads)):
            self.ignored += 1
            return False
        peer = self._peers.get(report.vm)
        if report.vm == self._vm or (
            peer is not None
            and (report.incarnation, report.sequence)
            <= (peer.incarnation, peer.sequence)
        ):
            self.ignored += 1
            return True
        if peer is None or peer.incarnation != report.incarnation:
            peer = self._peers[report.vm] = _Peer(report.incarnation)
        peer.sequence, peer.heard_ms = report.sequence, now_ms
        self._heard_ms = now_ms
        for load in report.loads:
            self._record_load(peer, load, now_ms)
        return True

    def count_in_flight(self, pool: str, server: str, now_ms: int) -> float:
        """Return the calls that a server has from all VMs.

        :param pool: the pool's name
        :param server: the server's name
        :param now_ms: current time in milliseconds
        """
        own = self._own.get((pool, server))
        others = self._count_peers(now_ms).get((pool, server), 0.0)
        return others + (own.in_flight if own else 0)

    def list_servers(
        self,
    ) -> list[tuple[str, str, server_estimates.ServerEstimate]]:
        """Return the pool, the name and the estimate of each server."""
        return [(*key, estimate) for key, estimate in self._estimates.items()]

    def get_traffic(self, pool: str, now_ms: int) -> call_admission.Traffic:
        """Return the calls of all VMs to a pool.

        :param pool: the pool's name
        :param now_ms: current time in milliseconds
        """
        sent, refused = self._find_rates(pool)
        sent_per_ms = sent.get_per_ms(now_ms)
        return call_admission.Traffic(
            sent_per_ms + refused.get_per_ms(now_ms),
            sent_per_ms,
            self.interval_ms,
        )

    def get_news_age_ms(self, now_ms: int) -> int | None:
        """Return the time since the last report of another VM.

        :param now_ms: current time in milliseconds
        :returns: the time in milliseconds; none before the first report and
            once it is forgotten
        """
        if self._heard_ms is None or now_ms - self._heard_ms > PEER_TTL_MS:
            return None
        return max(now_ms - self._heard_ms, 0)

    def retain(self, pool: str, servers: set[str]) -> None:
        """Forget servers of a pool that are not registered any more.

        :param pool: the pool's name
        :param servers: names of its registered servers
        """
        for key in [
            key
            for key, own in self._own.items()
            if key[0] == pool and key[1] not in servers and not own.in_flight
        ]:
            del self._own[key]
        for by_key in (
            self._estimates,
            *(peer.in_flight for peer in self._peers.values()),
        ):
            for key in list(by_key):
                if key[0] == pool and key[1] not in servers:
                    del by_key[key]

    def _forget_silent(self, now_ms: int) -> None:
        self._peers = {
            vm: peer
            for vm, peer in self._peers.items()
            if now_ms - peer.heard_ms <= PEER_TTL_MS
        }

    def _record_load(
        self, peer: _Peer, load: server_loads.ServerLoad, now_ms: int
    ) -> None:
        key = load.pool, load.server
        sent, refused = self._find_rates(load.pool)
        if not load.server:
            refused.add(load.rejected, now_ms)
            return
        before, _ = peer.in_flight.get(key, (0, 0))
        started = load.in_flight - before + load.completed + load.rejected
        sent.add(max(started, 0), now_ms)
        peer.in_flight[key] = load.in_flight, now_ms
        if key in self._totals:
            self._totals[key] += load.in_flight - before
        estimate = self.get_estimate(*key)
        if load.completed:
            estimate.record_calls(load.completed, load.busy_ms, now_ms)
        if load.rejected:
            estimate.record_rejections(now_ms)

    def _count_peers(self, now_ms: int) -> dict[ServerKey, float]:
        """Return the other VMs' calls by server; summed once an interval."""
        if self._totals_ms is not None and (
            0 <= now_ms - self._totals_ms < MIN_INTERVAL_MS
        ):
            return self._totals
        self._totals_ms = now_ms
        self._totals = {}
        for peer in self._peers.values():
            for key, (in_flight, heard_ms) in peer.in_flight.items():
                self._totals[key] = self._totals.get(
                    key, 0.0
                ) + in_flight * self._weigh(key, now_ms - heard_ms)
        return self._totals

    def _weigh(self, key: ServerKey, age_ms: int) -> float:
        """Return the part of calls that have probably not ended.

        A VM tells each change within an interval, so a count that is older is
        that of a VM whose report was lost, or of long calls.
        """
        estimate = self._estimates.get(key)
        service_ms = estimate.service_ms if estimate else 0.0
        fading_ms = max(service_ms, float(self.interval_ms))
        over_ms = age_ms - 2 * self.interval_ms
        return min(max(1.0 - over_ms / fading_ms, 0.0), 1.0)

    def _find_own(self, pool: str, server: str) -> _OwnCalls:
        return self._own.setdefault((pool, server), _OwnCalls())

    def _find_rates(self, pool: str) -> tuple[_Rate, _Rate]:
        """Return the rates of the calls sent and of those refused."""
        return self._rates.setdefault(pool, (_Rate(), _Rate()))


def _is_valid(load: server_loads.ServerLoad) -> bool:
    counts = load.in_flight, load.completed, load.rejected, load.busy_ms
    return bool(load.pool) and all(
        type(count) is int and 0 <= count <= MAX_COUNT for count in counts
    )
