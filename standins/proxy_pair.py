"""One listening port of the fault-injecting proxy and its target."""

import asyncio
import typing

from standins import proxy_faults

__all__ = ["Proxy"]

READ_BYTES = 65_536
UP = "up"
DOWN = "down"


class ProxiedConnection:
    """One connection through a pair, and the half it goes on from there.

    :param client: whoever connected
    :param target: the other end
    """

    __slots__ = ("client", "target", "silent", "awaits_reply")

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.client = client
        self.target = target
        # Directions in which bytes vanish for good.
        self.silent: set[str] = set()
        # Bytes went up since bytes last came down: the next are a reply.
        self.awaits_reply = False

    def writer(self, direction: str) -> asyncio.StreamWriter:
        """Return where bytes of a direction go.

        :param direction: ``up`` or ``down``
        """
        return self.target if direction == UP else self.client

    def abort(self) -> None:
        """Cut both halves with a reset."""
        self.client.transport.abort()
        self.target.transport.abort()


class Proxy:
    """Passes connections on, with faults.

    :param name: what the control port calls it
    :param target: ``(host, port)``
    :param seed: decides delays
    """

    def __init__(self, name: str, target: tuple[str, int], seed: int) -> None:
        self.name = name
        self.target = target
        self.faults = proxy_faults.ProxyFaults(seed)
        self.accepted = 0
        self._links: set[ProxiedConnection] = set()
        self._changed = asyncio.Condition()
        self._replies = 0

    def show(self) -> dict[str, typing.Any]:
        """Return the pair's state as JSON."""
        return {
            "target": f"{self.target[0]}:{self.target[1]}",
            "open": len(self._links),
            "accepted": self.accepted,
            "faults": self.faults.show(),
        }

    async def change(self, values: dict[str, typing.Any]) -> None:
        """Switch faults, or act on the connections that are open now.

        :param values: faults by name; ``cut`` true cuts what is open,
            ``half_close`` names a direction to end on what is open,
            ``silent`` names directions in which what is open falls silent
        :raises ValueError: if there is no such fault
        """
        cut = values.pop("cut", False)
        half_close = values.pop("half_close", "")
        silent = values.pop("silent", [])
        self.faults.change(values)
        for link in [*self._links]:
            link.silent |= set(silent)
            if half_close:
                _end(link.writer(half_close))
                # What comes after an end has nowhere to go.
                link.silent.add(half_close)
            if cut:
                link.abort()
        async with self._changed:
            self._changed.notify_all()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until both directions have ended.

        :param reader: the client's bytes
        :param writer: to the client
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
        link = ProxiedConnection(writer, target)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pass(reader, link, UP),
                self._pass(target_reader, link, DOWN),
            )
        except (OSError, asyncio.CancelledError):
            # Cancelled only as the whole program ends; asyncio would print
            # a traceback for each connection that is still open then.
            link.abort()
        finally:
            self._links.discard(link)
            writer.close()
            target.close()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        link: ProxiedConnection,
        direction: str,
    ) -> None:
        writer = link.writer(direction)
        while data := await reader.read(READ_BYTES):
            await self._disturb(link, direction)
            if direction not in link.silent:
                writer.write(data)
                await writer.drain()
        await self._wait_for_stall(direction)
        if direction not in link.silent:
            _end(writer)

    async def _disturb(self, link: ProxiedConnection, direction: str) -> None:
        """Delay, hold back or drop bytes that are about to pass."""
        delay_s = self.faults.pick_delay_s()
        if delay_s:
            await asyncio.sleep(delay_s)
        await self._wait_for_stall(direction)
        if direction == UP:
            link.awaits_reply = True
        elif link.awaits_reply:
            link.awaits_reply = False
            await self._disturb_reply(link)

    async def _disturb_reply(self, link: ProxiedConnection) -> None:
        if self.faults.consume_reply_drop():
            link.abort()
            raise ConnectionResetError
        if self.faults.consume_reply_hold():
            seen = self._replies
            async with self._changed:
                await self._changed.wait_for(lambda: self._replies > seen)
        self._replies += 1
        async with self._changed:
            self._changed.notify_all()

    async def _wait_for_stall(self, direction: str) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: not getattr(self.faults, f"stall_{direction}")
            )


def _end(writer: asyncio.StreamWriter) -> None:
    if writer.can_write_eof() and not writer.is_closing():
        writer.write_eof()
