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

__all__ = ["MirrorSyncController"]

LOG = logging.getLogger(__name__)

PERIOD_MS = 1_000
# A VM rejects its callers until it has a mirror of each kind.
INITIAL_SYNC_PERIOD_MS = 250
# A VM that learns of a newer revision gives its own watch this long to deliver
# it before it asks the other VM.
FETCH_DELAY_MS = 60


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
        self._newer: dict[str, tuple[int, str]] = {}

    def record_peer_revisions(
        self, address: str, revisions: collections.abc.Mapping[str, int]
    ) -> None:
        """Record the revisions that another VM has.

        :param address: ``host:port`` of its peer server
        :param revisions: its revisions by kind
        """
        newer = {
            kind: (revision, address)
            for kind, revision in revisions.items()
            if kind in self._controllers
            and revision > self._controllers[kind].revision
        }
        if not newer:
            return
        with self._lock:
            for kind, candidate in newer.items():
                # Of two VMs with the same revision the later one is used,
                # because the other may have left the fleet.
                if candidate[0] >= self._newer.get(kind, (0, ""))[0]:
                    self._newer[kind] = candidate
        self.wake()

    def step(self) -> None:
        """Fetch newer mirrors that the watch has not delivered meanwhile."""
        self._sync_initial()
        with self._lock:
            newer, self._newer = self._newer, {}
        if not newer:
            return
        self.clock.sleep_ms(FETCH_DELAY_MS)
        for kind, (revision, address) in newer.items():
            if self._controllers[kind].revision >= revision:
                continue
            fault = self._fetch(kind, address)
            if fault is not None:
                self._log_failure(kind, fault)
                with self._lock:
                    self._newer.setdefault(kind, (revision, address))

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
            controller.revision,
            is_idempotent=True,
        )
        if answer.is_error():
            return answer.error
        if answer.ok.content:
            controller.apply_snapshot(answer.ok.revision, answer.ok.content)
        return None

    def _log_failure(self, kind: str, fault: errors.Fault) -> None:
        LOG.info(
            "a newer copy could not be read from another VM",
            extra=logs.make_extra(
                fault, kind=kind, revision=self._controllers[kind].revision
            ),
        )
