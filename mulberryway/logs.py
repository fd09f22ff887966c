"""Logs as JSON lines on standard error."""

import json
import logging
import sys
import typing

from mulberryway import errors

__all__ = ["JsonFormatter", "describe", "set_up"]

FIELDS = "fields"


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
            "logger": record.name,
            "thread": record.threadName,
            "message": record.getMessage(),
        }
        line.update(getattr(record, FIELDS, {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def describe(
    fault: errors.Fault | None = None, **fields: str | int | None
) -> dict[str, typing.Any]:
    """Return the ``extra`` argument that adds fields to a log line.

    Fields name requests, accounts and peers.  Keys, their digests, prompts
    and bodies are never among them: logs are read by more people than may
    act for an account.

    :param fault: whose code, step, peer and run are added
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
        )
    return {FIELDS: line}


def set_up(vm: str, level: str, debug: tuple[str, ...] = ()) -> None:
    """Send all logs to standard error as JSON lines.

    :param vm: the VM's name
    :param level: the lowest level that is written
    :param debug: names of loggers below ``mulberryway`` that write all
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(vm))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    for name in debug:
        logging.getLogger(f"mulberryway.{name}").setLevel(logging.DEBUG)
