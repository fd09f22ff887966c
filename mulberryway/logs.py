"""Logs as JSON lines on standard output, bounded and never waited for."""

import json
import logging
import queue
import sys
import threading
import time
import typing

from mulberryway import errors

__all__ = ["BoundedHandler", "JsonFormatter", "make_extra", "set_up"]

FIELDS = "fields"
# A write to a full pipe blocks, and lines cost processor time.  So a thread of
# its own writes, lines per second are limited, and what does not fit is
# dropped and counted.
MAX_LINES_PER_S = 300
# Of it ordinary lines get this part, so that warnings still come through.
BELOW_WARNING_FRACTION = 0.8
MAX_QUEUED_RECORDS = 2_000
FLUSH_S = 0.3
DROP_REPORT_INTERVAL_S = 1.0


class JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object on one line.

    :param vm: the VM's name, in every line
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as a line.

        :param record: what was logged
        :returns: the line
        """
        line: dict[str, typing.Any] = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname,
            "vm": self._vm,
            "logger": record.name.removeprefix("mulberryway."),
            "message": record.getMessage(),
        }
        line.update(getattr(record, FIELDS, {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class BoundedHandler(logging.Handler):
    """Hands lines to a thread that writes them, and never waits for it.

    :param stream: where lines go
    :param most_per_s: lines written in one second at most
    """

    def __init__(
        self, stream: typing.TextIO, most_per_s: int = MAX_LINES_PER_S
    ) -> None:
        super().__init__()
        self._stream = stream
        self._most_per_s = most_per_s
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(
            MAX_QUEUED_RECORDS
        )
        self._second = 0
        self._in_second = 0
        self._dropped = 0
        self._is_idle = threading.Event()
        self._is_idle.set()
        self._thread = threading.Thread(
            target=self._run, name="logs", daemon=True
        )
        self._thread.start()

    @property
    def dropped(self) -> int:
        """How many lines were dropped and not told of yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop it; returns at once.

        :param record: what was logged
        """
        second = int(record.created)
        if second != self._second:
            self._second, self._in_second = second, 0
        most: float = self._most_per_s
        if record.levelno < logging.WARNING:
            most *= BELOW_WARNING_FRACTION
        if self._in_second >= most:
            self._dropped += 1
            return
        self._in_second += 1
        try:
            self._is_idle.clear()
            self._queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Give the writing thread a moment for what is queued."""
        self._is_idle.wait(FLUSH_S)

    def _run(self) -> None:
        told_s = 0.0
        while True:
            record = self._queue.get()
            self._write(self.format(record))
            now_s = time.monotonic()
            if self._dropped and now_s - told_s >= DROP_REPORT_INTERVAL_S:
                told_s = now_s
                self._tell_dropped()
            if self._queue.empty():
                self._is_idle.set()

    def _tell_dropped(self) -> None:
        dropped, self._dropped = self._dropped, 0
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines were dropped",
                FIELDS: {"count": dropped},
            }
        )
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more; there is nowhere else to say so.
            self._dropped += 1


def make_extra(
    fault: errors.Fault | None = None, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return the ``extra`` argument that adds fields to a log line.

    Fields name requests, accounts and peers.  Keys, their digests, prompts
    and bodies are never among them: logs are read by more people than may
    act for an account.

    :param fault: whose code, step, peer, run and inputs are added
    :param fields: further fields
    :returns: what logging methods take as ``extra``
    """
    line: dict[str, typing.Any] = dict(fields)
    if fault is not None:
        line.update(
            code=fault.code.value,
            step=fault.step.value,
            peer=fault.peer,
            run=fault.run.value,
            reason=fault.message,
            **fault.inputs,
        )
    return {FIELDS: line}


def set_up(vm: str, level: str, debug: tuple[str, ...] = ()) -> None:
    """Send all logs to standard output as JSON lines.

    :param vm: the VM's name
    :param level: the lowest level that is written
    :param debug: names of loggers below ``mulberryway`` that write all
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(vm))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    for name in debug:
        logging.getLogger(f"mulberryway.{name}").setLevel(logging.DEBUG)
