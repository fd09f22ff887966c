"""Summarizes from logs the outcomes of requests and wasted prefills."""

import collections
import collections.abc
import sys
import typing

from absl import app
from absl import flags

from mulberryway.commands import story

__all__ = ["LossSummary", "summarize", "main", "run", "format_report"]

FLAGS = flags.FLAGS
NOTHING_FOUND = 1
REQUEST_ENDED = "a request ended"
ENGINES_SELECTED = "engines were chosen"
PREFILL_OUTCOME_UNKNOWN = (
    "a prefill was not answered, the decode engine reads the prompt"
)
PREFILL_WASTED = "a prompt was read in vain"
ON_TIME = "on time"
# Steps before the first token: the field in the log and the text to print.
STEPS = (
    ("queued_ms", "waited for a choice"),
    ("read_ms", "waited for its prompt to be read"),
    ("begin_ms", "waited for the decode to begin"),
)
GAP_EXCEEDED = "a late pause"
# Bucket width and highest bucket of the longest inter-token gaps.
GAP_BUCKET_MS = 100
# Requests are grouped by the second in which they arrived, in windows of:
WINDOW_MS = 2_000
MS_IN_S = 1_000
# Columns of the table by window.
SERVED, LATE, REJECTED, FAILED = "on time", "late", "rejected", "failed"
MAX_GAP_BUCKET_MS = 500

Line = story.Line
PrefillTimes = dict[str, list[int]]


class LossSummary:
    """The outcomes of the requests in some logs.

    ``outcomes`` counts streams by outcome, ``calls`` other requests, and
    ``wasted_tokens`` the prompt tokens of wasted prefills by cause.
    ``windows`` counts all of them by the start of their window in ms since
    the first request, and by :data:`SERVED` and the other columns.  ``gaps``
    groups streams by their
    longest inter-token gap in buckets of 100 ms; it holds for each stream how
    many chunked prefills its engine started meanwhile.
    """

    __slots__ = ("outcomes", "calls", "wasted_tokens", "gaps", "windows")

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()
        self.wasted_tokens: collections.Counter[str] = collections.Counter()
        self.windows: dict[int, collections.Counter[str]] = {}
        self.gaps: dict[int, list[int]] = {}


def summarize(lines: collections.abc.Iterable[Line]) -> LossSummary:
    """Return the outcomes of the streams in some log lines.

    :param lines: log lines of any VMs, in any order
    """
    ordered = sorted(lines, key=lambda line: line["time_ms"])
    selections = {
        line.get("request_id"): line
        for line in ordered
        if line["message"] == ENGINES_SELECTED
    }
    prefill_times = _find_chunked_prefills(ordered)
    losses = LossSummary()
    for line in ordered:
        if line["message"] == PREFILL_WASTED:
            losses.wasted_tokens[_format_fault(line)] += line["tokens"]
        elif line["message"] == PREFILL_OUTCOME_UNKNOWN:
            selection = selections.get(line["request_id"])
            if selection is not None:
                name = f"no answer, {_format_fault(line)}"
                losses.wasted_tokens[name] += selection["prompt_tokens"]
        elif line["message"] != REQUEST_ENDED or not line.get("target_ms"):
            continue
        elif "begin_ms" not in line:
            losses.calls[classify_call(line)] += 1
        else:
            losses.outcomes[classify_outcome(line)] += 1
            selection = selections.get(line["request_id"])
            if line["first_ms"] and selection is not None:
                _record_gap(losses, line, selection, prefill_times)
    _record_windows(losses, ordered)
    return losses


def classify_call(line: Line) -> str:
    """Return a short description of the outcome of a plain call.

    :param line: the log line of the call's end
    """
    if "code" in line:
        return f"failed: {_format_fault(line)}"
    return LATE if line["took_ms"] > line["target_ms"] else ON_TIME


def classify_outcome(line: Line) -> str:
    """Return a short description of a stream's outcome.

    :param line: the log line of the stream's end
    """
    if "code" in line:
        phase = "after its first piece" if line["first_ms"] else "before it"
        return f"failed {phase}: {_format_fault(line)}"
    if line["first_ms"] > line["target_ms"]:
        step, description = max(STEPS, key=lambda step: line.get(step[0], 0))
        return f"a late first piece: {description}"
    if line["gap_ms"] > line["target_gap_ms"] > 0:
        return GAP_EXCEEDED
    return ON_TIME


def format_report(losses: LossSummary) -> str:
    """Return a summary as text.

    :param losses: the summary
    """
    total = sum(losses.outcomes.values())
    rows = [f"{total} streams"]
    rows += [
        f"{count:6d}  {count / total:6.3f}  {name}"
        for name, count in losses.outcomes.most_common()
    ]
    calls = sum(losses.calls.values())
    rows.append(f"{calls} plain calls")
    rows += [
        f"{count:6d}  {count / calls:6.3f}  {name}"
        for name, count in losses.calls.most_common()
    ]
    rows.append(
        f"{sum(losses.wasted_tokens.values())} prompt tokens read in vain"
    )
    rows += [
        f"{tokens:8d}  {name}"
        for name, tokens in losses.wasted_tokens.most_common()
    ]
    rows.append("longest pause; streams; prompts read beside each, mean")
    rows += [
        f"{at_ms:5d} ms  {len(counts):5d}  {sum(counts) / len(counts):5.2f}"
        for at_ms, counts in sorted(losses.gaps.items())
    ]
    columns = (SERVED, LATE, REJECTED, FAILED)
    rows.append("arrived in second; " + "; ".join(columns))
    rows += [
        f"{at_ms // MS_IN_S:5d}  "
        + "  ".join(f"{counts[name]:6d}" for name in columns)
        for at_ms, counts in sorted(losses.windows.items())
    ]
    return "\n".join(rows)


def main(arguments: list[str]) -> int:
    """Print the outcomes of the streams in some logs.

    :param arguments: the program's name and the log files; standard input is
        read if there are no files
    :returns: the exit status; 1 if the logs contain no request
    """
    texts = story.read_raw_lines(arguments[1:])
    losses = summarize(story.parse_lines(texts))
    if not losses.outcomes and not losses.calls:
        print("the logs contain no request", file=sys.stderr)
        return NOTHING_FOUND
    print(format_report(losses))
    return 0


def run() -> None:
    """Run the program; the entry point of the package."""
    app.run(main)


def _find_chunked_prefills(lines: list[Line]) -> PrefillTimes:
    """Return the start times of chunked prefills by engine, in ms."""
    prefill_times: PrefillTimes = collections.defaultdict(list)
    for line in lines:
        is_aggregated = line.get("prefill") == line.get("decode", "")
        if line["message"] == ENGINES_SELECTED and is_aggregated:
            prefill_times[line["decode"]].append(line["time_ms"])
        elif line["message"] == PREFILL_OUTCOME_UNKNOWN:
            prefill_times[line["decode"]].append(line["time_ms"])
    return prefill_times


def _record_gap(
    losses: LossSummary,
    line: Line,
    selection: Line,
    prefill_times: PrefillTimes,
) -> None:
    first_token_ms = line["time_ms"] - line["took_ms"] + line["first_ms"]
    prefills = sum(
        first_token_ms <= at_ms <= line["time_ms"]
        for at_ms in prefill_times.get(selection["decode"], ())
    )
    bucket_ms = line["gap_ms"] // GAP_BUCKET_MS * GAP_BUCKET_MS
    losses.gaps.setdefault(min(bucket_ms, MAX_GAP_BUCKET_MS), []).append(
        prefills
    )


def _record_windows(losses: LossSummary, lines: list[Line]) -> None:
    ended = [
        (line["time_ms"] - line["took_ms"], line)
        for line in lines
        if line["message"] == REQUEST_ENDED and line.get("target_ms")
    ]
    first_ms = min((at_ms for at_ms, _ in ended), default=0)
    for at_ms, line in ended:
        window_ms = (at_ms - first_ms) // WINDOW_MS * WINDOW_MS
        counts = losses.windows.setdefault(window_ms, collections.Counter())
        counts[_find_column(line)] += 1


def _find_column(line: Line) -> str:
    if "code" in line:
        is_rejected = line.get("run") == "not_run" and not line["first_ms"]
        return REJECTED if is_rejected else FAILED
    is_stream = "begin_ms" in line
    outcome = classify_outcome(line) if is_stream else classify_call(line)
    return SERVED if outcome == ON_TIME else LATE


def _format_fault(line: Line) -> str:
    parts: typing.Any = (line.get("step"), line.get("code"))
    reason = line.get("reason")
    return " ".join(map(str, parts)) + (f", {reason}" if reason else "")


if __name__ == "__main__":
    run()
