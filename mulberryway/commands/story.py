"""Prints what the logs of several VMs say of one request, in order."""

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
# Around a request these tell what its VM believed: lines of the same VM that
# name no request, from so long before its first line on.
CONTEXT_MS = 2_000
STANDARD_FIELDS = ("time_ms", "level", "vm", "logger", "message", "request_id")

flags.DEFINE_string("id", None, "the id that the caller has, or its beginning")
flags.DEFINE_bool(
    "beliefs", False, "print what the VM came to believe meanwhile as well"
)

Line = dict[str, typing.Any]


def read_raw_lines(names: list[str]) -> collections.abc.Iterable[str]:
    """Return the lines of some files; of standard input if there is none.

    :param names: the files' names
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
    """Return the lines that can be read; others are passed over.

    :param texts: lines of logs, possibly with something before the object
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A line that was cut when its process died.
            continue
        if isinstance(line, dict) and "time_ms" in line:
            yield line


def select_lines(
    lines: collections.abc.Iterable[Line], request_id: str, beliefs: bool
) -> list[Line]:
    """Return what was logged of a request, oldest first.

    :param lines: lines of any VMs in any order
    :param request_id: the request's id, or its beginning
    :param beliefs: whether what its VMs came to believe is added
    """
    known = sorted(lines, key=lambda line: line["time_ms"])
    own = [
        line
        for line in known
        if str(line.get("request_id", "")).startswith(request_id)
    ]
    if not own or not beliefs:
        return own
    vms = {line["vm"] for line in own}
    first_ms, last_ms = own[0]["time_ms"] - CONTEXT_MS, own[-1]["time_ms"]
    return [
        line
        for line in known
        if line in own
        or (
            "request_id" not in line
            and line["vm"] in vms
            and first_ms <= line["time_ms"] <= last_ms
        )
    ]


def format_line(line: Line, first_ms: int) -> str:
    """Return a line for people.

    :param line: what was logged
    :param first_ms: when the story begins
    """
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in STANDARD_FIELDS
    )
    at_ms = line["time_ms"] - first_ms
    return f"{at_ms:+7d} ms  {line['vm']}  {line['message']}  {fields}"


def main(arguments: list[str]) -> int:
    """Print a request's story.

    :param arguments: the program's name, then files; none for standard input
    :returns: the exit status; 1 if nothing is known of the request
    """
    found = select_lines(
        parse_lines(read_raw_lines(arguments[1:])), FLAGS.id, FLAGS.beliefs
    )
    if not found:
        print(f"nothing was logged of {FLAGS.id}", file=sys.stderr)
        return NOTHING_FOUND
    for line in found:
        print(format_line(line, found[0]["time_ms"]))
    return 0


def run() -> None:
    """Start the program; the entry point of the package."""
    flags.mark_flag_as_required("id")
    app.run(main)


if __name__ == "__main__":
    run()
