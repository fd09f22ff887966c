"""Probes ejected engines; one VM probes each engine for the fleet.

A VM also probes engines that ran a suspect for it, if nothing else shows that
they have survived it.
"""

import collections.abc
import concurrent.futures
import logging

from mulberryway import clock
from mulberryway import logs
from mulberryway import tables
from mulberryway.controllers import base
from mulberryway.controllers import membership
from mulberryway.controllers import scheduling
from mulberryway.policy import pool_subsets
from mulberryway.policy import probes
from mulberryway.upstreams import directory

__all__ = ["ProbingController"]

LOG = logging.getLogger(__name__)

# Period while at least one engine is ejected, and while none is.
PERIOD_MS = 100
IDLE_MS = 1_000
# An unresponsive engine must not delay the probes of others.
WORKERS = 2
MAX_PROBES_PER_STEP = 16


class ProbingController(base.Controller):
    """Probes ejected engines with their cheapest call, the load report.

    Without probes every VM would have to send a request to find out that an
    engine is still down.

    :param scheduling_: lists the ejected engines and gets probes' results
    :param members: lists the VMs
    :param source: the active tables
    :param directory_: finds engines
    :param clock_: the clock
    :param list_reaching: selects the VMs that reach upstreams
    """

    def __init__(
        self,
        scheduling_: scheduling.SchedulingController,
        members: membership.MembershipController,
        source: tables.TableSource,
        directory_: directory.UpstreamDirectory,
        clock_: clock.Clock,
        list_reaching: collections.abc.Callable[
            [tuple[str, ...]], tuple[str, ...]
        ] = lambda vms: vms,
    ) -> None:
        super().__init__("probing", clock_, IDLE_MS)
        self._list_reaching = list_reaching
        self._scheduling = scheduling_
        self._members = members
        self._source = source
        self._directory = directory_
        self._ejected: frozenset[tuple[str, str]] = frozenset()
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, "probing"
        )

    def step(self) -> None:
        """Probe the engines that are due and assigned to this VM."""
        ejected = self._scheduling.list_ejected()
        unconfirmed = self._scheduling.list_unconfirmed()
        self.period_ms = PERIOD_MS if ejected or unconfirmed else IDLE_MS
        self._log_changes(ejected)
        own = self._members.own.name
        vms = self._list_reaching(self._members.list_alive())
        due = [
            candidate
            for candidate in ejected
            if candidate.is_due
            and pool_subsets.choose_load_poller(candidate.upstream, vms) == own
        ]
        list(self._workers.map(self._probe, due[:MAX_PROBES_PER_STEP]))
        confirmed = unconfirmed[:MAX_PROBES_PER_STEP]
        list(self._workers.map(self._confirm, confirmed))

    def stop(self, wait_ms: int = 2_000) -> None:
        """Stop the thread and its worker threads.

        :param wait_ms: maximum wait for the current step, in milliseconds
        """
        super().stop(wait_ms)
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _log_changes(self, ejected: list[probes.EjectedUpstream]) -> None:
        names = frozenset(
            (candidate.pool, candidate.upstream) for candidate in ejected
        )
        if names == self._ejected:
            return
        LOG.info(
            "other engines are ejected now",
            extra=logs.make_extra(
                added=sorted(map("/".join, names - self._ejected)),
                ended=sorted(map("/".join, self._ejected - names)),
                count=len(names),
                reported_by=sorted(
                    {candidate.reported_by for candidate in ejected} - {""}
                ),
            ),
        )
        self._ejected = names

    def _confirm(self, names: tuple[str, str]) -> None:
        """Ask an engine for a sign of life.

        :param names: the pool's and the engine's name
        """
        engine = directory.find_engine_by_name(
            self._source.get_tables(), self._directory, *names
        )
        if engine is not None and engine.report_load().is_ok():
            self._scheduling.record_alive(*names)

    def _probe(self, ejected: probes.EjectedUpstream) -> None:
        engine = directory.find_engine_by_name(
            self._source.get_tables(),
            self._directory,
            ejected.pool,
            ejected.upstream,
        )
        if engine is None:
            return
        answer = engine.report_load()
        LOG.info(
            "an ejected engine was probed",
            extra=logs.make_extra(
                answer.error if answer.is_error() else None,
                pool=ejected.pool,
                upstream=ejected.upstream,
                has_passed=answer.is_ok(),
            ),
        )
        self._scheduling.record_probe(
            ejected.pool, ejected.upstream, answer.is_ok()
        )
