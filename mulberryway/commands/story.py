"""Prints the timeline of one request from the logs of several VMs."""

import collections.abc
import itertools
import json
import pathlib
import sys
import typing

from absl import app
from absl import flags

__all__ = ["select_lines", "main", "read_raw_lines", "run", "format_line"]

FLAGS = flags.FLAGS
NOTHING_FOUND = 1
# How long before a request's first line its context begins, in ms.  The
# context is the lines of the same VM without a request id, which show the
# state of the VM.
CONTEXT_MS = 2_000
STANDARD_FIELDS = ("time_ms", "level", "vm", "logger", "message", "request_id")

flags.DEFINE_string("id", None, "the caller's request id, or a prefix of it")
flags.DEFINE_bool(
    "beliefs", False, "also print the lines that show the state of the VMs"
)

Line = dict[str, typing.Any]


def read_raw_lines(names: list[str]) -> collections.abc.Iterable[str]:
    """Return the lines of some files, or of standard input.

    :param names: the files' names; standard input is read if empty
    """
    if not names:
        return sys.stdin
    return itertools.chain.from_iterable(
        pathlib.Path(name)
        .read_text(encoding="utf-8", errors="replace")
        .splitlines()
        for name in names
    )


def parse_lines(
    texts: collections.abc.Iterable[str],
) -> collections.abc.Iterator[Line]:
    """Yield the parsed log lines; ignore malformed ones.

    :param texts: log lines, possibly with a prefix before the JSON object
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The line was truncated when its process crashed.
            continue
        if isinstance(line, dict) and "time_ms" in line:
            yield line


def select_lines(
    lines: collections.abc.Iterable[Line], request_id: str, with_context: bool
) -> list[Line]:
    """Return the log lines of a request, oldest first.

    :param lines: log lines of any VMs, in any order
    :param request_id: the request's id or a prefix of it
    :param with_context: whether to add the lines that show the state of its
        VMs
    """
    ordered = sorted(lines, key=lambda line: line["time_ms"])
    request_lines = [
        line
        for line in ordered
        if str(line.get("request_id", "")).startswith(request_id)
    ]
    if not request_lines or not with_context:
        return request_lines
    vms = {line["vm"] for line in request_lines}
    first_ms, last_ms = (
        request_lines[0]["time_ms"] - CONTEXT_MS,
        request_lines[-1]["time_ms"],
    )
    return [
        line
        for line in ordered
        if line in request_lines
        or (
            "request_id" not in line
            and line["vm"] in vms
            and first_ms <= line["time_ms"] <= last_ms
        )
    ]


def format_line(line: Line, first_ms: int) -> str:
    """Return a log line as text.

    :param line: the log line
    :param first_ms: the start of the timeline, in ms
    """
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in STANDARD_FIELDS
    )
    at_ms = line["time_ms"] - first_ms
    return f"{at_ms:+7d} ms  {line['vm']}  {line['message']}  {fields}"


def main(arguments: list[str]) -> int:
    """Print a request's timeline.

    :param arguments: the program's name and the log files; standard input is
        read if there are no files
    :returns: the exit status; 1 if no line of the request was found
    """
    selected = select_lines(
        parse_lines(read_raw_lines(arguments[1:])), FLAGS.id, FLAGS.beliefs
    )
    if not selected:
        print(f"found no log lines of {FLAGS.id}", file=sys.stderr)
        return NOTHING_FOUND
    for line in selected:
        print(format_line(line, selected[0]["time_ms"]))
    return 0


def run() -> None:
    """Run the program; the entry point of the package."""
    flags.mark_flag_as_required("id")
    app.run(main)


if __name__ == "__main__":
    run()
