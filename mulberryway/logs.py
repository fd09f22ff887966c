"""Non-blocking logging as JSON lines on standard output."""

import json
import logging
import queue
import sys
import threading
import time
import typing

from mulberryway import errors

__all__ = [
    "BoundedHandler",
    "JsonFormatter",
    "ReportedKeys",
    "make_extra",
    "set_up",
]

FIELDS = "fields"
# Writing to a full pipe blocks, and formatting lines costs CPU time.  So a
# separate thread writes, the number of lines per second is limited, and lines
# beyond the limit are dropped and counted.
MAX_LINES_PER_S = 300
# The fraction for records below WARNING, so that warnings still get through.
BELOW_WARNING_FRACTION = 0.8
MAX_QUEUED_RECORDS = 2_000
FLUSH_S = 0.3
DROP_REPORT_INTERVAL_S = 1.0
# Bounds the memory of what was reported once already.
MAX_REPORTED_KEYS = 256


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object on one line.

    :param vm: the VM's name, added to every line
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Format a record.

        :param record: the log record
        :returns: the line without a line break
        """
        record_fields: dict[str, typing.Any] = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname,
            "vm": self._vm,
            "logger": record.name.removeprefix("mulberryway."),
            "message": record.getMessage(),
        }
        record_fields.update(getattr(record, FIELDS, {}))
        if record.exc_info:
            record_fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(record_fields, default=str)


class BoundedHandler(logging.Handler):
    """Queues records for a writer thread and never blocks.

    :param stream: the output stream
    :param max_lines_per_s: the maximum number of lines per second
    """

    def __init__(
        self, stream: typing.TextIO, max_lines_per_s: int = MAX_LINES_PER_S
    ) -> None:
        super().__init__()
        self._stream = stream
        self._max_lines_per_s = max_lines_per_s
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(
            MAX_QUEUED_RECORDS
        )
        self._current_second = 0
        self._lines_in_second = 0
        self._dropped = 0
        self._is_idle = threading.Event()
        self._is_idle.set()
        self._thread = threading.Thread(
            target=self._run, name="logs", daemon=True
        )
        self._thread.start()

    @property
    def dropped(self) -> int:
        """The number of dropped lines that were not reported yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record or drop it; returns at once.

        :param record: the log record
        """
        second = int(record.created)
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        max_lines: float = self._max_lines_per_s
        if record.levelno < logging.WARNING:
            max_lines *= BELOW_WARNING_FRACTION
        if self._lines_in_second >= max_lines:
            self._dropped += 1
            return
        self._lines_in_second += 1
        try:
            self._is_idle.clear()
            self._queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Wait briefly for the writer thread to empty the queue."""
        self._is_idle.wait(FLUSH_S)

    def _run(self) -> None:
        reported_s = 0.0
        while True:
            record = self._queue.get()
            self._write(self._format_any(record))
            now_s = time.monotonic()
            if self._dropped and now_s - reported_s >= DROP_REPORT_INTERVAL_S:
                reported_s = now_s
                self._report_dropped()
            if self._queue.empty():
                self._is_idle.set()

    def _format_any(self, record: logging.LogRecord) -> str:
        """Format a record; one that cannot be is told by its place."""
        try:
            return self.format(record)
        except Exception as error:
            # An exception would end the thread, and with it all logs.
            return self.format(
                logging.makeLogRecord(
                    {
                        "name": record.name,
                        "levelno": logging.ERROR,
                        "levelname": "ERROR",
                        "msg": "a log line could not be formatted",
                        FIELDS: {
                            "line": record.lineno,
                            "reason": type(error).__name__,
                        },
                    }
                )
            )

    def _report_dropped(self) -> None:
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
            # The output is closed, and there is nowhere else to report it.
            self._dropped += 1


class ReportedKeys:
    """Remembers what was logged, so that it is not logged each time.

    Thread-safe.  The oldest keys are forgotten, and are logged again if they
    return.

    :param max_keys: the maximum number of keys
    """

    __slots__ = ("_max_keys", "_keys", "_lock")

    def __init__(self, max_keys: int = MAX_REPORTED_KEYS) -> None:
        self._max_keys = max_keys
        self._keys: dict[typing.Any, None] = {}
        self._lock = threading.Lock()

    def add(self, key: typing.Any) -> bool:
        """Add a key.

        :param key: what identifies the line
        :returns: whether it is new, and has to be logged
        """
        with self._lock:
            is_new = key not in self._keys
            self._keys.pop(key, None)
            self._keys[key] = None
            if len(self._keys) > self._max_keys:
                del self._keys[next(iter(self._keys))]
        return is_new


def make_extra(
    fault: errors.Fault | None = None, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return the ``extra`` argument that adds fields to a log record.

    Fields identify requests, accounts and peers.  They must not contain
    keys, key digests, prompts or bodies, because more people can read the
    logs than may act for an account.

    :param fault: a fault whose code, step, peer, run and inputs are added
    :param fields: further fields
    :returns: the value for the ``extra`` argument of logging methods
    """
    record_fields: dict[str, typing.Any] = dict(fields)
    if fault is not None:
        record_fields.update(
            code=fault.code.value,
            step=fault.step.value,
            peer=fault.peer,
            run=fault.run.value,
            reason=fault.message,
            **fault.inputs,
        )
    return {FIELDS: record_fields}


def set_up(vm: str, level: str, debug: tuple[str, ...] = ()) -> None:
    """Configure logging as JSON lines on standard output.

    :param vm: the VM's name
    :param level: the minimum level that is written
    :param debug: names of loggers below ``mulberryway`` set to DEBUG
    """
    handler = BoundedHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(vm))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    for name in debug:
        logging.getLogger(f"mulberryway.{name}").setLevel(logging.DEBUG)
