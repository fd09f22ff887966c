"""Fetches newer mirror snapshots from other VMs."""

import collections.abc
import logging
import threading

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import peers
from mulberryway.controllers import base
from mulberryway.controllers import mirrors
from mulberryway.peers.gen.mirrors import Mirrors
from mulberryway.policy import mirror_summary

__all__ = ["MirrorSyncController"]

LOG = logging.getLogger(__name__)

PERIOD_MS = 1_000
# A VM rejects its callers until it has a mirror of each kind.
INITIAL_SYNC_PERIOD_MS = 250
# A VM that learns of a newer revision gives its own watch this long to deliver
# it before it asks the other VM.
FETCH_DELAY_MS = 60


class _Offer:
    """A mirror of another VM that has what this VM's lacks.

    :param summary: its state
    :param address: ``host:port`` of the VM's peer server
    """

    __slots__ = ("summary", "address")

    def __init__(
        self, summary: mirror_summary.MirrorSummary, address: str
    ) -> None:
        self.summary = summary
        self.address = address


class MirrorSyncController(base.Controller):
    """Fetches mirrors from other VMs that are newer than this VM's.

    Without it, a VM that the store rejects would use old tables, and a VM
    that starts while the store is unreachable would serve no requests,
    although other VMs have newer objects.

    :param controllers_: the mirrors' controllers by kind
    :param client: calls other VMs
    :param clock_: the clock
    :param list_addresses: returns the ``host:port`` of the other VMs' peer
        servers
    """

    def __init__(
        self,
        controllers_: collections.abc.Mapping[str, mirrors.MirrorController],
        client: peers.PeerClient,
        clock_: clock.Clock,
        list_addresses: collections.abc.Callable[[], list[str]],
    ) -> None:
        super().__init__("mirror-exchange", clock_, INITIAL_SYNC_PERIOD_MS)
        self._controllers = controllers_
        self._client = client
        self._list_addresses = list_addresses
        self._request_count = 0
        self._lock = threading.Lock()
        self._newer: dict[str, _Offer] = {}
        # Era and digests of what was fetched from other VMs, by kind.
        self._fetched: dict[str, tuple[int, set[int]]] = {}

    def record_peer_mirrors(
        self,
        address: str,
        summaries: collections.abc.Mapping[str, mirror_summary.MirrorSummary],
    ) -> None:
        """Record the state of another VM's mirrors.

        :param address: ``host:port`` of its peer server
        :param summaries: the states by kind
        """
        newer = {
            kind: _Offer(summary, address)
            for kind, summary in summaries.items()
            if kind in self._controllers and self._is_news(kind, summary)
        }
        if not newer:
            return
        with self._lock:
            for kind, offer in newer.items():
                known = self._newer.get(kind)
                # Of two VMs with the same position the later one is used,
                # because the other may have left the fleet.
                if (
                    known is None
                    or offer.summary.changed >= known.summary.changed
                ):
                    self._newer[kind] = offer
        self.wake()

    def step(self) -> None:
        """Fetch newer mirrors that the watch has not delivered meanwhile."""
        self._sync_initial()
        with self._lock:
            newer, self._newer = self._newer, {}
        if not newer:
            return
        self.clock.sleep_ms(FETCH_DELAY_MS)
        for kind, offer in newer.items():
            if not self._is_news(kind, offer.summary):
                continue
            fault = self._fetch(kind, offer.address)
            if fault is None:
                self._record_fetched(kind, offer.summary)
                continue
            self._log_failure(kind, fault)
            with self._lock:
                self._newer.setdefault(kind, offer)

    def _is_news(
        self, kind: str, summary: mirror_summary.MirrorSummary
    ) -> bool:
        """Return whether another VM's mirror has what this VM's lacks."""
        controller = self._controllers[kind]
        if summary.changed > controller.known_position:
            return True
        own = controller.summary
        if summary.changed.era != own.changed.era:
            return False
        era, digests = self._fetched.get(kind, (0, set()))
        # What could not be used before is not fetched again.
        was_fetched = era == own.changed.era and summary.carried in digests
        return summary.carried not in (0, own.carried) and not was_fetched

    def _record_fetched(
        self, kind: str, summary: mirror_summary.MirrorSummary
    ) -> None:
        era, digests = self._fetched.get(kind, (0, set()))
        if era != summary.changed.era:
            digests = set()
        self._fetched[kind] = summary.changed.era, digests | {summary.carried}

    def _sync_initial(self) -> None:
        """Fetch the first snapshots if the store does not provide them.

        This does not rely on the announced revisions, because they arrive
        in datagrams, which may be lost.
        """
        if all(
            controller.has_synced for controller in self._controllers.values()
        ):
            self.period_ms = PERIOD_MS
            return
        missing = [
            kind
            for kind, controller in self._controllers.items()
            if controller.needs_initial_sync
        ]
        addresses = self._list_addresses() if missing else ()
        if not addresses:
            return
        address = addresses[self._request_count % len(addresses)]
        self._request_count += 1
        for kind in missing:
            fault = self._fetch(kind, address)
            if fault is not None:
                self._log_failure(kind, fault)
                return

    def _fetch(self, kind: str, address: str) -> errors.Fault | None:
        """Apply another VM's snapshot if it is newer.

        :param kind: the plural kind
        :param address: ``host:port`` of the VM's peer server
        :returns: the fault, or None
        """
        controller = self._controllers[kind]
        answer = self._client.call(
            address,
            Mirrors.Client,
            "read",
            kind,
            controller.known_position.revision,
            controller.known_position.era,
            is_idempotent=True,
        )
        if answer.is_error():
            return answer.error
        if answer.ok.content or answer.ok.carried:
            controller.apply_snapshot(answer.ok)
        return None

    def _log_failure(self, kind: str, fault: errors.Fault) -> None:
        LOG.info(
            "a newer copy could not be read from another VM",
            extra=logs.make_extra(
                fault,
                kind=kind,
                **self._controllers[kind].changed.describe(),
            ),
        )
