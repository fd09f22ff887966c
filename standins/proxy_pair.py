"""One pair of listening port and target of the fault-injecting proxy."""

import asyncio
import socket
import struct
import typing

from standins import proxy_faults

__all__ = ["Proxy"]

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
UP = "up"
DOWN = "down"


class ProxiedConnection:
    """One connection through a pair.

    :param client: writer to the client
    :param target: writer to the target
    """

    __slots__ = ("client", "target", "silent", "awaits_reply")

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.client = client
        self.target = target
        # Directions in which all further bytes are discarded.
        self.silent: set[str] = set()
        # Whether bytes were sent to the target after the last bytes from it;
        # the next bytes from the target are then a reply.
        self.awaits_reply = False

    def writer(self, direction: str) -> asyncio.StreamWriter:
        """Return the writer of a direction.

        :param direction: ``up`` or ``down``
        """
        return self.target if direction == UP else self.client

    def abort(self) -> None:
        """Reset the connections to the client and the target."""
        _reset(self.client)
        _reset(self.target)


class Proxy:
    """Forwards connections to a target and injects faults.

    :param name: name of the pair on the control port
    :param target: ``(host, port)`` of the target
    :param seed: random seed of the delays
    """

    def __init__(self, name: str, target: tuple[str, int], seed: int) -> None:
        self.name = name
        self.target = target
        self.faults = proxy_faults.ProxyFaults(seed)
        self.accepted = 0
        self._connections: set[ProxiedConnection] = set()
        self._changed = asyncio.Condition()
        self._reply_count = 0

    def show(self) -> dict[str, typing.Any]:
        """Return the state of the pair as a JSON object."""
        return {
            "target": f"{self.target[0]}:{self.target[1]}",
            "open": len(self._connections),
            "accepted": self.accepted,
            "faults": self.faults.show(),
        }

    async def apply_faults(self, values: dict[str, typing.Any]) -> None:
        """Set faults, or act on the open connections.

        :param values: new values by fault name; on open connections, ``cut``
            resets them, ``half_close`` ends the given direction, and
            ``silent`` discards all further bytes of the given directions
        :raises ValueError: if a fault does not exist
        """
        cut = values.pop("cut", False)
        half_close = values.pop("half_close", "")
        silent = values.pop("silent", [])
        self.faults.update(values)
        for connection in [*self._connections]:
            connection.silent |= set(silent)
            if half_close:
                _close_for_writing(connection.writer(half_close))
                # Bytes that arrive later cannot be written any more.
                connection.silent.add(half_close)
            if cut:
                connection.abort()
        async with self._changed:
            self._changed.notify_all()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both directions have ended.

        :param reader: reader from the client
        :param writer: writer to the client
        """
        self.accepted += 1
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = ProxiedConnection(writer, target)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(reader, connection, UP),
                self._forward(target_reader, connection, DOWN),
            )
        except (OSError, asyncio.CancelledError):
            # Tasks are cancelled only at the end of the program.  Otherwise
            # asyncio would print a traceback for each open connection.
            connection.abort()
        finally:
            self._connections.discard(connection)
            writer.close()
            target.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        connection: ProxiedConnection,
        direction: str,
    ) -> None:
        writer = connection.writer(direction)
        while data := await reader.read(READ_BYTES):
            await self._delay_or_drop(connection, direction)
            if direction not in connection.silent:
                writer.write(data)
                await writer.drain()
        await self._wait_for_stall(direction)
        if direction not in connection.silent:
            _close_for_writing(writer)

    async def _delay_or_drop(
        self, connection: ProxiedConnection, direction: str
    ) -> None:
        """Delay or stall bytes, or drop a reply, before forwarding."""
        delay_s = self.faults.pick_delay_s()
        if delay_s:
            await asyncio.sleep(delay_s)
        await self._wait_for_stall(direction)
        if direction == UP:
            connection.awaits_reply = True
        elif connection.awaits_reply:
            connection.awaits_reply = False
            await self._drop_or_hold_reply(connection)

    async def _drop_or_hold_reply(self, connection: ProxiedConnection) -> None:
        if self.faults.consume_reply_drop():
            connection.abort()
            raise ConnectionResetError
        if self.faults.consume_reply_hold():
            reply_count = self._reply_count
            async with self._changed:
                await self._changed.wait_for(
                    lambda: self._reply_count > reply_count
                )
        self._reply_count += 1
        async with self._changed:
            self._changed.notify_all()

    async def _wait_for_stall(self, direction: str) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: not getattr(self.faults, f"stall_{direction}")
            )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the option, ``abort`` sends a FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def _close_for_writing(writer: asyncio.StreamWriter) -> None:
    if writer.can_write_eof() and not writer.is_closing():
        writer.write_eof()
