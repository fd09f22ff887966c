"""Gossip messages in single datagrams, signed with the fleet's secret.

A gossip message may be lost, late or duplicated, so it needs neither a
connection nor a response; a call for each would take several times the
processor time. Each datagram carries an HMAC-SHA256 over the receiver's
address and the payload, so an unauthenticated sender can neither forge
messages nor forward one VM's message to another. A recorded datagram can be
replayed to the same receiver; the sequence numbers of notes guard against
that.
"""

import collections.abc
import hashlib
import hmac
import logging
import socket
import threading

from mulberryway import addresses
from mulberryway import clock
from mulberryway.peers import traffic

__all__ = ["DatagramTransport", "MAX_PAYLOAD_BYTES"]

LOG = logging.getLogger(__name__)

MAC_BYTES = 16
# IP splits longer payloads into more fragments, and one lost fragment loses
# the datagram. A few dozen reports fit into this size.
MAX_PAYLOAD_BYTES = 8_192
MAX_DATAGRAM_BYTES = 65_535
# Buffers notes that arrive while the only thread handles another.
RECEIVE_BUFFER_BYTES = 1 << 20
# Bounds a batch, after which the thread checks whether to stop.
MAX_BATCH = 256
CONTEXT = b"mulberryway datagrams 1"
KIND = "Datagram"


class DatagramTransport:
    """Sends and receives signed datagrams on one port.

    Datagrams may wait for ``batch_delay_ms`` milliseconds to be read in
    batches, because each wakeup of the thread takes processor time.

    :param host: the IP address to listen on
    :param port: the port; the same number as that of the peer server
    :param secret: the fleet's secret
    :param on_payload: called on the transport's thread with each verified
        payload and its sender's ``host:port``
    :param clock_: the clock
    """

    def __init__(
        self,
        host: str,
        port: int,
        secret: str,
        on_payload: collections.abc.Callable[[bytes, str], None],
        clock_: clock.Clock,
    ) -> None:
        self.traffic = traffic.Traffic()
        self._key = hashlib.sha256(CONTEXT + secret.encode()).digest()
        self._on_payload = on_payload
        self._clock = clock_
        self.batch_delay_ms = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((host, port))
        self.host, self.port = self._socket.getsockname()
        self._own_address = f"{self.host}:{self.port}"
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name="datagrams", daemon=True
        )

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self._is_stopping = True
        # Sending a datagram to its own port wakes the thread; closing the
        # socket would not.
        self._socket.sendto(b"", (self.host, self.port))
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def send(self, peer: str, payload: bytes, kind: str = KIND) -> bool:
        """Send a payload; delivery is not confirmed.

        :param peer: ``host:port``
        :param payload: at most ``MAX_PAYLOAD_BYTES``
        :param kind: the kind under which it is counted
        :returns: false if it is too long, if there is no such address, or if
            the system rejected it
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            return False
        try:
            host, port = addresses.split(peer)
        except ValueError as error:
            LOG.debug("no datagram sent to %.100r: %r", peer, error)
            return False
        datagram = self._sign(peer, payload) + payload
        try:
            self._socket.sendto(datagram, (host, port))
        except OSError:
            return False
        self.traffic.count(kind, True, len(datagram))
        return True

    def _sign(self, peer: str, payload: bytes) -> bytes:
        return hmac.digest(
            self._key, peer.encode() + b"\0" + payload, "sha256"
        )[:MAC_BYTES]

    def _run(self) -> None:
        while not self._is_stopping:
            has_received = self._receive(0)
            if has_received and self.batch_delay_ms and not self._is_stopping:
                self._receive_pending()
                self._clock.sleep_ms(self.batch_delay_ms)

    def _receive_pending(self) -> None:
        """Receive pending datagrams without waiting."""
        for _ in range(MAX_BATCH):
            if not self._receive(socket.MSG_DONTWAIT):
                return

    def _receive(self, flags: int) -> bool:
        """Receive a datagram and return whether there was one.

        :param flags: flags of the socket's receive call
        """
        try:
            datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES, flags)
        except OSError as error:
            # No datagram is pending, or an unreachable peer's ICMP error is
            # reported here.
            LOG.debug("no datagram received: %r", error)
            return False
        self._handle(datagram, f"{source[0]}:{source[1]}")
        return True

    def _handle(self, datagram: bytes, sender: str) -> None:
        signature, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(
            signature, self._sign(self._own_address, payload)
        ):
            return
        self.traffic.count(KIND, False, len(datagram))
        try:
            self._on_payload(payload, sender)
        except Exception:
            LOG.exception("a datagram could not be handled")
