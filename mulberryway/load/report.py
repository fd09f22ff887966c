"""Sums up outcomes, as a table and as JSON."""

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
    """Return figures for each account and kind of call, and over all.

    :param outcomes: what callers got
    :param elapsed_ms: how long it took, in milliseconds
    :returns: JSON values
    """

    def group_of(item: outcome.Outcome) -> tuple[str, str]:
        return item.account, item.kind

    groups = itertools.groupby(sorted(outcomes, key=group_of), group_of)
    rows = [
        {"account": account, "kind": kind} | _sum_up([*items], elapsed_ms)
        for (account, kind), items in groups
    ]
    return {"rows": rows, "all": _sum_up(outcomes, elapsed_ms)}


def _sum_up(
    items: list[outcome.Outcome], elapsed_ms: float
) -> dict[str, typing.Any]:
    firsts = [item.first_ms for item in items if item.tokens]
    gaps = [*itertools.chain.from_iterable(item.gaps_ms for item in items)]
    good = [item for item in items if item.meets_targets()]
    seconds = max(elapsed_ms, 1) / 1000
    refusals = collections.Counter(
        f"{item.code} {item.run}" for item in items if not item.is_whole
    )
    return {
        "calls": len(items),
        "whole": sum(item.is_whole for item in items),
        "cut": sum(not item.is_whole and item.tokens > 0 for item in items),
        "refused": sum(
            not item.is_whole and item.tokens == 0 for item in items
        ),
        "refusals": dict(refusals),
        "good": len(good),
        "goodput_calls_per_s": len(good) / seconds,
        "goodput_tokens_per_s": sum(item.tokens for item in good) / seconds,
        "tokens_per_s": sum(item.tokens for item in items) / seconds,
        "tokens": sum(item.tokens for item in items),
        "first_p50_ms": outcome.compute_percentile(firsts, 0.5),
        "first_p95_ms": outcome.compute_percentile(firsts, 0.95),
        "gap_p95_ms": outcome.compute_percentile(gaps, 0.95),
        "gap_max_ms": max(gaps, default=0.0),
    }


def format_table(summary: dict[str, typing.Any]) -> str:
    """Return a summary as text.

    :param summary: what :func:`summarise` returned
    :returns: lines, one for each account and kind, then refusals by code
    """
    total = {"account": "all", "kind": ""} | summary["all"]
    rows = [[title for _, title in COLUMNS]] + [
        [_format(row[key]) for key, _ in COLUMNS]
        for row in [*summary["rows"], total]
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ["  ".join(map(str.ljust, row, widths)).rstrip() for row in rows]
    refusals = [
        f"{count} x {name}"
        for name, count in sorted(summary["all"]["refusals"].items())
    ]
    return "\n".join(lines + refusals)


def _format(value: typing.Any) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)
