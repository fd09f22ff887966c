"""Summarizes outcomes as a table and as JSON values."""

import collections
import itertools
import typing

from mulberryway.load import outcome

__all__ = ["format_table", "summarise"]

COLUMNS = (
    ("account", "account"),
    ("kind", "kind"),
    ("calls", "calls"),
    ("whole", "whole"),
    ("cut", "cut"),
    ("refused", "refused"),
    ("good", "good"),
    ("first_p50_ms", "first p50"),
    ("first_p95_ms", "first p95"),
    ("gap_p95_ms", "gap p95"),
    ("gap_max_ms", "gap max"),
    ("tokens", "tokens"),
)


def summarise(
    outcomes: list[outcome.Outcome], elapsed_ms: float
) -> dict[str, typing.Any]:
    """Return statistics by account and kind of call, and over all calls.

    :param outcomes: the outcomes
    :param elapsed_ms: the duration of the plan, in ms
    :returns: JSON values
    """

    def get_group(item: outcome.Outcome) -> tuple[str, str]:
        return item.account, item.kind

    groups = itertools.groupby(sorted(outcomes, key=get_group), get_group)
    rows = [
        {"account": account, "kind": kind}
        | _compute_statistics([*items], elapsed_ms)
        for (account, kind), items in groups
    ]
    return {"rows": rows, "all": _compute_statistics(outcomes, elapsed_ms)}


def _compute_statistics(
    items: list[outcome.Outcome], elapsed_ms: float
) -> dict[str, typing.Any]:
    first_token_times = [item.first_ms for item in items if item.tokens]
    gaps = [*itertools.chain.from_iterable(item.gaps_ms for item in items)]
    within_targets = [item for item in items if item.meets_targets()]
    seconds = max(elapsed_ms, 1) / 1000
    rejections = collections.Counter(
        f"{item.code} {item.run}" for item in items if not item.is_whole
    )
    return {
        "calls": len(items),
        "whole": sum(item.is_whole for item in items),
        "cut": sum(not item.is_whole and item.tokens > 0 for item in items),
        "refused": sum(
            not item.is_whole and item.tokens == 0 for item in items
        ),
        "refusals": dict(rejections),
        "good": len(within_targets),
        "goodput_calls_per_s": len(within_targets) / seconds,
        "goodput_tokens_per_s": sum(item.tokens for item in within_targets)
        / seconds,
        "tokens_per_s": sum(item.tokens for item in items) / seconds,
        "tokens": sum(item.tokens for item in items),
        "first_p50_ms": outcome.compute_percentile(first_token_times, 0.5),
        "first_p95_ms": outcome.compute_percentile(first_token_times, 0.95),
        "gap_p95_ms": outcome.compute_percentile(gaps, 0.95),
        "gap_max_ms": max(gaps, default=0.0),
    }


def format_table(summary: dict[str, typing.Any]) -> str:
    """Return a summary as a table.

    :param summary: the result of :func:`summarise`
    :returns: a line per account and kind, then a line per rejection code
    """
    total = {"account": "all", "kind": ""} | summary["all"]
    rows = [[title for _, title in COLUMNS]] + [
        [_format(row[key]) for key, _ in COLUMNS]
        for row in [*summary["rows"], total]
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ["  ".join(map(str.ljust, row, widths)).rstrip() for row in rows]
    rejections = [
        f"{count} x {name}"
        for name, count in sorted(summary["all"]["refusals"].items())
    ]
    return "\n".join(lines + rejections)


def _format(value: typing.Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)
