"""Runs an entry VM whose network paths to some ports can be cut.

``python -m standins.partitioned_vm --settings=FILE`` runs the same program as
``mulberryway.commands.entry``.  The file ``FILE.partition`` says which ports
the VM cannot reach, for example ``silent 9001 9002``; other VMs still reach
them.  Without the file, or with an empty one, all paths work.

``silent`` also loses datagrams to and from the ports.  A VM is cut off from
another one if each of them cannot reach the port for VMs of the other:
connections that a VM accepts have no known port.
"""

import enum
import importlib
import os
import pathlib
import socket
import struct
import sys
import threading
import time
import typing

__all__ = ["Mode", "Partition", "find_file", "run"]

POLL_S = 0.01
HOST = "127.0.0.1"
FD_FOLDER = pathlib.Path("/proc/self/fd")
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How a partition affects connections.

    ``SILENT`` loses all packets and datagrams, ``RESET`` resets open and new
    connections, and ``REFUSE`` resets only new ones.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"


class Partition:
    """Cuts this process's connections to some ports.

    :param file: names the mode and the ports; polled
    """

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file
        self._mode: Mode | None = None
        self._ports: frozenset[int] = frozenset()
        # A listener whose queue is full drops the packets that open a
        # connection; nothing listens on the other port.
        self._silent = socket.create_server((HOST, 0), backlog=0)
        self._fillers = [self._fill_queue() for _ in range(3)]
        self._refusing = socket.socket()
        self._refusing.bind((HOST, 0))
        self._dead_ends: list[socket.socket] = []

    def start(self) -> None:
        """Intercept connects and datagrams, and watch the file on a thread."""
        partition = self

        class PartitionedSocket(socket.socket):
            """Connects to a dead end where the path is cut."""

            def sendto(self, data: typing.Any, *rest: typing.Any) -> int:
                if partition.loses_datagrams(rest[-1]):
                    return len(data)
                return super().sendto(data, *rest)

            def recvfrom(
                self, size: int, flags: int = 0
            ) -> tuple[bytes, typing.Any]:
                while True:
                    data, source = super().recvfrom(size, flags)
                    if not partition.loses_datagrams(source):
                        return data, source

            def connect(self, address: typing.Any) -> None:
                super().connect(partition.redirect(address))

            def connect_ex(self, address: typing.Any) -> int:
                return super().connect_ex(partition.redirect(address))

        socket.socket = PartitionedSocket  # type: ignore[misc]
        threading.Thread(target=self._watch, daemon=True).start()

    def redirect(self, address: typing.Any) -> typing.Any:
        """Return the address to connect to instead.

        :param address: the address that the program connects to
        """
        mode = self._mode
        if mode is None or address[1] not in self._ports:
            return address
        dead_end = self._silent if mode is Mode.SILENT else self._refusing
        return dead_end.getsockname()

    def loses_datagrams(self, address: typing.Any) -> bool:
        """Return whether datagrams to and from an address are lost.

        :param address: the address
        """
        return (
            self._mode is Mode.SILENT
            and isinstance(address, tuple)
            and address[1] in self._ports
        )

    def _watch(self) -> None:
        current = ""
        while True:
            text = self._file.read_text() if self._file.exists() else ""
            if text != current:
                current = text
                self._apply(text.split())
            time.sleep(POLL_S)

    def _apply(self, words: list[str]) -> None:
        self._ports = frozenset(map(int, words[1:]))
        self._mode = Mode(words[0]) if words else None
        if self._mode in (Mode.SILENT, Mode.RESET):
            for fd in list(map(int, os.listdir(FD_FOLDER))):
                self._cut_open_connection(fd)

    def _cut_open_connection(self, fd: int) -> None:
        try:
            with socket.socket(fileno=os.dup(fd)) as connection:
                peer = connection.getpeername()
        except OSError:
            return
        if not isinstance(peer, tuple) or peer[1] not in self._ports:
            return
        silent = self._mode is Mode.SILENT
        near = self._make_silent() if silent else self._make_reset()
        # The program's object for the descriptor expects its blocking mode.
        os.set_blocking(near.fileno(), os.get_blocking(fd))
        os.dup2(near.fileno(), fd)
        near.close()

    def _make_silent(self) -> socket.socket:
        near, far = socket.socketpair()
        self._dead_ends.append(far)
        return near

    @staticmethod
    def _make_reset() -> socket.socket:
        with socket.create_server((HOST, 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        far.close()
        return near

    def _fill_queue(self) -> socket.socket:
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(self._silent.getsockname())
        return filler


def find_file(settings_file: pathlib.Path) -> pathlib.Path:
    """Return the file that controls the partition of a VM.

    :param settings_file: the VM's settings
    """
    return settings_file.with_suffix(".partition")


def run() -> None:
    """Run the entry VM's program behind a partition."""
    flag = next(word for word in sys.argv if word.startswith("--settings="))
    settings_file = pathlib.Path(flag.partition("=")[2])
    Partition(find_file(settings_file)).start()
    # Tests import this module beside programs that define the same flags.
    importlib.import_module("mulberryway.commands.entry").run()


if __name__ == "__main__":
    run()
