"""Opens connections to upstreams, through other VMs if need be."""

import logging
import socket

from mulberryway import clock
from mulberryway import errors
from mulberryway import logs
from mulberryway import peers
from mulberryway.controllers import path_monitoring
from mulberryway.peers.gen.tunnels import Tunnels
from mulberryway.policy import forwarders
from mulberryway.policy import member
from mulberryway.upstreams import dialing

__all__ = ["DetourDialer"]

LOG = logging.getLogger(__name__)

# A tunnel takes about five round trips.
TUNNEL_TIMEOUT_MS = 250
# The time for all VMs that are asked for a tunnel.
DETOUR_TIMEOUT_MS = 450
# A VM that cannot reach an upstream may be behind a partial cut itself.
MIN_WITNESSES = 2


class DetourDialer(dialing.Dialer):
    """Connects directly where the path works, else through another VM.

    Only connecting is diverted: nothing of a request was sent yet.  A path
    that has failed is not used again before one of the monitor's probes has
    succeeded.  A path whose loss is only inferred is tried once no other VM
    has opened a tunnel.

    :param monitor: the paths of this VM and of the others
    :param client: calls other VMs
    :param clock_: the clock
    """

    def __init__(
        self,
        monitor: path_monitoring.PathMonitor,
        client: peers.PeerClient,
        clock_: clock.Clock,
    ) -> None:
        self._monitor = monitor
        self._client = client
        self._clock = clock_

    def connect(
        self,
        address: str,
        timeout_ms: int,
        is_cancelled: dialing.CancelTest = lambda: False,
    ) -> socket.socket:
        """Open a connection.

        :param address: the upstream's ``host:port``
        :param timeout_ms: timeout of a direct connect, in ms; a tunnel may
            take ``DETOUR_TIMEOUT_MS`` more
        :param is_cancelled: returns whether the connection is not needed any
            more
        :returns: a connected socket
        :raises CancelledError: if it was cancelled
        :raises dialing.PathError: if neither this VM nor another one has a
            path to the upstream, which may be sound
        :raises OSError: if other VMs cannot reach the upstream either, or if
            there are none
        """
        if not self.is_suspect(address):
            try:
                return self._connect_directly(
                    address, timeout_ms, is_cancelled
                )
            except OSError as failure:
                self._monitor.record_failure(address, failure)
                if not self._monitor.has_other_vms():
                    raise
        chosen = self._monitor.choose_forwarders(address)
        if not chosen and self._monitor.is_unreachable_elsewhere(address):
            raise self._record_down(address, "other VMs")
        try:
            return self._connect_through(chosen, address, is_cancelled)
        except dialing.PathError:
            if self._monitor.has_failed(address):
                raise
        return self._connect_despite_others(address, timeout_ms, is_cancelled)

    def is_suspect(self, address: str) -> bool:
        """Return whether a failure there may be a failure of the path.

        Without another VM to compare with, it counts as the upstream's.

        :param address: the upstream's ``host:port``
        """
        return (
            self._monitor.is_suspect(address) and self._monitor.has_other_vms()
        )

    def get_epoch(self, address: str) -> int:
        """Return a number that changes whenever the path is lost or restored.

        It changes as well when a VM that forwards connections stops.

        :param address: the upstream's ``host:port``
        """
        return self._monitor.get_epoch(address)

    def record_doubt(self, address: str) -> None:
        """Probe a path, because a call on an open connection failed.

        :param address: the upstream's ``host:port``
        """
        self._monitor.record_doubt(address)

    def _connect_directly(
        self,
        address: str,
        timeout_ms: int,
        is_cancelled: dialing.CancelTest,
    ) -> socket.socket:
        """Connect, and keep time for a tunnel if there are other VMs."""
        direct_ms = timeout_ms
        if timeout_ms > path_monitoring.CONNECT_TIMEOUT_MS and (
            self._monitor.has_other_vms()
        ):
            direct_ms = path_monitoring.CONNECT_TIMEOUT_MS
        connection = dialing.connect_directly(address, direct_ms, is_cancelled)
        self._monitor.record_success(address)
        return connection

    def _connect_despite_others(
        self,
        address: str,
        timeout_ms: int,
        is_cancelled: dialing.CancelTest,
    ) -> socket.socket:
        """Connect to an upstream to which no connect has failed.

        Its path is suspect only because those of others were lost, which may
        be down on all VMs.
        """
        try:
            return self._connect_directly(address, timeout_ms, is_cancelled)
        except OSError as failure:
            self._monitor.record_failure(address, failure)
            raise dialing.PathError(f"{address}: no VM has a path") from (
                failure
            )

    def _connect_through(
        self,
        chosen: list[member.Member],
        address: str,
        is_cancelled: dialing.CancelTest,
    ) -> socket.socket:
        started_ms = self._clock.now_ms()
        deadline = clock.Deadline(started_ms + DETOUR_TIMEOUT_MS)
        witnesses: list[str] = []
        for forwarder in chosen:
            left_ms = deadline.left_ms(self._clock.now_ms())
            if not left_ms:
                break
            if is_cancelled():
                raise dialing.CancelledError
            outcome, connection = self._ask(forwarder, address, left_ms)
            if connection is not None:
                took_ms = self._clock.now_ms() - started_ms
                _log_tunnel(address, forwarder, took_ms)
                return connection
            if self._is_witness(outcome):
                witnesses.append(forwarder.name)
            if len(witnesses) >= min(MIN_WITNESSES, len(chosen)):
                raise self._record_down(address, ", ".join(witnesses))
        raise dialing.PathError(f"{address}: no VM has a path")

    def _is_witness(self, outcome: forwarders.TunnelOutcome | None) -> bool:
        """Return whether a VM's answer shows that an upstream is down.

        A VM that has reached no upstream lately may just have been idle.
        """
        return outcome is forwarders.TunnelOutcome.UNREACHABLE or (
            outcome is forwarders.TunnelOutcome.CUT_OFF
            and self._monitor.is_reaching()
        )

    def _record_down(self, address: str, witness: str) -> OSError:
        """Return the error of an upstream that other VMs do not reach."""
        self._monitor.record_upstream_down(address)
        return ConnectionRefusedError(f"{address}: unreachable for {witness}")

    def _ask(
        self, forwarder: member.Member, address: str, left_ms: int
    ) -> tuple[forwarders.TunnelOutcome | None, socket.socket | None]:
        """Ask a VM for a tunnel; return its answer and an open connection."""
        answer = self._client.call_detached(
            forwarder.peer,
            Tunnels.Client,
            "open",
            address,
            timeout_ms=min(TUNNEL_TIMEOUT_MS, left_ms),
        )
        if answer.is_error():
            _log_refusal(address, forwarder, "unanswered", answer.error)
            self._monitor.record_tunnel(forwarder.name, address, None)
            return None, None
        number, connection = answer.ok
        outcome = forwarders.TunnelOutcome(number)
        self._monitor.record_tunnel(forwarder.name, address, outcome)
        if outcome is forwarders.TunnelOutcome.OPEN:
            return outcome, connection
        connection.close()
        _log_refusal(address, forwarder, outcome.name.lower())
        return outcome, None


def _log_tunnel(address: str, forwarder: member.Member, took_ms: int) -> None:
    LOG.info(
        "a connection goes through another VM",
        extra=logs.make_extra(
            upstream=address, forwarder=forwarder.name, took_ms=took_ms
        ),
    )


def _log_refusal(
    address: str,
    forwarder: member.Member,
    outcome: str,
    fault: errors.Fault | None = None,
) -> None:
    LOG.info(
        "another VM opened no tunnel",
        extra=logs.make_extra(
            fault, upstream=address, forwarder=forwarder.name, outcome=outcome
        ),
    )
