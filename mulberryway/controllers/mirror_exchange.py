"""Asks other VMs for copies of the store's objects that are newer."""

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
# Until it has a copy of each kind a VM refuses its callers.
INITIAL_SYNC_PERIOD_MS = 250
# A VM that hears of a newer revision leaves its own watch so long to bring
# it before it asks the other VM.
FETCH_DELAY_MS = 60


class MirrorSyncController(base.Controller):
    """Asks other VMs for mirrors that are newer than this VM's.

    A VM that the store turns away, or that starts while the store is away,
    would go on with old tables or serve nobody although others know better.

    :param keepers: the keepers by kind
    :param client: calls other VMs
    :param clock_: where the time comes from
    :param list_addresses: returns where other VMs answer peers, as
        ``host:port``
    """

    def __init__(
        self,
        keepers: collections.abc.Mapping[str, mirrors.MirrorController],
        client: peers.PeerClient,
        clock_: clock.Clock,
        list_addresses: collections.abc.Callable[[], list[str]],
    ) -> None:
        super().__init__("mirror-exchange", clock_, INITIAL_SYNC_PERIOD_MS)
        self._keepers = keepers
        self._client = client
        self._list_addresses = list_addresses
        self._asked = 0
        self._lock = threading.Lock()
        self._newer: dict[str, tuple[int, str]] = {}

    def note_peer(
        self, address: str, revisions: collections.abc.Mapping[str, int]
    ) -> None:
        """Take in what another VM knows.

        :param address: its ``host:port`` for peers
        :param revisions: its revisions by kind
        """
        newer = {
            kind: (revision, address)
            for kind, revision in revisions.items()
            if kind in self._keepers
            and revision > self._keepers[kind].revision
        }
        if not newer:
            return
        with self._lock:
            for kind, found in newer.items():
                # Of two equal ones the later: the earlier VM may have gone.
                if found[0] >= self._newer.get(kind, (0, ""))[0]:
                    self._newer[kind] = found
        self.wake()

    def step(self) -> None:
        """Ask for what is newer, unless it has come meanwhile."""
        self._seek_first()
        with self._lock:
            newer, self._newer = self._newer, {}
        if not newer:
            return
        self.clock.sleep_ms(FETCH_DELAY_MS)
        for kind, (revision, address) in newer.items():
            if self._keepers[kind].revision >= revision:
                continue
            fault = self._ask(kind, address)
            if fault is not None:
                self._log_failure(kind, fault)
                with self._lock:
                    self._newer.setdefault(kind, (revision, address))

    def _seek_first(self) -> None:
        """Ask for the first copies, where the store does not give them.

        What other VMs know comes in datagrams, which may be lost.
        """
        if all(keeper.is_known for keeper in self._keepers.values()):
            self.period_ms = PERIOD_MS
            return
        missing = [
            kind
            for kind, keeper in self._keepers.items()
            if keeper.needs_initial_sync
        ]
        addresses = self._list_addresses() if missing else ()
        if not addresses:
            return
        address = addresses[self._asked % len(addresses)]
        self._asked += 1
        for kind in missing:
            fault = self._ask(kind, address)
            if fault is not None:
                self._log_failure(kind, fault)
                return

    def _ask(self, kind: str, address: str) -> errors.Fault | None:
        """Take over another VM's copy if it is newer.

        :param kind: the plural kind
        :param address: where the VM answers peers
        :returns: why it could not be read; none if all went well
        """
        keeper = self._keepers[kind]
        answer = self._client.call(
            address,
            Mirrors.Client,
            "read",
            kind,
            keeper.revision,
            is_idempotent=True,
        )
        if answer.is_error():
            return answer.error
        if answer.ok.content:
            keeper.unpack(answer.ok.revision, answer.ok.content)
        return None

    def _log_failure(self, kind: str, fault: errors.Fault) -> None:
        LOG.info(
            "a newer copy could not be read from another VM",
            extra=logs.make_extra(
                fault, kind=kind, revision=self._keepers[kind].revision
            ),
        )
