"""Adds up from logs why model requests were late, refused, cut or wasted."""

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
# Steps before the first piece, as the log names them, and as people do.
STEPS = (
    ("queued_ms", "waited for a choice"),
    ("read_ms", "waited for its prompt to be read"),
    ("begin_ms", "waited for the decode to begin"),
)
GAP_EXCEEDED = "a late pause"
# Longest pauses are put together by so many milliseconds.
GAP_BUCKET_MS = 100
MAX_GAP_BUCKET_MS = 500

Line = story.Line
Reads = dict[str, list[int]]


class LossSummary:
    """What became of the streams in some logs.

    :param ends: streams by what became of them
    :param in_vain: tokens of prompts read in vain, by the cause
    :param pauses: by the longest pause in steps of 100 ms, for each stream
        how many prompts its engine read for itself meanwhile
    """

    __slots__ = ("ends", "wasted_tokens", "gaps")

    def __init__(self) -> None:
        self.ends: collections.Counter[str] = collections.Counter()
        self.wasted_tokens: collections.Counter[str] = collections.Counter()
        self.gaps: dict[int, list[int]] = {}


def summarize(lines: collections.abc.Iterable[Line]) -> LossSummary:
    """Return what became of the streams that some lines tell of.

    :param lines: lines of any VMs in any order
    """
    known = sorted(lines, key=lambda line: line["time_ms"])
    chosen = {
        line.get("request_id"): line
        for line in known
        if line["message"] == ENGINES_SELECTED
    }
    reads = _find_reads(known)
    losses = LossSummary()
    for line in known:
        if line["message"] == PREFILL_WASTED:
            losses.wasted_tokens[_name_fault(line)] += line["tokens"]
        elif line["message"] == PREFILL_OUTCOME_UNKNOWN:
            job = chosen.get(line["request_id"])
            if job is not None:
                name = f"no answer, {_name_fault(line)}"
                losses.wasted_tokens[name] += job["prompt_tokens"]
        elif line["message"] == REQUEST_ENDED and line.get("target_ms"):
            losses.ends[classify_outcome(line)] += 1
            job = chosen.get(line["request_id"])
            if line["first_ms"] and job is not None:
                _note_pause(losses, line, job, reads)
    return losses


def classify_outcome(line: Line) -> str:
    """Return what became of a stream, in a few words.

    :param line: the line that tells of its end
    """
    if "code" in line:
        begun = "after its first piece" if line["first_ms"] else "before it"
        return f"failed {begun}: {_name_fault(line)}"
    if line["first_ms"] > line["target_ms"]:
        step, words = max(STEPS, key=lambda step: line.get(step[0], 0))
        return f"a late first piece: {words}"
    if line["gap_ms"] > line["target_gap_ms"] > 0:
        return GAP_EXCEEDED
    return ON_TIME


def format_report(losses: LossSummary) -> str:
    """Return a report for people.

    :param losses: what was added up
    """
    total = sum(losses.ends.values())
    rows = [f"{total} streams"]
    rows += [
        f"{count:6d}  {count / total:6.3f}  {what}"
        for what, count in losses.ends.most_common()
    ]
    rows.append(
        f"{sum(losses.wasted_tokens.values())} prompt tokens read in vain"
    )
    rows += [
        f"{tokens:8d}  {what}"
        for what, tokens in losses.wasted_tokens.most_common()
    ]
    rows.append("longest pause; streams; prompts read beside each, mean")
    rows += [
        f"{at_ms:5d} ms  {len(beside):5d}  {sum(beside) / len(beside):5.2f}"
        for at_ms, beside in sorted(losses.gaps.items())
    ]
    return "\n".join(rows)


def main(arguments: list[str]) -> int:
    """Print what became of the streams in some logs.

    :param arguments: the program's name, then files; none for standard input
    :returns: the exit status; 1 if the logs tell of no stream
    """
    texts = story.read_raw_lines(arguments[1:])
    losses = summarize(story.parse_lines(texts))
    if not losses.ends:
        print("the logs tell of no stream", file=sys.stderr)
        return NOTHING_FOUND
    print(format_report(losses))
    return 0


def run() -> None:
    """Start the program; the entry point of the package."""
    app.run(main)


def _find_reads(lines: list[Line]) -> Reads:
    """Return by engine when it began to read prompts beside its streams."""
    reads: Reads = collections.defaultdict(list)
    for line in lines:
        is_alone = line.get("prefill") == line.get("decode", "")
        if line["message"] == ENGINES_SELECTED and is_alone:
            reads[line["decode"]].append(line["time_ms"])
        elif line["message"] == PREFILL_OUTCOME_UNKNOWN:
            reads[line["decode"]].append(line["time_ms"])
    return reads


def _note_pause(
    losses: LossSummary, line: Line, job: Line, reads: Reads
) -> None:
    began_ms = line["time_ms"] - line["took_ms"] + line["first_ms"]
    beside = sum(
        began_ms <= at_ms <= line["time_ms"]
        for at_ms in reads.get(job["decode"], ())
    )
    step = line["gap_ms"] // GAP_BUCKET_MS * GAP_BUCKET_MS
    losses.gaps.setdefault(min(step, MAX_GAP_BUCKET_MS), []).append(beside)


def _name_fault(line: Line) -> str:
    words: typing.Any = (line.get("step"), line.get("code"))
    reason = line.get("reason")
    return " ".join(map(str, words)) + (f", {reason}" if reason else "")


if __name__ == "__main__":
    run()
