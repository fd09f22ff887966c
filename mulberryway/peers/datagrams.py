"""Hints in single datagrams, signed with the fleet's secret.

A hint may be lost, late or doubled, so it needs neither connection nor
answer; a call for each would take several times the processor time.  Each
datagram carries an HMAC-SHA256 over the receiver's address and the payload,
so that strangers can neither forge hints nor pass one VM's on to another.
Whoever records one may send it again: notes carry numbers for that.
"""

import collections.abc
import hashlib
import hmac
import logging
import socket
import threading

from mulberryway import clock
from mulberryway.peers import traffic

__all__ = ["DatagramTransport", "MOST_PAYLOAD_BYTES"]

LOG = logging.getLogger(__name__)

MAC_BYTES = 16
# Longer ones are cut into fragments on the way, and one lost fragment loses
# all; this still fits a few dozen reports.
MOST_PAYLOAD_BYTES = 8_192
MOST_DATAGRAM_BYTES = 65_535
# Several notes may come while the one thread is at work on another.
RECEIVE_BUFFER_BYTES = 1 << 20
# Bounds what is read together, so that the thread looks whether to stop.
MAX_BATCH = 256
CONTEXT = b"mulberryway datagrams 1"
KIND = "Datagram"


class DatagramTransport:
    """Sends and receives signed datagrams on one port.

    :param host: the IP number to listen on
    :param port: the port; the same number as that of the peers' server
    :param secret: the fleet's secret
    ``batch_delay_ms`` is for how long datagrams may wait to be read together:
    each wakeup of the thread takes processor time of its own.

    :param on_payload: gets each genuine payload and the ``host:port`` that
        it came from, on a thread of its own
    :param clock_: where the time comes from
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
        self._own = f"{self.host}:{self.port}"
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name="datagrams", daemon=True
        )

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def stop(self) -> None:
        """Stop receiving and close the port."""
        self._is_stopping = True
        # A datagram to itself ends the wait; closing alone would not.
        self._socket.sendto(b"", (self.host, self.port))
        if self._thread.is_alive():
            self._thread.join()
        self._socket.close()

    def send(self, peer: str, payload: bytes, kind: str = KIND) -> bool:
        """Send a payload; whether it arrives is not known.

        :param peer: ``host:port``
        :param payload: at most ``MOST_PAYLOAD_BYTES``
        :param kind: under which it is counted
        :returns: false if it could not even be sent
        """
        if len(payload) > MOST_PAYLOAD_BYTES:
            return False
        host, _, port = peer.rpartition(":")
        datagram = self._sign(peer, payload) + payload
        try:
            self._socket.sendto(datagram, (host, int(port)))
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
                self._receive_more()
                self._clock.sleep_ms(self.batch_delay_ms)

    def _receive_more(self) -> None:
        """Take what has come meanwhile, without waiting."""
        for _ in range(MAX_BATCH):
            if not self._receive(socket.MSG_DONTWAIT):
                return

    def _receive(self, flags: int) -> bool:
        """Take a datagram; tell whether there was one.

        :param flags: how to receive it
        """
        try:
            datagram, source = self._socket.recvfrom(
                MOST_DATAGRAM_BYTES, flags
            )
        except OSError as error:
            # Nothing is there, or a peer that has gone shows as an error.
            LOG.debug("no datagram: %r", error)
            return False
        self._take(datagram, f"{source[0]}:{source[1]}")
        return True

    def _take(self, datagram: bytes, sender: str) -> None:
        signature, payload = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(signature, self._sign(self._own, payload)):
            return
        self.traffic.count(KIND, False, len(datagram))
        try:
            self._on_payload(payload, sender)
        except Exception:
            LOG.exception("a datagram was not understood")
